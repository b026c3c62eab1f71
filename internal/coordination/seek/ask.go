package seek

import (
	"maps"
	"slices"
	"time"

	"github.com/coriandershift/coriandershift/internal/coordination/budget"
	"github.com/coriandershift/coriandershift/internal/coordination/fleet"
	"github.com/coriandershift/coriandershift/internal/protocol/fwdmsg"
	"github.com/coriandershift/coriandershift/internal/state/config"
	"github.com/coriandershift/coriandershift/internal/state/flow"
)

// query is a batch of questions about flows for all agents that may have them.
type query struct {
	askedAt   time.Time // when the latest agents were asked
	repliedAt time.Time // when the latest reply came
	resent    bool      // since askedAt
	keys      []flow.Key
	payload   []byte
	asked     map[flow.Endpoint]question
	pending   int // agents that have not replied

	// all says that all agents are asked, also those to which the flows' route did not lead
	// in any configuration seen here.
	all bool

	// waiting are the agents that are to be asked directly in the next runs.
	waiting []flow.Endpoint

	// delegations are the IDs of the delegations of this query. delegateUses counts them
	// by delegate, and failedDelegates are agents that are not to be the next one.
	delegations     []uint16
	delegateUses    map[flow.Endpoint]int
	failedDelegates map[flow.Endpoint]bool
}

// question is what an agent was asked in a query.
type question struct {
	incarnation uint64    // of the agent when it was asked
	pending     bool      // it has not replied
	sentAt      time.Time // when this balancer sent it the question, zero if it did not
	repeated    bool      // it was sent the question again since
}

// questionCost returns the bytes on the link of asking agents about flows: the
// questions and the replies.
func questionCost(agents, flows int) int {
	return agents * (2*budget.MessageLength + flows*(fwdmsg.QuestionLength+fwdmsg.StatusLength))
}

// sendQuery asks the agents that may have flows of a route about the flows in keys,
// at least one and at most fwdmsg.MaxQuestions.
func (s *Seeker) sendQuery(now time.Time, route *config.Route, keys []flow.Key) {
	q := &query{
		keys: slices.Clone(keys), asked: map[flow.Endpoint]question{},
		delegateUses: map[flow.Endpoint]int{}, failedDelegates: map[flow.Endpoint]bool{},
	}
	questions := make([]fwdmsg.Question, 0, len(keys))
	for _, key := range keys {
		r := s.searches[key]
		r.enter(stateQueried, now)
		r.query, r.uncertain, r.retry = q, nil, false
		q.all = q.all || r.queryCount > 0 // an agent without a reply must not hide the others
		r.queryCount++
		questions = append(questions, fwdmsg.Question{Key: key, Acknowledged: r.acknowledged})
	}
	q.payload = fwdmsg.AppendQuestions(nil, questions)

	id := s.nextQueryID()
	s.queries[id] = q
	s.askNext(now, id, q, route)
}

// nextQueryID returns an ID that no query or delegation has.
func (s *Seeker) nextQueryID() uint16 {
	s.lastQueryID++
	for s.lastQueryID == fwdmsg.ProbeQueryID || s.queries[s.lastQueryID] != nil || s.delegations[s.lastQueryID] != nil {
		s.lastQueryID++
	}
	return s.lastQueryID
}

// endQuery forgets a query. Replies that arrive later are ignored.
func (s *Seeker) endQuery(id uint16, q *query) {
	delete(s.queries, id)
	for _, delegationID := range q.delegations {
		delete(s.delegations, delegationID)
	}
}

// askNext asks up to maxAskedAtOnce agents that may have the flows of a query and were
// not asked yet: those of a large service in turn, those that were unknown or another
// process before, and once none is left those of all services. It reports whether there
// were any.
func (s *Seeker) askNext(now time.Time, id uint16, q *query, route *config.Route) bool {
	if s.askHolders(now, id, q, route) {
		return true
	}
	if q.all {
		return false
	}
	q.all = true
	return s.askHolders(now, id, q, route)
}

