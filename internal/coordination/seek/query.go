package seek

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/coriandershift/coriandershift/internal/protocol/fwdmsg"
	"github.com/coriandershift/coriandershift/internal/state/config"
	"github.com/coriandershift/coriandershift/internal/state/flow"
)

// unansweredPlaceholder is the entry in search.uncertain for all agents that did not
// answer a query. No returned packet removes it, so the search cannot conclude that
// the flow is gone.
var unansweredPlaceholder flow.Endpoint

// needsTicks reports whether a search or query needs further ticks.
func (s *Seeker) needsTicks(now time.Time) bool {
	for _, r := range s.searches {
		if r.state != stateEnded || r.retry || !s.knowsAllAgents(now) {
			return true
		}
	}
	return len(s.queries) > 0
}

// advance ends the queries, chains and offers that have timed out, and sends queries for
// the searches that wait for one.
func (s *Seeker) advance(now time.Time) {
	s.budget.StartRun(now)
	s.expireDelegations(now)
	if s.awaitsAgents && s.knowsAllAgents(now) {
		s.awaitsAgents = false
		s.queueEnded(now)
	}
	ids := slices.Sorted(maps.Keys(s.queries)) // the order decides who gets the budget
	for _, id := range ids {
		if q := s.queries[id]; q != nil && s.awaited(q) {
			s.askWaiting(now, id, q)
		}
	}
	for _, id := range ids {
		q := s.queries[id]
		if q == nil {
			continue
		}
		switch age := now.Sub(q.askedAt); {
		case s.finishIfDecided(now, id, q):
		case age >= s.replyTimeout(queryTimeout):
			s.endQuery(id, q)
			s.expireQuery(now, q)
		case age >= s.replyTimeout(s.resendDelay.Value(now)) && !q.resent && s.awaited(q):
			s.resendQuestions(now, id, q)
		}
	}

	due := map[flow.Endpoint][]flow.Key{}
	for key, r := range s.searches {
		switch {
		case r.state == stateChain && now.Sub(r.enteredAt) >= s.replyTimeout(s.chainTimeout.Value(now)):
			r.enter(stateQueued, now)
		case r.state == stateOffered && now.Sub(r.enteredAt) >= s.replyTimeout(queryTimeout):
			s.endInconclusive(now, key, r, AgentUncertain)
		case r.shouldRetry(now, s.retryDelay(key, r)):
			r.enter(stateQueued, now)
		}
		if r.state == stateQueued {
			due[key.Service] = append(due[key.Service], key)
		}
	}
	if len(due) == 0 {
		return
	}
	if now.Before(s.nextQueryAt) {
		s.advanceAt(now, s.nextQueryAt)
		return
	}
	for _, address := range slices.SortedFunc(maps.Keys(due), flow.Endpoint.Compare) {
		s.askAbout(now, s.routeOf(address), due[address])
	}
}

// askAbout sends queries about the flows in keys, the longest waiting first, as far as
// the link permits. The others stay queued while their callers may repeat packets.
func (s *Seeker) askAbout(now time.Time, route *config.Route, keys []flow.Key) {
	slices.SortFunc(keys, func(a, b flow.Key) int {
		return cmp.Or(s.searches[a].enteredAt.Compare(s.searches[b].enteredAt), cmp.Compare(a.Hash(), b.Hash()))
	})
	for len(keys) > 0 {
		live, dead := s.fleet.PossibleHolders(now, route, keys[0].Hash())
		count := s.batchSize(now, len(keys), live, dead)
		if count == 0 {
			break
		}
		s.sendQuery(now, route, keys[:count])
		s.nextQueryAt = now.Add(min(tickInterval, time.Duration(len(live)+len(dead))*questionTime))
		keys = keys[count:]
	}
	for _, key := range keys {
		if r := s.searches[key]; now.Sub(r.packetAt) >= retryPeriod {
			s.endInconclusive(now, key, r, AgentUncertain)
		}
	}
}

// HandleReply handles an agent's reply to a query: one fwdmsg.HeldStatus byte for each
// flow, in the order of the questions. The outcomes are valid until the next call.
func (s *Seeker) HandleReply(now time.Time, e *fwdmsg.Envelope, statuses []byte) []Outcome {
	s.outcomes = s.outcomes[:0]
	q := s.queries[e.QueryID]
	if q == nil || !q.asked[e.Agent].pending || len(statuses) != len(q.keys) {
		return nil
	}
	asked := q.asked[e.Agent]
	if !asked.sentAt.IsZero() {
		s.recordRoundTrip(now, now.Sub(asked.sentAt))
	}
	q.asked[e.Agent] = question{incarnation: asked.incarnation}
	q.pending--
	q.repliedAt = now
	for i, key := range q.keys {
		r := s.searches[key]
		if r == nil || !r.awaits(q) {
			continue
		}
		switch fwdmsg.HeldStatus(statuses[i]) {
		case fwdmsg.Held:
			s.resolve(now, key, r, e.Agent)
		case fwdmsg.Uncertain:
			r.uncertain = append(r.uncertain, e.Agent)
		}
	}
	s.finishIfDecided(now, e.QueryID, q)
	return s.outcomes
}

// awaited reports whether any search waits for the replies to q.
func (s *Seeker) awaited(q *query) bool {
	return slices.ContainsFunc(q.keys, func(key flow.Key) bool {
		r := s.searches[key]
		return r != nil && r.awaits(q)
	})
}

// awaits reports whether the search waits for the replies to q, not to another query.
func (r *search) awaits(q *query) bool {
	return r.state == stateQueried && r.query == q
}

// expireQuery handles the searches of a query that some agents did not answer. If
// others cannot tell whether they have the flow, its packet is offered to them first.
func (s *Seeker) expireQuery(now time.Time, q *query) {
	for _, key := range q.keys {
		r := s.searches[key]
		if r == nil || !r.awaits(q) {
			continue
		}
		if len(r.uncertain) > 0 {
			r.uncertain = append(r.uncertain, unansweredPlaceholder)
			s.offerToUncertain(now, key, r)
			continue
		}
		s.endInconclusive(now, key, r, AgentSilent)
		s.outcomes[len(s.outcomes)-1].To = q.anyPending()
	}
}

// anyPending returns one of the agents that have not replied, the zero Endpoint if
// all have.
func (q *query) anyPending() flow.Endpoint {
	for endpoint, asked := range q.asked {
		if asked.pending {
			return endpoint
		}
	}
	return flow.Endpoint{}
}

// recordRoundTrip records how long an agent took to reply to a question.
func (s *Seeker) recordRoundTrip(now time.Time, d time.Duration) {
	s.resendDelay.Observe(now, d)
	s.silence.Observe(now, d)
	if s.observeRoundTrip != nil {
		s.observeRoundTrip(now, d)
	}
}
