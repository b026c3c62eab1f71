package steer

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

// searchesNeedTicks reports whether a search or query needs further ticks.
func (r *Router) searchesNeedTicks() bool {
	for _, s := range r.searches {
		if s.state != stateEnded || s.retry || !r.converged {
			return true
		}
	}
	return len(r.queries) > 0
}

// advanceSearches ends the queries, lookups and offers that have timed out, and
// sends queries for the searches that wait for one.
func (r *Router) advanceSearches(now time.Time) {
	r.startRun(now)
	r.expireDelegations(now)
	ids := slices.Sorted(maps.Keys(r.queries)) // the order decides who gets the budget
	for _, id := range ids {
		if q := r.queries[id]; q != nil && r.awaited(q) {
			r.askWaiting(now, id, q)
		}
	}
	for _, id := range ids {
		q := r.queries[id]
		if q == nil {
			continue
		}
		switch age := now.Sub(q.askedAt); {
		case r.finishIfDecided(now, id, q):
		case age >= r.replyTimeout(queryTimeout):
			r.endQuery(id, q)
			r.expireQuery(now, q)
		case age >= r.replyTimeout(r.resendDelay.Value(now)) && !q.resent && r.awaited(q):
			r.resendQuestions(now, id, q)
		}
	}

	due := map[flow.Endpoint][]flow.Key{}
	for key, s := range r.searches {
		switch {
		case s.state == stateChain && now.Sub(s.enteredAt) >= r.replyTimeout(r.chainTimeout.Value(now)):
			s.enter(stateQueued, now)
		case s.state == stateOffered && now.Sub(s.enteredAt) >= r.replyTimeout(queryTimeout):
			r.endInconclusive(now, key, s, NotFoundAgentUncertain)
		case s.shouldRetry(now, r.retryDelay(key, s)):
			s.enter(stateQueued, now)
		}
		if s.state == stateQueued {
			due[key.Service] = append(due[key.Service], key)
		}
	}
	for _, address := range slices.SortedFunc(maps.Keys(due), flow.Endpoint.Compare) {
		if route := r.routes[address]; route != nil {
			r.askAbout(now, route, due[address])
		}
	}
}

// askAbout sends queries about the flows in keys, the longest waiting first, as far as
// the link permits. The others stay queued while their callers may repeat packets.
func (r *Router) askAbout(now time.Time, route *config.Route, keys []flow.Key) {
	slices.SortFunc(keys, func(a, b flow.Key) int {
		return cmp.Or(r.searches[a].enteredAt.Compare(r.searches[b].enteredAt), cmp.Compare(a.Hash(), b.Hash()))
	})
	for len(keys) > 0 {
		live, dead := r.possibleHolders(now, route, keys[0].Hash())
		count := r.batchSize(now, len(keys), live, dead)
		if count == 0 {
			break
		}
		r.sendQuery(now, route, keys[:count])
		keys = keys[count:]
	}
	for _, key := range keys {
		if s := r.searches[key]; now.Sub(s.packetAt) >= retryPeriod {
			r.endInconclusive(now, key, s, NotFoundAgentUncertain)
		}
	}
}

// handleQueryReply handles an agent's reply to a query: one fwdmsg.HeldStatus byte
// for each flow, in the order of the questions.
func (r *Router) handleQueryReply(now time.Time, e *fwdmsg.Envelope, statuses []byte) {
	if e.QueryID == probeQueryID {
		r.recordProbeReply(e.Agent)
		return
	}
	q := r.queries[e.QueryID]
	if q == nil || !q.asked[e.Agent].pending || len(statuses) != len(q.keys) {
		return
	}
	asked := q.asked[e.Agent]
	if !asked.sentAt.IsZero() {
		r.recordRoundTrip(now, asked.sentAt)
		r.resendDelay.Observe(now, now.Sub(asked.sentAt))
		r.silence.Observe(now, now.Sub(asked.sentAt))
	}
	q.asked[e.Agent] = question{incarnation: asked.incarnation}
	q.pending--
	q.repliedAt = now
	for i, key := range q.keys {
		s := r.searches[key]
		if s == nil || !s.awaits(q) {
			continue
		}
		switch fwdmsg.HeldStatus(statuses[i]) {
		case fwdmsg.Held:
			r.resolve(now, key, s, e.Agent)
		case fwdmsg.Uncertain:
			s.uncertain = append(s.uncertain, e.Agent)
		}
	}
	r.finishIfDecided(now, e.QueryID, q)
}

