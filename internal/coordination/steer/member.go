package steer

import (
	"time"

	"github.com/coriandershift/coriandershift/internal/protocol/fwdmsg"
	"github.com/coriandershift/coriandershift/internal/state/flow"
	"github.com/coriandershift/coriandershift/internal/state/roster"
)

// UpdateMembers applies new or changed member records.
func (r *Router) UpdateMembers(now time.Time, members []roster.Member) {
	r.fleet.Update(now, members)
	for i := range members {
		if members[i].Role != roster.Agent {
			r.members.AddBalancer(&members[i])
		}
	}
}

// ExpectMembers sets the members that were known before the balancer started, as a
// census lists them.
func (r *Router) ExpectMembers(members []flow.Endpoint) {
	r.members.Expect(members)
}

// MarkSynced records that a balancer which knows all members has the same list as
// this one.
func (r *Router) MarkSynced() {
	r.members.MarkSynced()
}

// SetIncompleteUntil sets until when the members may lack living ones although they were
// complete before; see member.Node.IncompleteUntil.
func (r *Router) SetIncompleteUntil(until time.Time) {
	r.seeker.SetIncompleteUntil(until)
}

// Converged reports whether the balancer takes its list of agents as complete. Only
// then does it reset flows that it does not find.
func (r *Router) Converged() bool {
	return r.members.Converged()
}

// GoneCount returns the number of expected members that count as gone.
func (r *Router) GoneCount() int {
	return r.members.GoneCount()
}

// EligibleAgentCount returns how many agents take new flows.
func (r *Router) EligibleAgentCount() int {
	return r.fleet.EligibleCount()
}

// Ready reports whether the balancer should get packets from the fabric. While other
// balancers run that knew all agents, it waits until it has converged itself. If all
// balancers have just started, none can wait for another, so that any eligible agent
// is enough.
func (r *Router) Ready() bool {
	if r.cfg.Revision == 0 || r.EligibleAgentCount() == 0 {
		return false
	}
	return !r.members.HeardOfConverged() || r.members.Converged()
}

// probeAbsent sends a probe to the expected members that this balancer has not heard of.
func (r *Router) probeAbsent(now time.Time) {
	probe := fwdmsg.AppendQuestions(nil, []fwdmsg.Question{{}})
	for _, member := range r.members.TakeProbes(now) {
		r.ask(fwdmsg.Query, fwdmsg.ProbeQueryID, member, probe)
	}
}

// checkConverged has searches conclude once all members are known.
func (r *Router) checkConverged(now time.Time) {
	if r.members.Converge(now) {
		r.seeker.Converge(now)
	}
}
