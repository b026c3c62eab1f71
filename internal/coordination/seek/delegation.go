package seek

import (
	"maps"
	"slices"
	"time"

	"github.com/coriandershift/coriandershift/internal/coordination/budget"
	"github.com/coriandershift/coriandershift/internal/coordination/fanout"
	"github.com/coriandershift/coriandershift/internal/coordination/fleet"
	"github.com/coriandershift/coriandershift/internal/protocol/fwdmsg"
	"github.com/coriandershift/coriandershift/internal/state/flow"
)

const (
	// delegateTimeout is the time that a delegate has to answer: its own deadline, and
	// 100 ms for both messages on a link that is in use.
	delegateTimeout = fanout.Deadline + 100*time.Millisecond

	// maxDelegates limits the delegates that are tried one after the other for the same
	// agents. Then this balancer asks the agents itself.
	maxDelegates = 2

	// minDelegatedAgents is the least number of agents that a delegate is asked about.
	// Asking fewer directly takes hardly more bytes.
	minDelegatedAgents = 4
)

// delegation is a query that a delegate sends to agents on behalf of this balancer.
type delegation struct {
	queryID  uint16
	query    *query
	delegate flow.Endpoint
	sentAt   time.Time
	attempt  int // 1 for the first delegate, one more for each next one

	// agents are those to ask, and incarnations what they were when this was sent.
	agents       []flow.Endpoint
	incarnations []uint64

	answered bool
	failed   bool // the delegate did not answer in time, or not for all agents
	replaced bool // the agents that have not replied were asked in another way
}

// delegationCost returns the bytes on the link of a delegated query and its reply.
func delegationCost(agents, flows int) int {
	return 2*budget.MessageLength + fwdmsg.DelegationLength(agents, flows) + fwdmsg.DelegatedRepliesLength(agents, flows)
}

// delegate has an agent ask others the questions of a query.
func (s *Seeker) delegate(now time.Time, id uint16, q *query, to flow.Endpoint, agents []*fleet.Agent, attempt int) {
	d := &delegation{queryID: id, query: q, delegate: to, sentAt: now, attempt: attempt}
	for _, a := range agents {
		d.agents = append(d.agents, a.Endpoint)
		d.incarnations = append(d.incarnations, a.Member.Incarnation)
		q.asked[a.Endpoint] = question{incarnation: a.Member.Incarnation, pending: true}
	}
	delegationID := s.nextQueryID()
	s.delegations[delegationID] = d
	q.delegations = append(q.delegations, delegationID)
	q.delegateUses[to]++
	s.budget.Charge(now, delegationCost(len(agents), len(q.keys)))
	s.budget.CountSent(budget.MessageLength + fwdmsg.DelegationLength(len(agents), len(q.keys)))
	s.add(Outcome{Kind: Ask, To: to, Message: fwdmsg.DelegatedQuery, QueryID: delegationID, Packet: fwdmsg.AppendDelegation(nil, d.agents, q.payload)})
}

// HandleDelegatedReply handles the replies that a delegate has collected. They count for
// the processes that the agents were when the delegate was sent to them, also if the
// delegate has been replaced since. A malformed reply is treated like a lost one. The
// outcomes are valid until the next call.
func (s *Seeker) HandleDelegatedReply(now time.Time, e *fwdmsg.Envelope, payload []byte) []Outcome {
	s.outcomes = s.outcomes[:0]
	d := s.delegations[e.QueryID]
	if d == nil || d.delegate != e.Agent {
		return nil
	}
	q := d.query
	replies, err := fwdmsg.ParseDelegatedReplies(payload, len(d.agents), len(q.keys))
	if err != nil {
		return nil
	}
	d.answered = true
	q.repliedAt = now
	if a := s.fleet.Agent(e.Agent); a != nil {
		a.RecordDelegateReply()
	}
	for i, agent := range d.agents {
		asked := q.asked[agent]
		if replies.Answered[i] && asked.pending && asked.incarnation == d.incarnations[i] {
			q.asked[agent] = question{incarnation: asked.incarnation}
			q.pending--
			if a := s.fleet.Agent(agent); a != nil {
				a.RecordAnswered()
			}
			s.recordDelegated(now, q, i, agent, &replies)
		}
	}

	if !s.finishIfDecided(now, d.queryID, q) {
		s.replaceIfIncomplete(now, d)
	}
	return s.outcomes
}

// recordDelegated records what an agent, the one of index i, replied to a delegate.
func (s *Seeker) recordDelegated(now time.Time, q *query, i int, agent flow.Endpoint, replies *fwdmsg.DelegatedReplies) {
	for j, key := range q.keys {
		r := s.searches[key]
		switch {
		case r == nil || !r.awaits(q):
		case replies.Holders[j] == byte(i):
			s.resolve(now, key, r, agent)
		case replies.Uncertain[i]:
			r.uncertain = append(r.uncertain, agent)
		}
	}
}

// silent returns the agents that have not replied.
func (d *delegation) silent() []flow.Endpoint {
	var agents []flow.Endpoint
	for _, agent := range d.agents {
		if d.query.asked[agent].pending {
			agents = append(agents, agent)
		}
	}
	return agents
}

// replaceIfIncomplete asks the agents whose replies a delegate did not get in another
// way. The next delegate is none of them.
func (s *Seeker) replaceIfIncomplete(now time.Time, d *delegation) {
	silent := d.silent()
	d.failed = len(silent) > 0
	if !d.failed {
		return
	}
	d.query.failedDelegates[d.delegate] = true
	for _, agent := range silent {
		d.query.failedDelegates[agent] = true
	}
	s.replaceDelegate(now, d)
}

// expireDelegations replaces the delegates that did not answer in time.
func (s *Seeker) expireDelegations(now time.Time) {
	for _, id := range slices.Sorted(maps.Keys(s.delegations)) {
		d := s.delegations[id]
		if !d.answered && !d.failed && now.Sub(d.sentAt) >= s.replyTimeout(delegateTimeout) {
			d.failed = true
			d.query.failedDelegates[d.delegate] = true
			if a := s.fleet.Agent(d.delegate); a != nil {
				a.RecordDelegateSilence(now)
			}
		}
		if d.failed {
			s.replaceDelegate(now, d)
		}
	}
}

// replaceDelegate asks the agents of a failed delegation that have not replied in
// another way, once the link permits. Agents that are dead or without flows are not
// asked again.
func (s *Seeker) replaceDelegate(now time.Time, d *delegation) {
	route := s.routeOf(d.query.keys[0].Service)
	if d.replaced || !s.awaited(d.query) || !s.mayAsk(now) {
		return
	}
	d.replaced = true
	var rest []*fleet.Agent
	for _, endpoint := range d.silent() {
		if a := s.fleet.Agent(endpoint); a != nil && a.MayReply() {
			rest = append(rest, a)
		}
	}
	if len(rest) == 0 {
		return
	}
	live, _ := s.fleet.PossibleHolders(now, route, d.query.keys[0].Hash())
	s.ask(now, d.queryID, d.query, rest, live, d.attempt+1)
}
