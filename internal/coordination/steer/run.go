package steer

import (
	"slices"
	"time"

	"github.com/coriandershift/coriandershift/internal/protocol/fwdmsg"
)

// maxQueryTime is the time that questions sent in one run may take on the link. A longer
// run of datagrams may overflow the queue at the link.
const maxQueryTime = 25 * time.Millisecond

// run counts the bytes of questions that were sent since its start.
type run struct {
	start time.Time
	bytes int
}

// startRun starts the next run if the last one has passed the link.
func (r *Router) startRun(now time.Time) {
	if now.Sub(r.run.start) >= maxQueryTime {
		r.run = run{start: now}
	}
}

// fitsRun reports whether so many bytes of questions may be sent now.
func (r *Router) fitsRun(bytes int) bool {
	return r.linkRate == 0 || float64(r.run.bytes+bytes) <= maxQueryTime.Seconds()*float64(r.linkRate)
}

// mayAsk reports whether there is any budget, and any room in this run.
func (r *Router) mayAsk(now time.Time) bool {
	return r.budget.available(now) && r.fitsRun(0)
}

// fitsQuestions reports whether the questions of a query may be sent to an agent now, at
// least one message in each run.
func (r *Router) fitsQuestions(q *query) bool {
	return r.run.bytes == 0 || r.fitsRun(messageLength+len(q.payload))
}

// coversDirectly reports whether the budget covers asking agents directly about flows,
// and the run has room for the questions.
func (r *Router) coversDirectly(now time.Time, agents, flows int) bool {
	return r.budget.covers(now, questionCost(agents, flows)) && r.fitsRun(agents*(messageLength+flows*fwdmsg.QuestionLength))
}

// batchSize returns how many of the waiting flows the next query is about, 0 if the next
// run or more budget is to be waited for.
func (r *Router) batchSize(now time.Time, waiting int, live, dead []*agent) int {
	agents := len(live) + len(dead)
	count := min(waiting, r.flowsPerQuery(agents))
	switch {
	case r.coversDirectly(now, agents, count):
		return count
	case !r.mayAsk(now):
		return 0
	case agents >= minDelegatedAgents && slices.ContainsFunc(live, func(a *agent) bool { return a.canDelegate(now) }):
		return min(waiting, fwdmsg.MaxDelegatedQuestions)
	case r.run.bytes > 0:
		return 0
	}
	return count
}

// flowsPerQuery returns the number of flows in one direct query to a number of agents.
func (r *Router) flowsPerQuery(agents int) int {
	if r.linkRate == 0 || agents == 0 {
		return fwdmsg.MaxQuestions
	}
	bytes := maxQueryTime.Seconds()*float64(r.linkRate)/float64(min(agents, maxAskedAtOnce)) - messageLength
	return max(1, min(int(bytes)/fwdmsg.QuestionLength, fwdmsg.MaxQuestions))
}

// askWaiting sends the questions of a query to the agents that wait for them, as many as
// fit this run.
func (r *Router) askWaiting(now time.Time, id uint16, q *query) {
	for len(q.waiting) > 0 && r.fitsQuestions(q) {
		agent := q.waiting[0]
		q.waiting = q.waiting[1:]
		if asked := q.asked[agent]; asked.pending && asked.sentAt.IsZero() {
			asked.sentAt = now
			q.asked[agent] = asked
			q.askedAt, q.resent = now, false
			if a := r.agents[agent]; a != nil {
				a.recordAsked(now)
			}
			r.sendQuestions(id, q, agent)
		}
	}
}
