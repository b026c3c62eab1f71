package steer

import (
	"slices"
	"time"

	"github.com/coriandershift/coriandershift/internal/protocol/fwdmsg"
	"github.com/coriandershift/coriandershift/internal/state/config"
	"github.com/coriandershift/coriandershift/internal/state/flow"
)

const (
	// maxChainLength is how many agents a packet of an unknown flow goes along. Nearly
	// all flows are at one of their first ranks.
	maxChainLength = 6

	// chainTimeout is how long that may take: a few hops between failure domains,
	// and some waiting.
	chainTimeout = 100 * time.Millisecond

	// queryInterval is the time between two rounds of questions. Flows that are lost
	// together are asked for together.
	queryInterval = 50 * time.Millisecond

	// queryTimeout is how long agents have to answer.
	queryTimeout = 400 * time.Millisecond

	// emptyAgentTimeout is how long agents without flows are waited for: they answer
	// at once if they live, and have nothing to say if they do not.
	emptyAgentTimeout = 150 * time.Millisecond

	// searchTTL is how long it is remembered that a flow was looked for. Callers
	// repeat a packet after 1.6 s at the latest.
	searchTTL = 4 * time.Second

	// maxQueriedAgents bounds the agents that are asked about a flow, the likeliest first.
	// A balancer that knew few agents may have placed it at any of them, so with
	// more agents than this nobody can say that a flow is gone.
	maxQueriedAgents = 256

	// maxSearches bounds the searches that are remembered, with up to 1.2 KB each.
	maxSearches = 2048
)

// searchState is how far a search has come.
type searchState uint8

const (
	stateChain   searchState = iota // the packet goes along the first ranks
	stateQueued                     // for the next round of questions
	stateQueried                    // the agents have been asked
	stateOffered                    // the agents that cannot know got the packet
	stateEnded                      // nobody has the flow, or nobody could tell
)

// search is a flow that is looked for.
type search struct {
	state searchState

	// enteredAt is when the state was entered. Answers to an earlier round do not count.
	enteredAt time.Time

	// packet is the caller's last one, acknowledged what it acknowledges.
	packet       []byte
	acknowledged uint32

	// agentsVersion is the version of the list of members that the search goes by.
	agentsVersion uint64

	// uncertain are the agents that cannot know whether they have the flow.
	uncertain []flow.Endpoint

	// inconclusive says that the search ended without certainty.
	inconclusive bool
}

// lookup looks for the agent that has a flow. The packet goes along the first
// ranks of the flow; if nobody there has it, all agents are asked, many flows in
// one message, and the packet goes only where it belongs.
func (r *Router) lookup(now time.Time, key flow.Key, p *flow.Packet, route *config.Route) {
	s := r.searches[key]
	if s == nil && len(r.searches) >= maxSearches {
		r.actions = append(r.actions, Action{Kind: Drop, Reason: NotFoundAgentUncertain, Key: key})
		return
	}

	first := s == nil
	if first {
		s = &search{state: stateChain, enteredAt: now}
		r.searches[key] = s
	}
	s.packet = append(s.packet[:0], p.Raw...)
	s.acknowledged = p.Acknowledged
	r.searchesActive = true
	switch {
	case s.state == stateChain:
		r.sendAlongChain(now, key, p.Raw, route, first)
	case s.state == stateEnded && (s.inconclusive || s.agentsVersion != r.agentsVersion):
		s.enter(stateQueued, now)
	}
}

func (s *search) enter(next searchState, now time.Time) {
	s.state, s.enteredAt = next, now
}

// sendAlongChain sends a packet along the first ranks of its flow. Only the packet that a
// search began with asks for a note; others of the flow go the same way.
func (r *Router) sendAlongChain(now time.Time, key flow.Key, packet []byte, route *config.Route, wantNote bool) {
	agents := r.likelyHolders(now, route, key.Hash())
	if len(agents) == 0 {
		_, agents = r.possibleHolders(now, route, key.Hash())
	}
	if len(agents) == 0 {
		r.actions = append(r.actions, Action{Kind: Drop, Reason: NoUpstream, Key: key})
		return
	}

	envelope := r.envelope(route, key, wantNote)
	for _, a := range agents[1:min(len(agents), maxChainLength)] {
		envelope.Ranks[envelope.RankCount] = a.endpoint
		envelope.RankCount++
	}
	r.send(Action{Reason: Lookup, Key: key, To: agents[0].endpoint, Envelope: envelope, Packet: packet})
}

// handleUnclaimed takes a packet back that went along agents, or was offered to one,
// without being taken.
func (r *Router) handleUnclaimed(now time.Time, e *fwdmsg.Envelope, p *flow.Packet) {
	key := p.KeyFromCaller()
	s := r.searches[key]
	if s == nil {
		return
	}
	switch s.state {
	case stateChain:
		s.enter(stateQueued, now)
	case stateOffered:
		s.uncertain = slices.DeleteFunc(s.uncertain, func(a flow.Endpoint) bool { return a == e.Agent && !e.Uncertain })
		if len(s.uncertain) == 0 {
			r.conclude(now, key, s)
		}
	}
}

// resolve sends the packet of a flow to the agent that has it.
func (r *Router) resolve(now time.Time, key flow.Key, s *search, agent flow.Endpoint) {
	delete(r.searches, key)
	if len(r.flows) < maxFlows {
		r.flows[key] = &flowEntry{agent: agent, lastActive: now}
	}
	if route := r.routes[key.Service]; route != nil {
		r.send(Action{Reason: Found, Key: key, To: agent, Envelope: r.envelope(route, key, false), Packet: s.packet})
	}
}

// offerToUncertain gives the packet of a flow that no agent knows to those that cannot know.
func (r *Router) offerToUncertain(now time.Time, key flow.Key, s *search) {
	route := r.routes[key.Service]
	if len(s.uncertain) == 0 || route == nil {
		r.conclude(now, key, s)
		return
	}
	s.enter(stateOffered, now)
	for _, a := range s.uncertain {
		if a == unansweredPlaceholder {
			continue
		}
		r.send(Action{Reason: Offered, Key: key, To: a, Envelope: r.envelope(route, key, true), Packet: s.packet})
	}
}

// conclude ends a search for a flow that no agent has. Its caller learns that it
// is gone if nothing speaks against it.
func (r *Router) conclude(now time.Time, key flow.Key, s *search) {
	route := r.routes[key.Service]
	if route == nil {
		r.endInconclusive(now, key, s, NoRoute)
		return
	}
	living, dead := r.possibleHolders(now, route, key.Hash())
	switch {
	case s.agentsVersion != r.agentsVersion, len(living) > maxQueriedAgents:
		r.endInconclusive(now, key, s, NotFoundAgentUncertain)
	case len(dead) > 0:
		r.endInconclusive(now, key, s, NotFoundAgentDied)
	case !r.converged, len(r.services) > maxSearchedServices && now.Sub(r.started) < maxFlowLifetime:
		r.endInconclusive(now, key, s, NotFoundAgentsUnknown)
	default:
		delete(r.searches, key)
		r.actions = append(r.actions, Action{Kind: Reset, Reason: FlowGone, Key: key, Sequence: s.acknowledged})
	}
}

// endInconclusive ends a search without certainty; the caller's next packet begins another round.
func (r *Router) endInconclusive(now time.Time, key flow.Key, s *search, reason Reason) {
	s.enter(stateEnded, now)
	s.inconclusive = true
	r.actions = append(r.actions, Action{Kind: Drop, Reason: reason, Key: key})
}
