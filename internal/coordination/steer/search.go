package steer

import (
	"slices"
	"time"

	"github.com/coriandershift/coriandershift/internal/protocol/fwdmsg"
	"github.com/coriandershift/coriandershift/internal/state/config"
	"github.com/coriandershift/coriandershift/internal/state/flow"
)

const (
	// maxChainLength limits the agents to which a packet of an unknown flow is passed
	// in turn. Nearly all flows are at one of their highest ranked agents.
	maxChainLength = 6

	// maxChainTimeout is the longest time allowed for passing the packet along the chain: a
	// few hops between failure domains, and some queueing.
	maxChainTimeout = 100 * time.Millisecond

	// queryInterval is the time between two ticks while flows are searched for or packets
	// are held, unless something is due before.
	queryInterval = 50 * time.Millisecond

	// batchDelay is the time for which a flow waits for others that are asked about in the
	// same query. Flows that are lost together come back from their agents together.
	batchDelay = 5 * time.Millisecond

	// queryTimeout is the time that agents have to answer a query or an offered packet.
	queryTimeout = 400 * time.Millisecond

	// maxSilence is the longest silence after which queries stop waiting for an agent that
	// holds no flows: it answers at once if it is alive, and if it is not, no flow is
	// missed. The silence may have begun with an earlier query.
	maxSilence = 150 * time.Millisecond

	// minReplyDelay is the least time that such an agent has to answer a query even so, in
	// case that it has come back. It has twice as long as the others took, if that is more.
	minReplyDelay = 5 * time.Millisecond

	// maxResendDelay is the longest time after which a query is repeated to the agents that
	// have not replied.
	maxResendDelay = 100 * time.Millisecond

	// minSearchTimeout is the least value of the timeouts that follow measured times: an
	// agent may have to wait for the processor.
	minSearchTimeout = 20 * time.Millisecond

	// retryDelay is the time after which an inconclusive search asks again without
	// another packet of the caller, and retryPeriod how long after the caller's last
	// packet it does so. Callers retransmit a packet after 1.6 s at the latest.
	retryDelay  = 200 * time.Millisecond
	retryPeriod = 1800 * time.Millisecond

	// searchTTL is the time after the caller's last packet at which a search is removed.
	searchTTL = 4 * time.Second

	// maxAskedAtOnce limits the agents that are asked about a flow at once; the others
	// are asked after those have replied.
	maxAskedAtOnce = 256

	// maxQueriedAgents limits the agents that are asked about a flow. A balancer that
	// knew few agents may have placed the flow at any of them, so with more agents than
	// this a flow is never declared gone.
	maxQueriedAgents = 4096

	// maxSearches limits the searches that are kept, of up to 1.2 KB each.
	maxSearches = 2048
)

// searchState is the stage of a search.
type searchState uint8

const (
	stateChain   searchState = iota // the packet is passed along the highest ranked agents
	stateQueued                     // waits for the next query
	stateQueried                    // a query has been sent
	stateOffered                    // the packet was sent to the agents that cannot tell whether they have the flow
	stateEnded                      // ended without finding the flow or proving it gone
)

// search is the search for the agent that has a flow.
type search struct {
	state searchState

	// startedAt is when the search began, and enteredAt when state was entered.
	startedAt, enteredAt time.Time

	// packet is a copy of the caller's latest packet, acknowledged its
	// acknowledgement number and packetAt the time of its arrival.
	packet       []byte
	acknowledged uint32
	packetAt     time.Time

	// query is the last query about the flow. Replies to an earlier one are ignored.
	query *query

	// queryCount is the number of queries about the flow.
	queryCount int

	// uncertain are the agents that cannot tell whether they have the flow, and
	// unansweredPlaceholder if some did not answer.
	uncertain []flow.Endpoint

	// retry says that the search ended without knowing whether the flow exists, and
	// that another query may tell.
	retry bool
}

