package steer

import (
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

// query is a batch of questions about flows, sent to all agents that may have them.
type query struct {
	sentAt  time.Time
	keys    []flow.Key
	pending map[flow.Endpoint]bool // agents that have not replied
}

// sendQuery asks the agents that may have flows of a route about the flows in keys,
// at least one and at most fwdmsg.MaxQuestions.
func (r *Router) sendQuery(now time.Time, route *config.Route, keys []flow.Key) {
	questions := make([]fwdmsg.Question, 0, len(keys))
	for _, key := range keys {
		s := r.searches[key]
		s.enter(stateQueried, now)
		s.agentsVersion, s.uncertain, s.inconclusive = r.agentsVersion, nil, false
		questions = append(questions, fwdmsg.Question{Key: key, Acknowledged: s.acknowledged})
	}

	r.lastQueryID++
	q := &query{sentAt: now, keys: slices.Clone(keys), pending: map[flow.Endpoint]bool{}}
	r.queries[r.lastQueryID] = q
	payload := fwdmsg.AppendQuestions(nil, questions)
	live, dead := r.possibleHolders(now, route, keys[0].Hash())
	for _, a := range append(live[:min(len(live), maxQueriedAgents)], dead...) {
		q.pending[a.endpoint] = true
		r.send(Action{
			To: a.endpoint, Packet: payload,
			Envelope: fwdmsg.Envelope{Kind: fwdmsg.Query, QueryID: r.lastQueryID, Balancer: r.self, Revision: r.cfg.Revision},
		})
	}
}

// searchesNeedTicks reports whether a search or query needs further ticks.
func (r *Router) searchesNeedTicks() bool {
	for _, s := range r.searches {
		if s.state != stateEnded || !r.converged {
			return true
		}
	}
	return len(r.queries) > 0
}

// advanceSearches ends the queries, lookups and offers that have timed out, and
// sends queries for the searches that wait for one.
func (r *Router) advanceSearches(now time.Time) {
	for id, q := range r.queries {
		switch age := now.Sub(q.sentAt); {
		case age >= emptyAgentTimeout && r.onlyEmptyAgentsPending(q):
			r.finishQuery(now, id, q)
		case age >= queryTimeout:
			delete(r.queries, id)
			r.expireQuery(now, q)
		}
	}

	due := map[flow.Endpoint][]flow.Key{}
	for key, s := range r.searches {
		switch {
		case s.state == stateChain && now.Sub(s.enteredAt) >= chainTimeout:
			s.enter(stateQueued, now)
		case s.state == stateOffered && now.Sub(s.enteredAt) >= queryTimeout:
			r.endInconclusive(now, key, s, NotFoundAgentUncertain)
		}
		if s.state == stateQueued {
			due[key.Service] = append(due[key.Service], key)
		}
	}
	for address, keys := range due {
		route := r.routes[address]
		for route != nil && len(keys) > 0 {
			count := min(len(keys), fwdmsg.MaxQuestions)
			r.sendQuery(now, route, keys[:count])
			keys = keys[count:]
		}
	}
}

// handleQueryReply handles an agent's reply to a query: one fwdmsg.HeldStatus byte
// for each flow, in the order of the questions.
func (r *Router) handleQueryReply(now time.Time, e *fwdmsg.Envelope, statuses []byte) {
	q := r.queries[e.QueryID]
	if q == nil || !q.pending[e.Agent] || len(statuses) != len(q.keys) {
		return
	}
	delete(q.pending, e.Agent)
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
	if len(q.pending) == 0 {
		r.finishQuery(now, e.QueryID, q)
	}
}

// finishQuery ends a query, and continues the searches for flows that no agent
// reported to have.
func (r *Router) finishQuery(now time.Time, id uint16, q *query) {
	delete(r.queries, id)
	for _, key := range q.keys {
		if s := r.searches[key]; s != nil && s.awaits(q) {
			r.offerToUncertain(now, key, s)
		}
	}
}

// onlyEmptyAgentsPending reports whether all agents that have not replied hold no flows.
func (r *Router) onlyEmptyAgentsPending(q *query) bool {
	for endpoint := range q.pending {
		if a := r.agents[endpoint]; a == nil || !a.member.NoFlows {
			return false
		}
	}
	return true
}

// awaits reports whether the search waits for the replies to q, not to another query.
func (s *search) awaits(q *query) bool {
	return s.state == stateQueried && s.enteredAt.Equal(q.sentAt)
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
	for endpoint := range q.pending {
		return endpoint
	}
	return flow.Endpoint{}
}
