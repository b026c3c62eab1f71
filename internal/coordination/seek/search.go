package seek

import (
	"slices"
	"time"

	"github.com/coriandershift/coriandershift/internal/coordination/fleet"
	"github.com/coriandershift/coriandershift/internal/protocol/fwdmsg"
	"github.com/coriandershift/coriandershift/internal/state/config"
	"github.com/coriandershift/coriandershift/internal/state/flow"
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

	// retryAt is the earliest time of that query.
	retryAt time.Time
}

// Seek starts or continues the search for the agent that has the flow of a packet. The
// packet is passed along the highest ranked agents of the flow first. If none of them has
// the flow, all agents are queried, many flows in one message, and the packet is
// sent only to the agent that reports it. The outcomes are valid until the next call.
func (s *Seeker) Seek(now time.Time, key flow.Key, p *flow.Packet, route *config.Route) []Outcome {
	s.outcomes = s.outcomes[:0]
	r := s.searches[key]
	limit := maxSearches
	if len(route.Shares) == 0 {
		limit = maxUnroutedSearches
	}
	if r == nil && len(s.searches) >= limit {
		s.add(Outcome{Kind: Unresolved, Cause: AgentUncertain, Key: key})
		return s.outcomes
	}

	isNew := r == nil
	if isNew {
		s.advanceAt(now, now.Add(s.replyTimeout(s.chainTimeout.Value(now))))
		r = &search{state: stateChain, startedAt: now, enteredAt: now}
		s.searches[key] = r
	}
	r.packet = append(r.packet[:0], p.Raw...)
	r.acknowledged = p.Acknowledged
	r.packetAt = now
	s.active = true
	switch r.state {
	case stateChain:
		s.passAlongChain(now, key, p.Raw, route, isNew)
	case stateEnded:
		s.queueForQuery(now, r)
	}
	return s.outcomes
}

// Forget ends the search for a flow whose agent is known by other means.
func (s *Seeker) Forget(key flow.Key) {
	delete(s.searches, key)
}

// queueForQuery has the next query ask about a search's flow.
func (s *Seeker) queueForQuery(now time.Time, r *search) {
	r.enter(stateQueued, now)
	due := now.Add(batchDelay)
	if due.Before(s.nextQueryAt) {
		due = s.nextQueryAt
	}
	s.advanceAt(now, due)
}

func (r *search) enter(next searchState, now time.Time) {
	r.state, r.enteredAt = next, now
}

// shouldRetry reports whether a search that ended without a result should ask again
// now, a delay after its end.
func (r *search) shouldRetry(now time.Time, delay time.Duration) bool {
	if r.state != stateEnded || !r.retry || now.Before(r.retryAt) {
		return false
	}
	r.retry = now.Sub(r.packetAt) < retryPeriod
	return r.retry && now.Sub(r.enteredAt) >= delay
}

// passAlongChain sends a packet along the highest ranked agents of its flow: each
// agent without the flow passes it on to the next. Only the first packet of a search
// asks for a notice; later ones take the same path.
func (s *Seeker) passAlongChain(now time.Time, key flow.Key, packet []byte, route *config.Route, wantNotice bool) {
	agents := s.fleet.LikelyHolders(now, route, key.Hash())
	if len(agents) == 0 {
		live, dead := s.fleet.PossibleHolders(now, route, key.Hash())
		if len(live) > 0 {
			s.queueForQuery(now, s.searches[key])
			return
		}
		agents = dead // they may come back
	}
	if len(agents) == 0 {
		s.add(Outcome{Kind: Unresolved, Cause: NoUpstream, Key: key})
		return
	}

	var next []flow.Endpoint
	for _, a := range agents[1:min(len(agents), fleet.MaxLikely)] {
		next = append(next, a.Endpoint)
	}
	s.add(Outcome{Kind: Pass, Key: key, To: agents[0].Endpoint, Next: next, WantNotice: wantNotice, Packet: packet})
}

// HandleReturned handles a packet that came back because no agent of its chain has
// the flow, or the agent that it was offered to does not. The outcomes are valid until the
// next call.
func (s *Seeker) HandleReturned(now time.Time, e *fwdmsg.Envelope, key flow.Key) []Outcome {
	s.outcomes = s.outcomes[:0]
	r := s.searches[key]
	if r == nil {
		return nil
	}
	switch r.state {
	case stateChain:
		s.chainTimeout.Observe(now, now.Sub(r.enteredAt))
		s.queueForQuery(now, r)
	case stateOffered:
		r.uncertain = slices.DeleteFunc(r.uncertain, func(a flow.Endpoint) bool { return a == e.Agent && !e.Uncertain })
		if len(r.uncertain) == 0 {
			s.conclude(now, key, r)
		}
	}
	return s.outcomes
}

// resolve ends a search: an agent has the flow.
func (s *Seeker) resolve(now time.Time, key flow.Key, r *search, agent flow.Endpoint) {
	delete(s.searches, key)
	s.add(Outcome{Kind: Found, Key: key, To: agent, Packet: r.packet, SearchTime: now.Sub(r.startedAt)})
}

// offerToUncertain sends the packet of a flow that no agent reports to the agents
// that cannot tell: an agent whose upstream has the flow takes it, others return it.
func (s *Seeker) offerToUncertain(now time.Time, key flow.Key, r *search) {
	if len(r.uncertain) == 0 {
		s.conclude(now, key, r)
		return
	}
	r.enter(stateOffered, now)
	for _, a := range r.uncertain {
		if a == unansweredPlaceholder {
			continue
		}
		s.add(Outcome{Kind: Offer, Key: key, To: a, Packet: r.packet})
	}
}
