package fleet

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
	// maxFlowLifetime is the platform's limit on the lifetime of a flow.
	maxFlowLifetime = 60 * time.Second

	// maxSearchedServices limits the search over all services. With up to this many, a
	// flow that may be older than the balancer is searched for at all of them, because
	// its route may have led to any of them.
	maxSearchedServices = 8

	// deadGracePeriod is the time in which an agent that was marked dead may still
	// come back, with open flows at its upstream.
	deadGracePeriod = 5 * time.Second

	// MaxLikely is the largest number of likely holders.
	MaxLikely = 6
)

// PossibleHolders returns the agents that may have a flow of a route. Agents that died less
// than deadGracePeriod ago and may have held flows are returned in dead.
func (f *Fleet) PossibleHolders(now time.Time, route *config.Route, hash uint64) (live, dead []*Agent) {
	for _, name := range f.candidateServices(now, route, hash) {
		svc := f.services[name]
		if svc == nil {
			continue
		}
		for _, a := range svc.agents {
			switch {
			case a.Member.State != roster.Dead:
				live = append(live, a)
			case now.Sub(a.deadSince) < deadGracePeriod && !a.Member.NoFlows:
				dead = append(dead, a)
			}
		}
	}
	return live, dead
}

// KnowsServices reports whether PossibleHolders covers all services that a route may have
// led to while its open flows were opened.
func (f *Fleet) KnowsServices(now time.Time) bool {
	return len(f.services) <= maxSearchedServices || now.Sub(f.started) >= maxFlowLifetime
}

// LikelyHolders returns up to MaxLikely agents that may have a flow and answer, in the order of
// likelihood. Nearly all flows are at one of them. An agent that does not answer would end
// the chain along which a packet is passed.
func (f *Fleet) LikelyHolders(now time.Time, route *config.Route, hash uint64) []*Agent {
	var order [2 * MaxLikely]int
	var scores [2 * MaxLikely]uint64
	agents := make([]*Agent, 0, MaxLikely)
	for _, name := range f.candidateServices(now, route, hash) {
		svc := f.services[name]
		if svc == nil {
			continue
		}
		count := rank.Top(hash, svc.holders, order[:], scores[:])
		for _, i := range order[:count] {
			if a := svc.agents[i]; !a.SeemsSilent(now) {
				agents = append(agents, a)
			}
			if len(agents) == MaxLikely {
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
func (f *Fleet) candidateServices(now time.Time, route *config.Route, hash uint64) []string {
	first := route.PickService(hash)
	names := []string{first}
	for _, share := range route.Shares {
		if share.Service != first {
			names = append(names, share.Service)
		}
	}
	for _, former := range f.formerServices[flow.EndpointOf(route.Address)] {
		if !slices.Contains(names, former) {
			names = append(names, former)
		}
	}
	if now.Sub(f.started) > maxFlowLifetime || len(f.services) > maxSearchedServices {
		return names
	}
	for _, name := range slices.Sorted(maps.Keys(f.services)) {
		if !slices.Contains(names, name) {
			names = append(names, name)
		}
	}
	return names
}

// recordFormerServices records the services that routes lead to now and not in next:
// open flows stay there. Former services of removed routes are deleted.
func (f *Fleet) recordFormerServices(next *config.Config) {
	routes := make(map[flow.Endpoint]*config.Route, len(next.Routes))
	for i := range next.Routes {
		routes[flow.EndpointOf(next.Routes[i].Address)] = &next.Routes[i]
	}
	for i := range f.cfg.Routes {
		address := flow.EndpointOf(f.cfg.Routes[i].Address)
		for _, share := range f.cfg.Routes[i].Shares {
			if to := routes[address]; to != nil && !to.Serves(share.Service) && !slices.Contains(f.formerServices[address], share.Service) {
				f.formerServices[address] = append(f.formerServices[address], share.Service)
			}
		}
	}
	maps.DeleteFunc(f.formerServices, func(address flow.Endpoint, _ []string) bool { return routes[address] == nil })
}
