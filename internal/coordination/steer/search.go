package steer

import (
	"slices"
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

	// searchTimeout is how long a search may take before it is begun anew: a
	// dozen hops between failure domains, and some waiting.
	searchTimeout = 150 * time.Millisecond

	// maxAsked bounds the agents that are asked about a flow, the likeliest first.
	// A balancer that knew few agents may have placed it at any of them, so with
	// more agents than this nobody can say that a flow is gone.
	maxAsked = 256

	// maxAtOnce bounds the agents that are asked side by side.
	maxAtOnce = 24

	// maxSearches bounds the searches that are remembered; about 1.4 KB each while
	// their packets are kept.
	maxSearches = 2048

	// settleEvery is how often a starting balancer looks whether it knows all agents.
	settleEvery = 100 * time.Millisecond

	// settleTime is how long after its start a balancer learns what the others
	// know: a digest goes out every two seconds.
	settleTime = 3 * time.Second

	// settleLatest is when a balancer goes by the agents that it knows, even if
	// some that were known before are missing.
	settleLatest = 10 * time.Second

	// deadDoubt is how long an agent that is taken for dead may still come back
	// beside an upstream with open flows.
	deadDoubt = 5 * time.Second
)

// search is a flow that is looked for.
type search struct {
	began time.Time

	// id is in the envelopes of the search, so that late answers to an earlier
	// one do not count.
	id uint16

	// said are the agents that do not have the flow; unsure if one of them
	// could not know.
	said   []flow.Endpoint
	unsure bool

	// chained says that the agents are asked one after the other.
	chained bool

	// members is the version of the list of members that the search goes by.
	members uint64

	// answered says that the search came to its end.
	answered bool

	// packet is kept while the balancer does not know all agents.
	packet []byte
}

// lookup looks for the agent that has a flow. The packet goes along the ranks of
// the flow. An agent that died silently breaks such a chain; then the agents are
// asked side by side when the caller repeats the packet.
func (s *Steer) lookup(now time.Time, key flow.Key, packet []byte, route *config.Route, except flow.Endpoint) {
	agents, dead := s.holders(now, route, key.Hash(), except)
	if len(agents) == 0 {
		s.ask(key, packet, route, dead, &search{})
		s.out = append(s.out, Action{Verb: Drop, Reason: NoUpstream, Key: key})
		return
	}

	f := s.searches[key]
	if f != nil && now.Sub(f.began) < searchTimeout {
		s.chain(key, packet, route, agents, nil)
		return
	}
	if f != nil && f.answered && !f.unsure && f.members == s.members && !s.settled {
		return // nobody new to ask
	}
	if f == nil {
		f = &search{answered: true}
		if len(s.searches) < maxSearches {
			s.searches[key] = f
		}
	}

	broken := !f.answered
	s.searchID++
	*f = search{began: now, id: s.searchID, members: s.members, chained: !broken}
	if !s.settled {
		f.packet = slices.Clone(packet)
	}
	if f.chained {
		s.chain(key, packet, route, agents, f)
		return
	}
	s.ask(key, packet, route, agents[:min(len(agents), maxAtOnce)], f)
}

// ask sends a packet to agents side by side.
func (s *Steer) ask(key flow.Key, packet []byte, route *config.Route, agents []*agent, f *search) {
	envelope := s.envelope(route, key, true)
	envelope.Search = f.id
	for _, a := range agents {
		s.send(Action{Reason: LookupAll, Key: key, To: a.endpoint, Envelope: envelope, Packet: packet})
	}
}

// chain sends a packet along agents. Only the packet that a search began with
// belongs to it; the others of the flow go the same way.
func (s *Steer) chain(key flow.Key, packet []byte, route *config.Route, agents []*agent, f *search) {
	envelope := s.envelope(route, key, f != nil)
	if f != nil {
		envelope.Search = f.id
	}
	for _, a := range agents[1:min(len(agents), hop.MaxRanks+1)] {
		envelope.Ranks[envelope.Count] = a.endpoint
		envelope.Count++
	}
	s.send(Action{Reason: Lookup, Key: key, To: agents[0].endpoint, Envelope: envelope, Packet: packet})
}