// lookup starts or continues the search for the agent that has a flow. The packet
// is passed along the highest ranked agents of the flow first. If none of them has
// the flow, all agents are queried, many flows in one message, and the packet is
// sent only to the agent that reports it.
func (r *Router) lookup(now time.Time, key flow.Key, p *flow.Packet, route *config.Route) {
	s := r.searches[key]
	if s == nil && len(r.searches) >= maxSearches {
		r.actions = append(r.actions, Action{Kind: Drop, Reason: NotFoundAgentUncertain, Key: key})
		return
	}

	isNew := s == nil
	if isNew {
		r.advanceAt(now, now.Add(r.replyTimeout(r.chainTimeout.Value(now))))
		s = &search{state: stateChain, startedAt: now, enteredAt: now}
		r.searches[key] = s
	}
	s.packet = append(s.packet[:0], p.Raw...)
	s.acknowledged = p.Acknowledged
	s.packetAt = now
	r.searchesActive = true
	switch s.state {
	case stateChain:
		r.sendAlongChain(now, key, p.Raw, route, isNew)
	case stateEnded:
		r.queueForQuery(now, s)
	}
}

// queueForQuery has the next query ask about a search's flow.
func (r *Router) queueForQuery(now time.Time, s *search) {
	s.enter(stateQueued, now)
	r.advanceAt(now, now.Add(batchDelay))
}

// advanceAt has the searches advance at a later time, if that is before the next regular
// tick.
func (r *Router) advanceAt(now, due time.Time) {
	if due.After(now) && (r.searchDue.IsZero() || due.Before(r.searchDue)) {
		r.searchDue = due
	}
}

func (s *search) enter(next searchState, now time.Time) {
	s.state, s.enteredAt = next, now
}

// shouldRetry reports whether a search that ended without a result should ask again
// now, a delay after its end.
func (s *search) shouldRetry(now time.Time, delay time.Duration) bool {
	if s.state != stateEnded || !s.retry {
		return false
	}
	s.retry = now.Sub(s.packetAt) < retryPeriod
	return s.retry && now.Sub(s.enteredAt) >= delay
}

// sendAlongChain sends a packet along the highest ranked agents of its flow: each
// agent without the flow passes it on to the next. Only the first packet of a search
// asks for a notice; later ones take the same path.
func (r *Router) sendAlongChain(now time.Time, key flow.Key, packet []byte, route *config.Route, wantNotice bool) {
	agents := r.likelyHolders(now, route, key.Hash())
	if len(agents) == 0 {
		live, dead := r.possibleHolders(now, route, key.Hash())
		if len(live) > 0 {
			r.queueForQuery(now, r.searches[key])
			return
		}
		agents = dead // they may come back
	}
	if len(agents) == 0 {
		r.actions = append(r.actions, Action{Kind: Drop, Reason: NoUpstream, Key: key})
		return
	}

	envelope := r.envelope(route, key, wantNotice)
	for _, a := range agents[1:min(len(agents), maxChainLength)] {
		envelope.Ranks[envelope.RankCount] = a.endpoint
		envelope.RankCount++
	}
	r.send(Action{Reason: Lookup, Key: key, To: agents[0].endpoint, Envelope: envelope, Packet: packet})
}

// handleUnclaimed handles a packet that came back because no agent of its chain has
// the flow, or the agent that it was offered to does not.
func (r *Router) handleUnclaimed(now time.Time, e *fwdmsg.Envelope, p *flow.Packet) {
	key := p.KeyFromCaller()
	s := r.searches[key]
	if s == nil {
		return
	}
	switch s.state {
	case stateChain:
		r.chainTimeout.Observe(now, now.Sub(s.enteredAt))
		r.queueForQuery(now, s)
	case stateOffered:
		s.uncertain = slices.DeleteFunc(s.uncertain, func(a flow.Endpoint) bool { return a == e.Agent && !e.Uncertain })
		if len(s.uncertain) == 0 {
			r.conclude(now, key, s)
		}
	}
}

// resolve ends a search: it caches the agent that has the flow and sends it the packet.
func (r *Router) resolve(now time.Time, key flow.Key, s *search, agent flow.Endpoint) {
	delete(r.searches, key)
	if len(r.flows) < maxFlows {
		r.flows[key] = &flowEntry{agent: agent, lastActive: now}
	}
	if route := r.routes[key.Service]; route != nil {
		r.send(Action{Reason: Found, Key: key, To: agent, Envelope: r.envelope(route, key, false), Packet: s.packet, SearchTime: now.Sub(s.startedAt)})
	}
}

// offerToUncertain sends the packet of a flow that no agent reports to the agents
// that cannot tell: an agent whose upstream has the flow takes it, others return it.
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
