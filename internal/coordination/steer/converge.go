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
	// convergeDelay is the time after its start in which a balancer learns the other
	// balancers' member records: they send a digest every two seconds.
	convergeDelay = 3 * time.Second

	// convergeDeadline is the time after its start from which a balancer takes its
	// list of agents as complete, even if expected members are missing.
	convergeDeadline = 10 * time.Second

	// maxFlowLifetime is the platform's limit on the lifetime of a flow.
	maxFlowLifetime = 60 * time.Second

	// maxSearchedServices limits the search over all services. With up to this many, a
	// flow that may be older than the balancer is searched for at all of them, because
	// its route may have led to any of them.
	maxSearchedServices = 8

	// deadGracePeriod is the time in which an agent that was marked dead may still
	// come back, with open flows at its upstream.
	deadGracePeriod = 5 * time.Second
)

// ExpectMembers sets the members that were known before the balancer started, as a
// census lists them.
func (r *Router) ExpectMembers(members []flow.Endpoint) {
	r.expected = members
	r.expectedSet = true
}

// MarkSynced records that a balancer which knows all members has the same list as
// this one.
func (r *Router) MarkSynced() {
	r.synced = true
}

// checkConverged sets converged once all expected members are known or gone, or
// convergeDeadline has passed. Searches that ended without a result before then are
// queued for another query, so that their callers get an answer.
func (r *Router) checkConverged(now time.Time) {
	age := now.Sub(r.started)
	if r.converged || (age < convergeDeadline && !r.expectedMembersFound(age)) {
		return
	}

	r.converged = true
	for _, s := range r.searches {
		if s.state == stateEnded {
			s.enter(stateQueued, now)
		}
	}
}

// expectedMembersFound reports whether all expected members are known or gone. The list of
// expected members may lack the latest ones: if another balancer was running before
// this one started, the list must also agree with that of a balancer that knows all
// members, or convergeDelay must have passed.
func (r *Router) expectedMembersFound(age time.Duration) bool {
	for _, hadConverged := range r.balancers {
		if hadConverged && !r.synced && age < convergeDelay {
			return false
		}
	}
	return r.expectedSet && !slices.ContainsFunc(r.expected, func(e flow.Endpoint) bool {
		return !r.isKnown(e) && !r.isGone(e)
	})
}

// Converged reports whether the balancer takes its list of agents as complete. Only
// then does it reset flows that it does not find.
func (r *Router) Converged() bool {
	return r.converged
}

// Ready reports whether the balancer should get packets from the fabric. While other
// balancers run that knew all agents, it waits until it has converged itself. If all
// balancers have just started, none can wait for another, so that any eligible agent
// is enough.
func (r *Router) Ready() bool {
	if r.cfg.Revision == 0 || r.EligibleAgentCount() == 0 {
		return false
	}
	for _, hadConverged := range r.balancers {
		if hadConverged {
			return r.converged
		}
	}
	return true
}

// possibleHolders returns the agents that may have a flow, those of its
// candidateServices. Agents that died less than deadGracePeriod ago and may have held
// flows are returned in dead.
func (r *Router) possibleHolders(now time.Time, route *config.Route, hash uint64) (live, dead []*agent) {
	for _, name := range r.candidateServices(now, route, hash) {
		svc := r.services[name]
		if svc == nil {
			continue
		}
		for _, a := range svc.agents {
			switch {
			case a.member.State != roster.Dead:
				live = append(live, a)
			case now.Sub(a.deadSince) < deadGracePeriod && !a.member.NoFlows:
				dead = append(dead, a)
			}
		}
	}
	return live, dead
}

// likelyHolders returns up to maxChainLength agents that may have a flow and answer, in
// the order of likelihood. An agent that does not answer would end the chain.
func (r *Router) likelyHolders(now time.Time, route *config.Route, hash uint64) []*agent {
	var order, scores = [2 * maxChainLength]int{}, [2 * maxChainLength]uint64{}
	agents := make([]*agent, 0, maxChainLength)
	for _, name := range r.candidateServices(now, route, hash) {
		svc := r.services[name]
		if svc == nil {
			continue
		}
		count := rank.Top(hash, svc.holders, order[:], scores[:])
		for _, i := range order[:count] {
			if a := svc.agents[i]; !a.seemsSilent(now) {
				agents = append(agents, a)
			}
			if len(agents) == maxChainLength {
				return agents
			}
		}
	}
	return agents
}

// candidateServices returns the services that may have a flow of a route: first the
// one that new flows of this hash go to, then others of the route, then its former
// ones. A balancer does not know where routes led before its start, so as long as
// flows of that time may exist, all services follow, up to maxSearchedServices.
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

// recordFormerServices records the services that routes lead to now and not in next:
// open flows stay there. Former services of removed routes are deleted.
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
