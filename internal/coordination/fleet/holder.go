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
	// flow is searched for at all of them before it counts as gone, because its route may
	// have led to any of them in a configuration that this balancer has not had.
	maxSearchedServices = 8

	// deadGracePeriod is the time in which an agent that was marked dead may still
	// come back, with open flows at its upstream.
	deadGracePeriod = 5 * time.Second

	// MaxLikely is the largest number of likely holders.
	MaxLikely = 6
)

// PossibleHolders returns the agents that may have a flow of a route, as far as the
// configurations seen here tell. Agents that died less than deadGracePeriod ago and may have
// held flows are returned in dead.
func (f *Fleet) PossibleHolders(now time.Time, route *config.Route, hash uint64) (live, dead []*Agent) {
	return f.holdersOf(now, f.candidateServices(now, route, hash))
}

// AllHolders is like PossibleHolders, but covers configurations that have not been seen here:
// they may have led the route to any service. With more than maxSearchedServices it equals
// PossibleHolders.
func (f *Fleet) AllHolders(now time.Time, route *config.Route, hash uint64) (live, dead []*Agent) {
	return f.holdersOf(now, f.withOthers(f.candidateServices(now, route, hash)))
}

func (f *Fleet) holdersOf(now time.Time, services []string) (live, dead []*Agent) {
	for _, name := range services {
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

// ServicesKnownFrom returns the time from which AllHolders covers all services to which a route
// may have led when a flow was opened, the zero time if it does in any case. The flow was open
// at a time; the configuration of then reaches this balancer within config.ChangeBound.
func (f *Fleet) ServicesKnownFrom(open time.Time) time.Time {
	if len(f.services) <= maxSearchedServices {
		return time.Time{}
	}
	known := f.former.since.Add(formerTTL)
	if at := open.Add(config.ChangeBound); at.After(known) {
		return at
	}
	return known
}

// WasDropped reports whether the route of an address was dropped within the lifetime of a
// flow, and there is no other.
func (f *Fleet) WasDropped(address flow.Endpoint) bool {
	return f.former.wasDropped(address)
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
// ones. All services follow, up to maxSearchedServices, if the route is not known, or may
// have led elsewhere in configurations that this balancer has not had.
func (f *Fleet) candidateServices(now time.Time, route *config.Route, hash uint64) []string {
	var names []string
	if len(route.Shares) > 0 {
		names = append(names, route.PickService(hash))
	}
	add := func(name string) {
		if !slices.Contains(names, name) {
			names = append(names, name)
		}
	}
	for _, share := range route.Shares {
		add(share.Service)
	}
	for _, name := range f.former.services(flow.EndpointOf(route.Address)) {
		add(name)
	}
	if len(route.Shares) == 0 || !f.former.covers(now) {
		return f.withOthers(names)
	}
	return names
}

// withOthers returns names and the other services after them, if there are at most
// maxSearchedServices.
func (f *Fleet) withOthers(names []string) []string {
	if len(f.services) > maxSearchedServices {
		return names
	}
	for _, name := range slices.Sorted(maps.Keys(f.services)) {
		if !slices.Contains(names, name) {
			names = append(names, name)
		}
	}
	return names
}
