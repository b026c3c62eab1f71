package steer

import (
	"slices"
	"time"

	"github.com/coriandershift/coriandershift/internal/protocol/fwdmsg"
	"github.com/coriandershift/coriandershift/internal/state/config"
	"github.com/coriandershift/coriandershift/internal/state/flow"
)

const (
	// chainLength is how many agents a packet of an unknown flow goes along. Nearly
	// all flows are at one of their first ranks.
	chainLength = 6

	// chainTimeout is how long that may take: a few hops between failure domains,
	// and some waiting.
	chainTimeout = 100 * time.Millisecond

	// queryEvery is the time between two rounds of questions. Flows that are lost
	// together are asked for together.
	queryEvery = 50 * time.Millisecond

	// queryTimeout is how long agents have to answer.
	queryTimeout = 400 * time.Millisecond

	// emptyPatience is how long agents without flows are waited for: they answer
	// at once if they live, and have nothing to say if they do not.
	emptyPatience = 150 * time.Millisecond

	// searchTTL is how long it is remembered that a flow was looked for. Callers
	// repeat a packet after 1.6 s at the latest.
	searchTTL = 4 * time.Second

	// maxAsked bounds the agents that are asked about a flow, the likeliest first.
	// A balancer that knew few agents may have placed it at any of them, so with
	// more agents than this nobody can say that a flow is gone.
	maxAsked = 256

	// maxSearches bounds the searches that are remembered, with up to 1.2 KB each.
	maxSearches = 2048
)

// state is how far a search has come.
type state uint8

const (
	chained  state = iota // the packet goes along the first ranks
	waiting               // for the next round of questions
	asked                 // the agents have been asked
	offered               // the agents that cannot know got the packet
	answered              // nobody has the flow, or nobody could tell
)

// search is a flow that is looked for.
type search struct {
	state state

	// at is when the state was entered. Answers to an earlier round do not count.
	at time.Time

	// packet is the caller's last one, acknowledged what it acknowledges.
	packet       []byte
	acknowledged uint32

	// members is the version of the list of members that the search goes by.
	members uint64

	// unsure are the agents that cannot know whether they have the flow.
	unsure []flow.Endpoint

	// doubtful says that the search ended without certainty.
	doubtful bool
}

// lookup looks for the agent that has a flow. The packet goes along the first
// ranks of the flow; if nobody there has it, all agents are asked, many flows in
// one message, and the packet goes only where it belongs.
func (s *Router) lookup(now time.Time, key flow.Key, p *flow.Packet, route *config.Route) {
	f := s.searches[key]
	if f == nil && len(s.searches) >= maxSearches {
		s.out = append(s.out, Action{Kind: Drop, Reason: NotFoundAgentUncertain, Key: key})
		return
	}

	first := f == nil
	if first {
		f = &search{state: chained, at: now}
		s.searches[key] = f
	}
	f.packet = append(f.packet[:0], p.Raw...)
	f.acknowledged = p.Acknowledged
	s.active = true
	switch {
	case f.state == chained:
		s.chain(now, key, p.Raw, route, first)
	case f.state == answered && (f.doubtful || f.members != s.members):
		f.enter(waiting, now)
	}
}

func (f *search) enter(next state, now time.Time) {
	f.state, f.at = next, now
}

// chain sends a packet along the first ranks of its flow. Only the packet that a
// search began with asks for a note; others of the flow go the same way.
func (s *Router) chain(now time.Time, key flow.Key, packet []byte, route *config.Route, wantNote bool) {
	agents := s.likeliest(now, route, key.Hash())
	if len(agents) == 0 {
		_, agents = s.holders(now, route, key.Hash())
	}
	if len(agents) == 0 {
		s.out = append(s.out, Action{Kind: Drop, Reason: NoUpstream, Key: key})
		return
	}

	envelope := s.envelope(route, key, wantNote)
	for _, a := range agents[1:min(len(agents), chainLength)] {
		envelope.Ranks[envelope.RankCount] = a.endpoint
		envelope.RankCount++
	}
	s.send(Action{Reason: Lookup, Key: key, To: agents[0].endpoint, Envelope: envelope, Packet: packet})
}

// passedOn takes a packet back that went along agents, or was offered to one,
// without being taken.
func (s *Router) passedOn(now time.Time, e *fwdmsg.Envelope, p *flow.Packet) {
	key := p.KeyFromCaller()
	f := s.searches[key]
	if f == nil {
		return
	}
	switch f.state {
	case chained:
		f.enter(waiting, now)
	case offered:
		f.unsure = slices.DeleteFunc(f.unsure, func(a flow.Endpoint) bool { return a == e.Agent && !e.Uncertain })
		if len(f.unsure) == 0 {
			s.conclude(now, key, f)
		}
	}
}

// found sends the packet of a flow to the agent that has it.
func (s *Router) found(now time.Time, key flow.Key, f *search, agent flow.Endpoint) {
	delete(s.searches, key)
	if len(s.flows) < maxFlows {
		s.flows[key] = &entry{agent: agent, at: now}
	}
	if route := s.routes[key.Service]; route != nil {
		s.send(Action{Reason: Found, Key: key, To: agent, Envelope: s.envelope(route, key, false), Packet: f.packet})
	}
}

// offer gives the packet of a flow that no agent knows to those that cannot know.
func (s *Router) offer(now time.Time, key flow.Key, f *search) {
	route := s.routes[key.Service]
	if len(f.unsure) == 0 || route == nil {
		s.conclude(now, key, f)
		return
	}
	f.enter(offered, now)
	for _, a := range f.unsure {
		if a == silentAgent {
			continue
		}
		s.send(Action{Reason: Offered, Key: key, To: a, Envelope: s.envelope(route, key, true), Packet: f.packet})
	}
}

// conclude ends a search for a flow that no agent has. Its caller learns that it
// is gone if nothing speaks against it.
func (s *Router) conclude(now time.Time, key flow.Key, f *search) {
	route := s.routes[key.Service]
	if route == nil {
		s.end(now, key, f, NoRoute)
		return
	}
	living, dead := s.holders(now, route, key.Hash())
	switch {
	case f.members != s.members, len(living) > maxAsked:
		s.end(now, key, f, NotFoundAgentUncertain)
	case len(dead) > 0:
		s.end(now, key, f, NotFoundAgentDied)
	case !s.settled, len(s.services) > fewServices && now.Sub(s.started) < flowLife:
		s.end(now, key, f, NotFoundAgentsUnknown)
	default:
		delete(s.searches, key)
		s.out = append(s.out, Action{Kind: Reset, Reason: FlowGone, Key: key, Sequence: f.acknowledged})
	}
}

// end ends a search without certainty; the caller's next packet begins another round.
func (s *Router) end(now time.Time, key flow.Key, f *search, reason Reason) {
	f.enter(answered, now)
	f.doubtful = true
	s.out = append(s.out, Action{Kind: Drop, Reason: reason, Key: key})
}
