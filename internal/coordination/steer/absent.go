package steer

import (
	"time"

	"github.com/coriandershift/coriandershift/internal/protocol/fwdmsg"
	"github.com/coriandershift/coriandershift/internal/state/flow"
)

const (
	// firstProbeDelay is the time after this balancer's start from which absent members
	// are probed. Members that started at the same moment have announced themselves by then.
	firstProbeDelay = 400 * time.Millisecond

	// probeInterval is the time between two probes of an absent member, within which a
	// running one answers.
	probeInterval = 150 * time.Millisecond

	// probesUntilGone is the number of consecutive unanswered probes after which an
	// absent member counts as gone.
	probesUntilGone = 4

	// Absent members are probed only while at most one of maxAbsentDivisor expected
	// members is absent, or minAbsentLimit in a small fleet. If more are absent, the
	// network is more likely to be partitioned, or the members to be starting still.
	maxAbsentDivisor = 8
	minAbsentLimit   = 2

	// probeQueryID is the QueryID of all probes. Queries about flows have others.
	probeQueryID = 0
)

// isKnown reports whether this balancer has heard of an expected member.
func (r *Router) isKnown(member flow.Endpoint) bool {
	_, isBalancer := r.balancers[member]
	return isBalancer || r.agents[member] != nil
}

// isGone reports whether an expected member has left all probes unanswered. Such members
// are usually VMs that were removed shortly before all processes restarted, while the
// census still listed them.
func (r *Router) isGone(member flow.Endpoint) bool {
	return r.unansweredProbes[member] > probesUntilGone
}

// GoneCount returns the number of expected members that count as gone.
func (r *Router) GoneCount() int {
	count := 0
	for member := range r.unansweredProbes {
		if r.isGone(member) {
			count++
		}
	}
	return count
}

// probeAbsent sends a probe to the expected members that this balancer has not heard
// of. An agent that runs answers it. A balancer does not, but it matters only for the
// agents that it may know, which announce themselves.
func (r *Router) probeAbsent(now time.Time) {
	if r.converged || !r.expectedSet || now.Sub(r.started) < firstProbeDelay || now.Sub(r.lastProbe) < probeInterval {
		return
	}
	unanswered := map[flow.Endpoint]int{}
	for _, member := range r.expected {
		if !r.isKnown(member) {
			unanswered[member] = r.unansweredProbes[member]
		}
	}
	r.unansweredProbes = unanswered
	if len(unanswered) > max(minAbsentLimit, len(r.expected)/maxAbsentDivisor) {
		return
	}

	r.lastProbe = now
	probe := fwdmsg.AppendQuestions(nil, []fwdmsg.Question{{}})
	for member := range unanswered {
		unanswered[member]++
		if r.isGone(member) {
			continue
		}
		r.send(Action{
			To: member, Packet: probe,
			Envelope: fwdmsg.Envelope{Kind: fwdmsg.Query, QueryID: probeQueryID, Balancer: r.self, Revision: r.cfg.Revision},
		})
	}
}

// recordProbeReply notes that an absent member runs: this balancer will hear of it.
func (r *Router) recordProbeReply(member flow.Endpoint) {
	if _, absent := r.unansweredProbes[member]; absent {
		r.unansweredProbes[member] = 0
	}
}
