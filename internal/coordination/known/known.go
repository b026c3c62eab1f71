// Package known decides when a balancer that has started knows all members. Until then it
// may not say of a flow that no agent has it. The package does no I/O.
package known

import (
	"slices"
	"time"

	"github.com/coriandershift/coriandershift/internal/state/flow"
	"github.com/coriandershift/coriandershift/internal/state/roster"
)

const (
	// convergeDelay is the time after its start in which a balancer learns the other
	// balancers' member records: they send a digest every two seconds.
	convergeDelay = 3 * time.Second

	// convergeDeadline is the time after its start from which a balancer takes its
	// list of agents as complete, even if expected members are missing.
	convergeDeadline = 10 * time.Second
)

// Members is what a balancer knows of the members that there are. It is not safe for
// concurrent use.
type Members struct {
	self    flow.Endpoint
	started time.Time

	// knowsAgent reports whether the balancer has heard of an agent.
	knowsAgent func(flow.Endpoint) bool

	// expected are the members that were known before the start; valid if expectedSet.
	expected    []flow.Endpoint
	expectedSet bool

	// unansweredProbes counts, for each expected member that this balancer had not heard of
	// when it last probed, the latest probes without an answer.
	unansweredProbes map[flow.Endpoint]int
	lastProbe        time.Time

	// balancers has an entry for each known balancer, this one included: true if it is
	// another one that was alive and had converged (its Weight was above 0) when this
	// balancer first heard of it.
	balancers map[flow.Endpoint]bool

	synced    bool // a balancer that knows all members has the same list as this one
	converged bool // the list of agents is taken as complete
}

// New returns the Members of the balancer at the address self, started at now. knowsAgent
// reports whether it has heard of an agent.
func New(self flow.Endpoint, now time.Time, knowsAgent func(flow.Endpoint) bool) *Members {
	return &Members{self: self, started: now, knowsAgent: knowsAgent, balancers: map[flow.Endpoint]bool{}}
}

// Expect sets the members that were known before the balancer started, as a census lists
// them.
func (m *Members) Expect(members []flow.Endpoint) {
	m.expected = members
	m.expectedSet = true
}

// MarkSynced records that a balancer which knows all members has the same list as this
// one.
func (m *Members) MarkSynced() {
	m.synced = true
}

// AddBalancer records a balancer when it is first heard of; later records change nothing.
func (m *Members) AddBalancer(member *roster.Member) {
	endpoint := flow.EndpointOf(member.Address)
	if _, seen := m.balancers[endpoint]; !seen {
		m.balancers[endpoint] = endpoint != m.self && member.State == roster.Alive && member.Weight > 0
	}
}

// Converge takes the list of agents as complete once all expected members are known or
// gone, or convergeDeadline has passed. It reports whether that is so since this call.
func (m *Members) Converge(now time.Time) bool {
	age := now.Sub(m.started)
	if m.converged || (age < convergeDeadline && !m.expectedFound(age)) {
		return false
	}
	m.converged = true
	return true
}

// Converged reports whether the balancer takes its list of agents as complete.
func (m *Members) Converged() bool {
	return m.converged
}

// HeardOfConverged reports whether another balancer knew all members when this one first
// heard of it.
func (m *Members) HeardOfConverged() bool {
	for _, hadConverged := range m.balancers {
		if hadConverged {
			return true
		}
	}
	return false
}

// MostAreKnown reports whether at least half of the expected members are known.
func (m *Members) MostAreKnown() bool {
	count := 0
	for _, e := range m.expected {
		if m.isKnown(e) {
			count++
		}
	}
	return 2*count >= len(m.expected)
}

// expectedFound reports whether all expected members are known or gone. The list of
// expected members may lack the latest ones: if another balancer was running before
// this one started, the list must also agree with that of a balancer that knows all
// members, or convergeDelay must have passed.
func (m *Members) expectedFound(age time.Duration) bool {
	if m.HeardOfConverged() && !m.synced && age < convergeDelay {
		return false
	}
	return m.expectedSet && !slices.ContainsFunc(m.expected, func(e flow.Endpoint) bool {
		return !m.isKnown(e) && !m.isGone(e)
	})
}

// isKnown reports whether this balancer has heard of an expected member.
func (m *Members) isKnown(member flow.Endpoint) bool {
	_, isBalancer := m.balancers[member]
	return isBalancer || m.knowsAgent(member)
}
