package fleet

import (
	"slices"
	"time"

	"github.com/coriandershift/coriandershift/internal/state/config"
	"github.com/coriandershift/coriandershift/internal/state/flow"
)

// formerTTL is the time for which former services are kept: other balancers may open flows
// there until they have the change, too.
const formerTTL = maxFlowLifetime + config.ChangeBound

// former keeps where routes led in earlier configurations.
type former struct {
	// since is the time from which every configuration is known: the start, or the latest
	// change that other configurations, unknown here, may have preceded.
	since time.Time

	// routes are the former services of the routes by address, with the time at which they
	// became known as such; dropped are the addresses that have no route any more.
	routes  map[flow.Endpoint]map[string]time.Time
	dropped map[flow.Endpoint]bool
}

func newFormer(started time.Time) *former {
	return &former{since: started, routes: map[flow.Endpoint]map[string]time.Time{}, dropped: map[flow.Endpoint]bool{}}
}

// record records the former services of a configuration that replaces another one.
func (f *former) record(now time.Time, previous, next *config.Config) {
	if previous.Revision == 0 {
		return
	}
	if !next.HasFormerSince(previous.Revision) {
		f.since = now
	}
	for _, entry := range previous.FormerIn(next) {
		f.add(now, entry)
	}
	for _, entry := range next.FormerSince(previous.Revision) {
		f.add(now, entry)
	}
	for i := range next.Routes {
		delete(f.dropped, flow.EndpointOf(next.Routes[i].Address))
	}
}

func (f *former) add(now time.Time, entry config.Former) {
	address := flow.EndpointOf(entry.Address)
	if f.routes[address] == nil {
		f.routes[address] = map[string]time.Time{}
	}
	for _, service := range entry.Services {
		f.routes[address][service] = now
	}
	f.dropped[address] = true // unless the configuration has a route
}

// services returns the former services of an address, sorted.
func (f *former) services(address flow.Endpoint) []string {
	names := make([]string, 0, len(f.routes[address]))
	for name := range f.routes[address] {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// covers reports whether services returns all former services at which flows may be open, but
// for configurations that have not reached this balancer yet.
func (f *former) covers(now time.Time) bool {
	return now.Sub(f.since) >= formerTTL
}

func (f *former) wasDropped(address flow.Endpoint) bool {
	return f.dropped[address]
}

func (f *former) evict(now time.Time) {
	for address, services := range f.routes {
		for name, at := range services {
			if now.Sub(at) >= formerTTL {
				delete(services, name)
			}
		}
		if len(services) == 0 {
			delete(f.routes, address)
			delete(f.dropped, address)
		}
	}
}