func (s *Seeker) askHolders(now time.Time, id uint16, q *query, route *config.Route) bool {
	holders := s.fleet.PossibleHolders
	if q.all {
		holders = s.fleet.AllHolders
	}
	live, dead := holders(now, route, q.keys[0].Hash())
	var next []*fleet.Agent
	for _, a := range slices.Concat(live, dead) {
		asked, found := q.asked[a.Endpoint]
		if found && asked.incarnation == a.Member.Incarnation {
			continue
		}
		if len(next) == maxAskedAtOnce || len(q.asked) == maxQueriedAgents {
			break
		}
		if !asked.pending {
			q.pending++
		}
		q.asked[a.Endpoint] = question{incarnation: a.Member.Incarnation, pending: true}
		next = append(next, a)
	}
	if len(next) == 0 {
		return false
	}
	s.ask(now, id, q, next, live, 1)
	return true
}

// ask asks agents the questions of a query: directly while the budget covers that, which
// is fastest, and otherwise through delegates, chosen from candidates. This is the given
// attempt for these agents; after maxDelegates it is direct in any case.
func (s *Seeker) ask(now time.Time, id uint16, q *query, agents, candidates []*fleet.Agent, attempt int) {
	q.askedAt, q.resent = now, false
	direct := s.coversDirectly(now, len(agents), len(q.keys))
	if attempt > 1 { // waiting for the next run takes less time than another delegate
		direct = attempt > maxDelegates || s.budget.Covers(now, questionCost(len(agents), len(q.keys)))
	}
	if direct {
		s.askDirectly(now, id, q, agents)
		return
	}
	for _, group := range groupsOf(agents) {
		var delegate *fleet.Agent
		if len(group) >= minDelegatedAgents {
			delegate = s.chooseDelegate(now, q, candidates)
		}
		if delegate == nil {
			s.askDirectly(now, id, q, group)
			continue
		}
		s.delegate(now, id, q, delegate.Endpoint, group, attempt)
	}
}

// groupsOf divides agents into groups for one delegate each. Agents that may leave a
// question unanswered are in groups of their own, so that no delegate waits for them
// while it has the replies of others.
func groupsOf(agents []*fleet.Agent) [][]*fleet.Agent {
	var replying, others []*fleet.Agent
	for _, a := range agents {
		if a.MayReply() {
			replying = append(replying, a)
		} else {
			others = append(others, a)
		}
	}
	return slices.AppendSeq(slices.Collect(slices.Chunk(replying, fwdmsg.MaxDelegatedAgents)), slices.Chunk(others, fwdmsg.MaxDelegatedAgents))
}

// askDirectly asks agents itself, those beyond this run in later ones.
func (s *Seeker) askDirectly(now time.Time, id uint16, q *query, agents []*fleet.Agent) {
	s.budget.Charge(now, questionCost(len(agents), len(q.keys)))
	for _, a := range agents {
		q.asked[a.Endpoint] = question{incarnation: a.Member.Incarnation, pending: true}
		q.waiting = append(q.waiting, a.Endpoint)
	}
	s.askWaiting(now, id, q)
}

func (s *Seeker) sendQuestions(id uint16, q *query, to flow.Endpoint) {
	s.budget.CountSent(budget.MessageLength + len(q.payload))
	s.add(Outcome{Kind: Ask, To: to, Message: fwdmsg.Query, QueryID: id, Packet: q.payload})
}

// resendQuestions repeats a query to the agents that have not replied, except those that
// a delegate asks: with hundreds of agents, one datagram in a thousand lost would leave a
// third of the queries incomplete. What does not fit this run follows in the next ones.
func (s *Seeker) resendQuestions(now time.Time, id uint16, q *query) {
	for _, agent := range slices.SortedFunc(maps.Keys(q.asked), flow.Endpoint.Compare) {
		asked := q.asked[agent]
		if !asked.pending || asked.sentAt.IsZero() || asked.repeated {
			continue
		}
		if !s.fitsQuestions(q) {
			return
		}
		asked.repeated = true
		q.asked[agent] = asked
		s.budget.Charge(now, questionCost(1, len(q.keys)))
		s.sendQuestions(id, q, agent)
	}
	q.resent = true
}
