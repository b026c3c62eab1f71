package steer

import (
	"slices"
	"time"

	"github.com/coriandershift/coriandershift/internal/protocol/fwdmsg"
	"github.com/coriandershift/coriandershift/internal/state/config"
	"github.com/coriandershift/coriandershift/internal/state/flow"
)

// silentAgent stands among the unsure agents for those that did not answer.
var silentAgent flow.Endpoint

// query is a round of questions to agents that may have the same flows.
type query struct {
	at      time.Time
	keys    []flow.Key
	waiting map[flow.Endpoint]bool // agents that have not answered
}

// query asks all agents that may have flows of a route.
func (s *Router) query(now time.Time, route *config.Route, keys []flow.Key) {
	questions := make([]fwdmsg.Question, 0, len(keys))
	for _, key := range keys {
		f := s.searches[key]
		f.enter(asked, now)
		f.members, f.unsure, f.doubtful = s.members, nil, false
		questions = append(questions, fwdmsg.Question{Key: key, Acknowledged: f.acknowledged})
	}

	s.queryID++
	q := &query{at: now, keys: slices.Clone(keys), waiting: map[flow.Endpoint]bool{}}
	s.queries[s.queryID] = q
	payload := fwdmsg.AppendQuestions(nil, questions)
	living, dead := s.holders(now, route, keys[0].Hash())
	for _, a := range append(living[:min(len(living), maxAsked)], dead...) {
		q.waiting[a.endpoint] = true
		s.send(Action{
			To: a.endpoint, Packet: payload,
			Envelope: fwdmsg.Envelope{Kind: fwdmsg.Query, QueryID: s.queryID, Balancer: s.self, Revision: s.cfg.Revision},
		})
	}
}

// searching reports whether searches need ticks.
func (s *Router) searching() bool {
	for _, f := range s.searches {
		if f.state != answered || !s.settled {
			return true
		}
	}
	return len(s.queries) > 0
}

// ask sends the questions that are due, and gives up those without answers.
func (s *Router) ask(now time.Time) {
	for id, q := range s.queries {
		switch age := now.Sub(q.at); {
		case age >= emptyPatience && s.onlyEmpty(q):
			s.finish(now, id, q)
		case age >= queryTimeout:
			delete(s.queries, id)
			s.timeOut(now, q)
		}
	}

	due := map[flow.Endpoint][]flow.Key{}
	for key, f := range s.searches {
		switch {
		case f.state == chained && now.Sub(f.at) >= chainTimeout:
			f.enter(waiting, now)
		case f.state == offered && now.Sub(f.at) >= queryTimeout:
			s.end(now, key, f, NotFoundAgentUncertain)
		}
		if f.state == waiting {
			due[key.Service] = append(due[key.Service], key)
		}
	}
	for address, keys := range due {
		route := s.routes[address]
		for route != nil && len(keys) > 0 {
			count := min(len(keys), fwdmsg.MaxQuestions)
			s.query(now, route, keys[:count])
			keys = keys[count:]
		}
	}
}

// replied takes an agent's words on the flows of a query.
func (s *Router) replied(now time.Time, e *fwdmsg.Envelope, words []byte) {
	q := s.queries[e.QueryID]
	if q == nil || !q.waiting[e.Agent] || len(words) != len(q.keys) {
		return
	}
	delete(q.waiting, e.Agent)
	for i, key := range q.keys {
		f := s.searches[key]
		if f == nil || !f.isOf(q) {
			continue
		}
		switch fwdmsg.HeldStatus(words[i]) {
		case fwdmsg.Held:
			s.found(now, key, f, e.Agent)
		case fwdmsg.Uncertain:
			f.unsure = append(f.unsure, e.Agent)
		}
	}
	if len(q.waiting) == 0 {
		s.finish(now, e.QueryID, q)
	}
}

// finish goes on with the flows of a query that nobody said to have.
func (s *Router) finish(now time.Time, id uint16, q *query) {
	delete(s.queries, id)
	for _, key := range q.keys {
		if f := s.searches[key]; f != nil && f.isOf(q) {
			s.offer(now, key, f)
		}
	}
}

// onlyEmpty reports whether all agents that have not answered are without flows.
func (s *Router) onlyEmpty(q *query) bool {
	for endpoint := range q.waiting {
		if a := s.agents[endpoint]; a == nil || !a.member.NoFlows {
			return false
		}
	}
	return true
}

// isOf reports whether a search waits for the answers to a query.
func (f *search) isOf(q *query) bool {
	return f.state == asked && f.at.Equal(q.at)
}

// timeOut ends the searches of a query that some agents did not answer.
func (s *Router) timeOut(now time.Time, q *query) {
	for _, key := range q.keys {
		f := s.searches[key]
		if f == nil || !f.isOf(q) {
			continue
		}
		if len(f.unsure) > 0 {
			f.unsure = append(f.unsure, silentAgent)
			s.offer(now, key, f)
			continue
		}
		s.end(now, key, f, NotFoundAgentSilent)
		s.out[len(s.out)-1].To = q.silent()
	}
}

// silent returns one of the agents that have not answered.
func (q *query) silent() flow.Endpoint {
	for endpoint := range q.waiting {
		return endpoint
	}
	return flow.Endpoint{}
}