// answered takes a packet of a search back. Once all agents that may have the
// flow said that they do not, its caller learns that it is gone.
func (s *Steer) answered(now time.Time, e *hop.Envelope, p *flow.Packet, route *config.Route) {
	key := p.FromCaller()
	f := s.searches[key]
	if f == nil || f.id != e.Search || f.answered || s.flows[key] != nil {
		return
	}

	agents, dead := s.holders(now, route, key.Hash(), flow.Endpoint{})
	f.unsure = f.unsure || e.Unsure || f.members != s.members
	f.note(e, agents)
	if len(f.said) < min(len(agents), maxAsked) {
		s.askMore(key, p.Raw, route, agents, f)
		return
	}

	f.answered = true
	if doubt := s.doubt(f, dead); doubt != "" || p.Reset {
		s.ask(key, p.Raw, route, dead, f)
		s.out = append(s.out, Action{Verb: Drop, Reason: doubt, Key: key})
		return
	}
	delete(s.searches, key)
	s.out = append(s.out, Action{Verb: Reset, Reason: Gone, Key: key, Sequence: p.Acknowledged})
}

// askMore goes on with the agents that were not asked yet: along them, or side by
// side once all asked so far have answered.
func (s *Steer) askMore(key flow.Key, packet []byte, route *config.Route, agents []*agent, f *search) {
	said := len(f.said)
	switch {
	case f.members != s.members:
	case f.chained:
		s.chain(key, packet, route, agents[said:], f)
	case said%maxAtOnce == 0:
		s.ask(key, packet, route, agents[said:min(len(agents), said+maxAtOnce)], f)
	}
}

// doubt returns why a flow that nobody has may exist all the same, or nothing.
func (s *Steer) doubt(f *search, dead []*agent) Reason {
	switch {
	case f.unsure, len(f.said) >= maxAsked:
		return NotFoundUnsure
	case len(dead) > 0:
		return NotFoundDead
	case !s.settled:
		return NotFoundUnsettled
	}
	return ""
}

// Expect names the members that were known before the balancer started.
func (s *Steer) Expect(members []flow.Endpoint) {
	s.expected = members
	s.counted = true
}

// settle finds out whether all agents are known: those that were known before
// have been heard of, or had the time for it. Callers that could not be answered
// until then are answered now.
func (s *Steer) settle(now time.Time) {
	age := now.Sub(s.started)
	if s.settled || (age < settleLatest && !s.complete(age)) {
		return
	}

	s.settled = true
	for key, f := range s.searches {
		route := s.routes[key.Service]
		if f.packet == nil || route == nil || s.flows[key] != nil {
			continue
		}
		f.began, f.answered = time.Time{}, true
		s.lookup(now, key, f.packet, route, flow.Endpoint{})
		f.packet = nil
	}
}

// complete reports whether all members that were known before are known again.
// The list of them may lack the latest ones: unless all balancers started anew,
// it takes settleTime as well to learn what the others know.
func (s *Steer) complete(age time.Duration) bool {
	for _, settled := range s.balancers {
		if settled && age < settleTime {
			return false
		}
	}
	return s.counted && !slices.ContainsFunc(s.expected, func(e flow.Endpoint) bool {
		_, balancer := s.balancers[e]
		return !balancer && s.agents[e] == nil
	})
}

// Settled reports whether all agents are known.
func (s *Steer) Settled() bool {
	return s.settled
}

// Ready reports whether packets would be routed right. Where others go on, it
// takes until all agents are known; when all started anew, somebody has to begin.
func (s *Steer) Ready() bool {
	if s.revision == 0 || s.Agents() == 0 {
		return false
	}
	for _, settled := range s.balancers {
		if settled {
			return s.settled
		}
	}
	return true
}

// note records which agents do not have the flow: those that a chain went along
// in the order of agents, or the one that was asked alone.
func (f *search) note(e *hop.Envelope, agents []*agent) {
	if f.chained {
		from := len(f.said)
		for _, a := range agents[min(from, len(agents)):min(from+int(e.Tried)+1, len(agents))] {
			f.said = append(f.said, a.endpoint)
		}
		return
	}
	if !slices.Contains(f.said, e.Agent) {
		f.said = append(f.said, e.Agent)
	}
}

// holders returns the agents that may have a flow, the likeliest first: those of
// the services that its address leads to or led to, by rank. Those that died a
// moment ago come apart.
func (s *Steer) holders(now time.Time, route *config.Route, hash uint64, except flow.Endpoint) (living, dead []*agent) {
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
			case a.member.State != roster.Dead:
				living = append(living, a)
			case now.Sub(a.deadSince) < deadDoubt && !a.member.Empty:
				dead = append(dead, a)
			}
		}
	}
	return living, dead
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
		if !slices.Contains(names, former) {
			names = append(names, former)
		}
	}
	return names
}

// remember keeps the services that routes led to before a change: open flows stay there.
func (s *Steer) remember() {
	for address, route := range s.routes {
		for _, share := range route.Shares {
			if !slices.Contains(s.former[address], share.Service) {
				s.former[address] = append(s.former[address], share.Service)
			}
		}
	}
}
