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
	// settleTime is how long after its start a balancer learns what the others
	// know: a digest goes out every two seconds.
	settleTime = 3 * time.Second

	// settleLatest is when a balancer goes by the agents that it knows, even if
	// some that were known before are missing.
	settleLatest = 10 * time.Second

	// flowLife is how long a flow may live, as the platform bounds it.
	flowLife = 60 * time.Second

	// fewServices is up to how many services all are asked for a flow whose route
	// may have led elsewhere before this balancer started.
	fewServices = 8

	// deadDoubt is how long an agent that is taken for dead may still come back
	// beside an upstream with open flows.
	deadDoubt = 5 * time.Second
)

// ExpectMembers names the members that were known before the balancer started.
func (s *Router) ExpectMembers(members []flow.Endpoint) {
	s.expected = members
	s.counted = true
}

// MarkSynced says that a balancer which knew all members has the same list.
func (s *Router) MarkSynced() {
	s.agreed = true
}

// settle finds out whether all agents are known: those that were known before
// have been heard of, or had the time for it. Callers that could not be answered
// until then are answered now.
func (s *Router) settle(now time.Time) {
	age := now.Sub(s.started)
	if s.settled || (age < settleLatest && !s.complete(age)) {
		return
	}

	s.settled = true
	for _, f := range s.searches {
		if f.state == answered {
			f.enter(waiting, now)
		}
	}
}

// complete reports whether all members that were known before are known again.
// The list of them may lack the latest ones: unless all balancers started anew,
// it takes agreement with one that knows all as well, or settleTime.
func (s *Router) complete(age time.Duration) bool {
	for _, settled := range s.balancers {
		if settled && !s.agreed && age < settleTime {
			return false
		}
	}
	return s.counted && !slices.ContainsFunc(s.expected, func(e flow.Endpoint) bool {
		_, balancer := s.balancers[e]
		return !balancer && s.agents[e] == nil
	})
}

// Converged reports whether all agents are known.
func (s *Router) Converged() bool {
	return s.settled
}

// Ready reports whether packets would be routed right. Where others go on, it
// takes until all agents are known; when all started anew, somebody has to begin.
func (s *Router) Ready() bool {
	if s.cfg.Revision == 0 || s.EligibleAgentCount() == 0 {
		return false
	}
	for _, settled := range s.balancers {
		if settled {
			return s.settled
		}
	}
	return true
}

// holders returns the agents that may have a flow, the likeliest first: those of
// the services that its address leads to or led to, by rank. Those that died a
// moment ago come apart.
func (s *Router) holders(now time.Time, route *config.Route, hash uint64) (living, dead []*agent) {
	for _, name := range s.servicesOf(now, route, hash) {
		svc := s.services[name]
		if svc == nil {
			continue
		}
		order, scores := make([]int, len(svc.agents)), make([]uint64, len(svc.agents))
		count := rank.Top(hash, svc.ranked, order, scores)
		for _, i := range order[:count] {
			a := svc.agents[i]
			switch {
			case a.member.State != roster.Dead:
				living = append(living, a)
			case now.Sub(a.deadSince) < deadDoubt && !a.member.NoFlows:
				dead = append(dead, a)
			}
		}
	}
	return living, dead
}

// likeliest returns the living agents that are asked for a flow first.
func (s *Router) likeliest(now time.Time, route *config.Route, hash uint64) []*agent {
	var order [chainLength]int
	var scores [chainLength]uint64
	agents := make([]*agent, 0, chainLength)
	for _, name := range s.servicesOf(now, route, hash) {
		svc := s.services[name]
		if svc == nil {
			continue
		}
		count := rank.Top(hash, svc.living, order[:chainLength-len(agents)], scores[:])
		for _, i := range order[:count] {
			agents = append(agents, svc.agents[i])
		}
		if len(agents) == chainLength {
			break
		}
	}
	return agents
}

// servicesOf returns the services that may have a flow of a route: the one that
// new flows of this hash go to first. A balancer does not know where routes led
// before its start, so for as long as flows of that time may live it takes all.
func (s *Router) servicesOf(now time.Time, route *config.Route, hash uint64) []string {
	first := route.PickService(hash)
	names := []string{first}
	for _, share := range route.Shares {
		if share.Service != first {
			names = append(names, share.Service)
		}
	}
	for _, former := range s.former[flow.EndpointOf(route.Address)] {
		if !slices.Contains(names, former) {
			names = append(names, former)
		}
	}
	if now.Sub(s.started) > flowLife || len(s.services) > fewServices {
		return names
	}
	for _, name := range slices.Sorted(maps.Keys(s.services)) {
		if !slices.Contains(names, name) {
			names = append(names, name)
		}
	}
	return names
}

// remember keeps the services that routes led to before a change and do not lead
// to any more: open flows stay there.
func (s *Router) remember(next map[flow.Endpoint]*config.Route) {
	for address, route := range s.routes {
		for _, share := range route.Shares {
			if to := next[address]; to != nil && !to.Serves(share.Service) && !slices.Contains(s.former[address], share.Service) {
				s.former[address] = append(s.former[address], share.Service)
			}
		}
	}
	maps.DeleteFunc(s.former, func(address flow.Endpoint, _ []string) bool { return next[address] == nil })
}
