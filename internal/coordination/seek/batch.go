package seek

import (
	"slices"
	"time"

	"github.com/coriandershift/coriandershift/internal/coordination/budget"
	"github.com/coriandershift/coriandershift/internal/coordination/fleet"
	"github.com/coriandershift/coriandershift/internal/protocol/fwdmsg"
	"github.com/coriandershift/coriandershift/internal/state/flow"
)

// mayAsk reports whether there is any budget, and any room in this run.
func (s *Seeker) mayAsk(now time.Time) bool {
	return s.budget.Available(now) && s.budget.FitsRun(0)
}

// fitsQuestions reports whether the questions of a query may be sent to an agent now, at
// least one message in each run.
func (s *Seeker) fitsQuestions(q *query) bool {
	return s.budget.RunIsEmpty() || s.budget.FitsRun(budget.MessageLength+len(q.payload))
}

// coversDirectly reports whether the budget covers asking agents directly about flows,
// and the run has room for the questions.
func (s *Seeker) coversDirectly(now time.Time, agents, flows int) bool {
	return s.budget.Covers(now, questionCost(agents, flows)) && s.budget.FitsRun(agents*(budget.MessageLength+flows*fwdmsg.QuestionLength))
}

// batchSize returns how many of the waiting flows the next query is about, 0 if the next
// run or more budget is to be waited for.
func (s *Seeker) batchSize(now time.Time, waiting int, live, dead []*fleet.Agent) int {
	agents := len(live) + len(dead)
	count := min(waiting, s.flowsPerQuery(agents))
	switch {
	case s.coversDirectly(now, agents, count):
		return count
	case !s.mayAsk(now):
		return 0
	case agents >= minDelegatedAgents && slices.ContainsFunc(live, func(a *fleet.Agent) bool { return a.CanDelegate(now) }):
		return min(waiting, fwdmsg.MaxDelegatedQuestions)
	case !s.budget.RunIsEmpty():
		return 0
	}
	return count
}

// flowsPerQuery returns the number of flows in one direct query to a number of agents.
func (s *Seeker) flowsPerQuery(agents int) int {
	if !s.budget.IsLimited() || agents == 0 {
		return fwdmsg.MaxQuestions
	}
	bytes := s.budget.RunLength()/float64(min(agents, maxAskedAtOnce)) - budget.MessageLength
	return max(1, min(int(bytes)/fwdmsg.QuestionLength, fwdmsg.MaxQuestions))
}

// askWaiting sends the questions of a query to the agents that wait for them, as many as
// fit this run.
func (s *Seeker) askWaiting(now time.Time, id uint16, q *query) {
	for len(q.waiting) > 0 && s.fitsQuestions(q) {
		agent := q.waiting[0]
		q.waiting = q.waiting[1:]
		if asked := q.asked[agent]; asked.pending && asked.sentAt.IsZero() {
			asked.sentAt = now
			q.asked[agent] = asked
			q.askedAt, q.resent = now, false
			if a := s.fleet.Agent(agent); a != nil {
				a.RecordAsked(now)
			}
			s.sendQuestions(id, q, agent)
		}
	}
}

// retryDelay returns the delay after which an inconclusive search asks again. With a
// budget it doubles with each query, and differs between flows, so that flows that were
// lost together do not use up the budget of each other again and again.
func (s *Seeker) retryDelay(key flow.Key, r *search) time.Duration {
	if !s.budget.IsLimited() {
		return retryDelay
	}
	delay := retryDelay << min(max(0, r.queryCount-1), maxRetryDoublings)
	return delay + delay/2*time.Duration(key.Hash()%8)/8
}
