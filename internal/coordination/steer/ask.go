package steer

import (
	"slices"
	"time"

	"github.com/coriandershift/coriandershift/internal/protocol/fwdmsg"
	"github.com/coriandershift/coriandershift/internal/state/config"
	"github.com/coriandershift/coriandershift/internal/state/flow"
)

// query is a batch of questions about flows, sent to all agents that may have them.
type query struct {
	askedAt time.Time // when the latest agents were asked
	resent  bool      // since askedAt
	keys    []flow.Key
	payload []byte
	asked   map[flow.Endpoint]question
	pending int // agents that have not replied
}

// question is what an agent was asked in a query.
type question struct {
	incarnation uint64 // of the agent when it was asked
	pending     bool   // it has not replied
}

// sendQuery asks the agents that may have flows of a route about the flows in keys,
// at least one and at most fwdmsg.MaxQuestions.
func (r *Router) sendQuery(now time.Time, route *config.Route, keys []flow.Key) {
	q := &query{keys: slices.Clone(keys), asked: map[flow.Endpoint]question{}}
	questions := make([]fwdmsg.Question, 0, len(keys))
	for _, key := range keys {
		s := r.searches[key]
		s.enter(stateQueried, now)
		s.query, s.uncertain, s.retry = q, nil, false
		s.queryCount++
		questions = append(questions, fwdmsg.Question{Key: key, Acknowledged: s.acknowledged})
	}
	q.payload = fwdmsg.AppendQuestions(nil, questions)

	r.lastQueryID++
	if r.lastQueryID == probeQueryID {
		r.lastQueryID++
	}
	r.queries[r.lastQueryID] = q
	r.askNext(now, r.lastQueryID, q, route)
}

// askNext asks up to maxAskedAtOnce agents that may have the flows of a query and were
// not asked yet: those of a large service in turn, and those that were unknown or
// another process before. It reports whether there were any.
func (r *Router) askNext(now time.Time, id uint16, q *query, route *config.Route) bool {
	live, dead := r.possibleHolders(now, route, q.keys[0].Hash())
	count := 0
	for _, a := range append(live, dead...) {
		asked, found := q.asked[a.endpoint]
		if found && asked.incarnation == a.member.Incarnation {
			continue
		}
		if count == maxAskedAtOnce || len(q.asked) == maxQueriedAgents {
			break
		}
		if !asked.pending {
			q.pending++
		}
		q.asked[a.endpoint] = question{incarnation: a.member.Incarnation, pending: true}
		count++
		r.sendQuestions(id, q, a.endpoint)
	}
	if count == 0 {
		return false
	}
	q.askedAt, q.resent = now, false
	return true
}

func (r *Router) sendQuestions(id uint16, q *query, to flow.Endpoint) {
	r.send(Action{
		To: to, Packet: q.payload,
		Envelope: fwdmsg.Envelope{Kind: fwdmsg.Query, QueryID: id, Balancer: r.self, Revision: r.cfg.Revision},
	})
}

// resendQuestions repeats a query to the agents that have not replied: with hundreds of
// agents, one datagram in a thousand lost would leave a third of the queries incomplete.
func (r *Router) resendQuestions(now time.Time, id uint16, q *query) {
	q.resent = true
	for agent, asked := range q.asked {
		if asked.pending {
			r.budget.charge(now, questionCost(1, len(q.keys)))
			r.sendQuestions(id, q, agent)
		}
	}
}
