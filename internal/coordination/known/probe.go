package known

import (
	"time"

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
)

// isGone reports whether an expected member has left all probes unanswered. Such members
// are usually VMs that were removed shortly before all processes restarted, while the
// census still listed them.
func (m *Members) isGone(member flow.Endpoint) bool {
	return m.unansweredProbes[member] > probesUntilGone
}

// GoneCount returns the number of expected members that count as gone.
func (m *Members) GoneCount() int {
	count := 0
	for member := range m.unansweredProbes {
		if m.isGone(member) {
			count++
		}
	}
	return count
}

// TakeProbes returns the expected members to send a probe to now, those that this balancer
// has not heard of. An agent that runs answers it. A balancer does not, but it matters only
// for the agents that it may know, which announce themselves.
func (m *Members) TakeProbes(now time.Time) []flow.Endpoint {
	if m.converged || !m.expectedSet || now.Sub(m.started) < firstProbeDelay || now.Sub(m.lastProbe) < probeInterval {
		return nil
	}
	unanswered := map[flow.Endpoint]int{}
	for _, member := range m.expected {
		if !m.isKnown(member) {
			unanswered[member] = m.unansweredProbes[member]
		}
	}
	m.unansweredProbes = unanswered
	if len(unanswered) > max(minAbsentLimit, len(m.expected)/maxAbsentDivisor) {
		return nil
	}

	m.lastProbe = now
	var probed []flow.Endpoint
	for member := range unanswered {
		unanswered[member]++
		if !m.isGone(member) {
			probed = append(probed, member)
		}
	}
	return probed
}

// RecordProbeReply notes that an absent member runs: this balancer will hear of it.
func (m *Members) RecordProbeReply(member flow.Endpoint) {
	if _, absent := m.unansweredProbes[member]; absent {
		m.unansweredProbes[member] = 0
	}
}
