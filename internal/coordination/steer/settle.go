package steer

import (
	"maps"
	"slices"
	"time"

	"github.com/coriandershift/coriandershift/internal/coordination/rank"
	"github.com/coriandershift/coriandershift/internal/state/config"
	"github.com/coriandershift/coriandershift/internal/state/flow"
	"github.com/coriandershift/coriandershift/internal/state/roster"
)

const (
	// convergeDelay is how long after its start a balancer learns what the others
	// know: a digest goes out every two seconds.
	convergeDelay = 3 * time.Second

	// convergeDeadline is when a balancer goes by the agents that it knows, even if
	// some that were known before are missing.
	convergeDeadline = 10 * time.Second

	// maxFlowLifetime is how long a flow may live, as the platform bounds it.
	maxFlowLifetime = 60 * time.Second

	// maxSearchedServices is up to how many services all are asked for a flow whose route
	// may have led elsewhere before this balancer started.
	maxSearchedServices = 8

	// deadGracePeriod is how long an agent that is taken for dead may still come back
	// beside an upstream with open flows.
	deadGracePeriod = 5 * time.Second
)

// ExpectMembers names the members that were known before the balancer started.
func (r *Router) ExpectMembers(members []flow.Endpoint) {
	r.expected = members
	r.expectedSet = true
}

// MarkSynced says that a balancer which knew all members has the same list.
func (r *Router) MarkSynced() {
	r.synced = true
}

// checkConverged finds out whether all agents are known: those that were known before
// have been heard of, or had the time for it. Callers that could not be answered
// until then are answered now.
func (r *Router) checkConverged(now time.Time) {
	age := now.Sub(r.started)
	if r.converged || (age < convergeDeadline && !r.expectedMembersKnown(age)) {
		return
	}

	r.converged = true
	for _, s := range r.searches {
		if s.state == stateEnded {
			s.enter(stateQueued, now)
		}
	}
}

// expectedMembersKnown reports whether all members that were known before are known again.
// The list of them may lack the latest ones: unless all balancers started anew,
// it takes agreement with one that knows all as well, or settleTime.
func (r *Router) expectedMembersKnown(age time.Duration) bool {
	for _, settled := range r.balancers {
		if settled && !r.synced && age < convergeDelay {
			return false
		}
	}
	return r.expectedSet && !slices.ContainsFunc(r.expected, func(e flow.Endpoint) bool {
		_, balancer := r.balancers[e]
		return !balancer && r.agents[e] == nil
	})
}

// Converged reports whether all agents are known.
func (r *Router) Converged() bool {
	return r.converged
}

// Ready reports whether packets would be routed right. Where others go on, it
// takes until all agents are known; when all started anew, somebody has to begin.
func (r *Router) Ready() bool {
	if r.cfg.Revision == 0 || r.EligibleAgentCount() == 0 {
		return false
	}
	for _, settled := range r.balancers {
		if settled {
			return r.converged
		}
	}
	return true
}

// possibleHolders returns the agents that may have a flow, the likeliest first: those of
// the services that its address leads to or led to, by rank. Those that died a
// moment ago come apart.
func (r *Router) possibleHolders(now time.Time, route *config.Route, hash uint64) (living, dead []*agent) {
	for _, name := range r.candidateServices(now, route, hash) {
		svc := r.services[name]
		if svc == nil {
			continue
		}
		order, scores := make([]int, len(svc.agents)), make([]uint64, len(svc.agents))
		count := rank.Top(hash, svc.all, order, scores)
		for _, i := range order[:count] {
			a := svc.agents[i]
			switch {
			case a.member.State != roster.Dead:
				living = append(living, a)
			case now.Sub(a.deadSince) < deadGracePeriod && !a.member.NoFlows:
				dead = append(dead, a)
			}
		}
	}
	return living, dead
}

// likelyHolders returns the living agents that are asked for a flow first.
func (r *Router) likelyHolders(now time.Time, route *config.Route, hash uint64) []*agent {
	var order [maxChainLength]int
	var scores [maxChainLength]uint64
	agents := make([]*agent, 0, maxChainLength)
	for _, name := range r.candidateServices(now, route, hash) {
		svc := r.services[name]
		if svc == nil {
			continue
		}
		count := rank.Top(hash, svc.live, order[:maxChainLength-len(agents)], scores[:])
		for _, i := range order[:count] {
			agents = append(agents, svc.agents[i])
		}
		if len(agents) == maxChainLength {
			break
		}
	}
	return agents
}

// candidateServices returns the services that may have a flow of a route: the one that
// new flows of this hash go to first. A balancer does not know where routes led
// before its start, so for as long as flows of that time may live it takes all.
func (r *Router) candidateServices(now time.Time, route *config.Route, hash uint64) []string {
	first := route.PickService(hash)
	names := []string{first}
	for _, share := range route.Shares {
		if share.Service != first {
			names = append(names, share.Service)
		}
	}
	for _, former := range r.formerServices[flow.EndpointOf(route.Address)] {
		if !slices.Contains(names, former) {
			names = append(names, former)
		}
	}
	if now.Sub(r.started) > maxFlowLifetime || len(r.services) > maxSearchedServices {
		return names
	}
	for _, name := range slices.Sorted(maps.Keys(r.services)) {
		if !slices.Contains(names, name) {
			names = append(names, name)
		}
	}
	return names
}

// recordFormerServices keeps the services that routes led to before a change and do not lead
// to any more: open flows stay there.
func (r *Router) recordFormerServices(next map[flow.Endpoint]*config.Route) {
	for address, route := range r.routes {
		for _, share := range route.Shares {
			if to := next[address]; to != nil && !to.Serves(share.Service) && !slices.Contains(r.formerServices[address], share.Service) {
				r.formerServices[address] = append(r.formerServices[address], share.Service)
			}
		}
	}
	maps.DeleteFunc(r.formerServices, func(address flow.Endpoint, _ []string) bool { return next[address] == nil })
}