// finishQuery ends a query if all agents that may have its flows were asked, and
// continues the searches for flows that no agent reported to have.
func (r *Router) finishQuery(now time.Time, id uint16, q *query) {
	route := r.routes[q.keys[0].Service]
	if route != nil && r.awaited(q) && r.askNext(now, id, q, route) {
		return
	}
	r.endQuery(id, q)
	for _, key := range q.keys {
		if s := r.searches[key]; s != nil && s.awaits(q) {
			r.offerToUncertain(now, key, s)
		}
	}
}

// finishIfDecided finishes a query once no agent is to be waited for, and reports whether
// it did.
func (r *Router) finishIfDecided(now time.Time, id uint16, q *query) bool {
	if !q.resent {
		r.advanceAt(now, q.askedAt.Add(r.replyTimeout(r.resendDelay.Value(now))))
	}
	due, decided := r.decidedAt(now, q)
	if !decided {
		return false
	}
	if now.Before(due) {
		r.advanceAt(now, due)
		return false
	}
	r.recordSilence(q)
	r.finishQuery(now, id, q)
	return true
}

// decidedAt returns when a query ends without the agents that have not replied, and false
// if one of them may hold flows.
func (r *Router) decidedAt(now time.Time, q *query) (time.Time, bool) {
	var due time.Time
	for endpoint, asked := range q.asked {
		if !asked.pending {
			continue
		}
		a := r.agents[endpoint]
		if a == nil || !a.member.NoFlows {
			return time.Time{}, false
		}
		if at := r.waitForEmpty(now, q, a); at.After(due) {
			due = at
		}
	}
	return due, true
}

// waitForEmpty returns until when a query waits for an agent that holds no flows: until it
// seems to be silent, and has had the time to answer this query.
func (r *Router) waitForEmpty(now time.Time, q *query, a *agent) time.Time {
	timeout := r.replyTimeout(r.silence.Value(now))
	silentSince := a.unansweredSince
	if silentSince.IsZero() {
		silentSince = q.askedAt
	}
	silent := silentSince.Add(timeout)
	answered := q.askedAt.Add(min(max(minReplyDelay, 2*q.repliedAt.Sub(q.askedAt)), timeout))
	if silent.After(answered) {
		return silent
	}
	return answered
}

// recordSilence records the agents that did not reply to a query, also to a delegate.
func (r *Router) recordSilence(q *query) {
	for endpoint, asked := range q.asked {
		if a := r.agents[endpoint]; asked.pending && a != nil {
			a.recordAsked(q.askedAt)
		}
	}
}

// awaited reports whether any search waits for the replies to q.
func (r *Router) awaited(q *query) bool {
	return slices.ContainsFunc(q.keys, func(key flow.Key) bool {
		s := r.searches[key]
		return s != nil && s.awaits(q)
	})
}

// awaits reports whether the search waits for the replies to q, not to another query.
func (s *search) awaits(q *query) bool {
	return s.state == stateQueried && s.query == q
}

// expireQuery handles the searches of a query that some agents did not answer. If
// others cannot tell whether they have the flow, its packet is offered to them first.
func (r *Router) expireQuery(now time.Time, q *query) {
	for _, key := range q.keys {
		s := r.searches[key]
		if s == nil || !s.awaits(q) {
			continue
		}
		if len(s.uncertain) > 0 {
			s.uncertain = append(s.uncertain, unansweredPlaceholder)
			r.offerToUncertain(now, key, s)
			continue
		}
		r.endInconclusive(now, key, s, NotFoundAgentSilent)
		r.actions[len(r.actions)-1].To = q.anyPending()
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
