package steer

import (
	"time"

	"github.com/coriandershift/coriandershift/internal/coordination/rank"
	"github.com/coriandershift/coriandershift/internal/protocol/hop"
	"github.com/coriandershift/coriandershift/internal/state/config"
	"github.com/coriandershift/coriandershift/internal/state/flow"
	"github.com/coriandershift/coriandershift/internal/state/roster"
)

const (
	// searchTTL is how long it is remembered that a flow was looked for. Callers
	// repeat a packet after 1.6 s at the latest.
	searchTTL = 4 * time.Second

	// wideAfter is after how many searches all agents are asked, not only those
	// that rank highest for the flow.
	wideAfter = 2

	// maxSearches bounds the searches that are remembered.
	maxSearches = 8192
)

// search is a flow that was looked for.
type search struct {
	at    time.Time
	tries int
}

// lookup looks for the agent that has a flow. At first the packet goes along the
// ranks of the flow. An agent that died silently ends such a chain, so when the
// caller repeats the packet the agents are asked side by side.
func (s *Steer) lookup(now time.Time, key flow.Key, packet []byte, route *config.Route, except flow.Endpoint) {
	agents := s.holders(route, key.Hash(), except)
	if len(agents) == 0 {
		s.out = append(s.out, Action{Verb: Drop, Reason: NoUpstream, Key: key})
		return
	}

	f := s.searches[key]
	if f == nil {
		f = &search{}
		if len(s.searches) < maxSearches {
			s.searches[key] = f
		}
	}
	f.at = now
	f.tries++
	if f.tries == 1 {
		s.chain(key, packet, route, agents)
		return
	}
	if f.tries <= wideAfter {
		agents = agents[:min(len(agents), hop.MaxRanks)]
	}
	for _, a := range agents {
		s.send(Action{Reason: LookupAll, Key: key, To: a.endpoint, Envelope: s.envelope(route, key, true), Packet: packet})
	}
}

func (s *Steer) chain(key flow.Key, packet []byte, route *config.Route, agents []*agent) {
	envelope := s.envelope(route, key, true)
	for _, a := range agents[1:min(len(agents), hop.MaxRanks+1)] {
		envelope.Ranks[envelope.Count] = a.endpoint
		envelope.Count++
	}
	s.send(Action{Reason: Lookup, Key: key, To: agents[0].endpoint, Envelope: envelope, Packet: packet})
}

// holders returns the agents that may have a flow, the likeliest first: those of
// the services that its address leads to or led to, by rank, living ones first.
func (s *Steer) holders(route *config.Route, hash uint64, except flow.Endpoint) []*agent {
	var living, others []*agent
	for _, name := range s.servicesOf(route, hash) {
		svc := s.services[name]
		if svc == nil {
			continue
		}
		order, scores := make([]int, len(svc.agents)), make([]uint64, len(svc.agents))
		count := rank.Top(hash, svc.ranked, order, scores)
		for _, i := range order[:count] {
			a := svc.agents[i]
			switch {
			case a.endpoint == except:
			case a.member.State == roster.Dead:
				others = append(others, a)
			default:
				living = append(living, a)
			}
		}
	}
	return append(living, others...)
}

// servicesOf returns the services that may have a flow of a route: the one that
// new flows of this hash go to first.
func (s *Steer) servicesOf(route *config.Route, hash uint64) []string {
	first := route.Pick(hash)
	names := []string{first}
	for _, share := range route.Shares {
		if share.Service != first {
			names = append(names, share.Service)
		}
	}
	for _, former := range s.former[flow.EndpointOf(route.Address)] {
		if !contains(names, former) {
			names = append(names, former)
		}
	}
	return names
}

func contains(names []string, name string) bool {
	for _, n := range names {
		if n == name {
			return true
		}
	}
	return false
}

// remember keeps the services that routes led to before a change: open flows stay there.
func (s *Steer) remember() {
	for address, route := range s.routes {
		for _, share := range route.Shares {
			if !contains(s.former[address], share.Service) {
				s.former[address] = append(s.former[address], share.Service)
			}
		}
	}
}
