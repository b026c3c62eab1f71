package fleet

import (
	"time"

	"github.com/coriandershift/coriandershift/internal/coordination/pick"
	"github.com/coriandershift/coriandershift/internal/protocol/fwdmsg"
	"github.com/coriandershift/coriandershift/internal/state/flow"
	"github.com/coriandershift/coriandershift/internal/state/roster"
)

const (
	// suspectThreshold is the number of consecutive opening packets without a notice
	// from which an agent is suspected, so that others are preferred.
	suspectThreshold = 2

	// suspectPeriod is the time for which others are preferred to a suspected agent.
	// Then one packet tries the agent again. Each failed trial doubles the time, up to
	// maxSuspectDoublings times: during a cut, the callers of the trials get late answers.
	suspectPeriod       = time.Second
	maxSuspectDoublings = 2

	// silentPeriod is the time without an answer to a question after which an agent seems
	// to be silent: any that runs has had the processor by then.
	silentPeriod = 150 * time.Millisecond

	// heardPeriod is the time after an agent's last message in which it may be chosen as
	// a delegate. An agent that has ended is known to be dead after about as long.
	heardPeriod = 3 * time.Second

	// delegateBackoff is the time for which an agent that did not answer as a delegate
	// is not chosen again. Each further silence doubles it, up to maxBackoffDoublings
	// times: an agent of an earlier version never answers.
	delegateBackoff     = 2 * time.Second
	maxBackoffDoublings = 4
)

// Agent is one agent's member record, reported load and responsiveness.
type Agent struct {
	Endpoint flow.Endpoint
	Member   roster.Member
	Load     pick.Load

	// MissedNoticeAt is when the timeout of an opening packet last passed, NoticeInTimeAt
	// when a notice last came within it.
	MissedNoticeAt, NoticeInTimeAt time.Time

	seed          uint64    // for ranking: the hash of the address
	deadSince     time.Time // zero unless the agent is dead
	missedNotices int       // consecutive opening packets without a notice
	suspectUntil  time.Time // other agents are preferred until then

	heardAt           time.Time // when it last sent this balancer a message
	unansweredSince   time.Time // when the earliest question since then was sent; zero if none
	silentDelegations int       // consecutive delegated queries that it did not answer
	noDelegateUntil   time.Time // it is not chosen as a delegate until then
}

// RecordLoad takes the load that the agent reports in a notice. The agent is no
// longer suspected.
func (a *Agent) RecordLoad(now time.Time, e *fwdmsg.Envelope) {
	a.Load.SetReport(now, pick.LoadReport{
		Requests: int(e.Load), Slots: int(e.Slots), MeanDuration: time.Duration(e.MeanDuration) * 100 * time.Microsecond, UnansweredPercent: int(e.UnansweredPercent),
	})
	a.missedNotices = 0
	a.suspectUntil = time.Time{}
}

// RecordMissedNotice records that the agent has left an opening packet without a notice.
func (a *Agent) RecordMissedNotice(now time.Time) {
	a.missedNotices++
	if excess := a.missedNotices - suspectThreshold; excess >= 0 {
		a.suspectUntil = now.Add(suspectPeriod << min(excess, maxSuspectDoublings))
	}
}

// IsSuspected reports whether others are preferred to the agent.
func (a *Agent) IsSuspected(now time.Time) bool {
	return now.Before(a.suspectUntil)
}

// RecordHeard records that the agent sent this balancer a message.
func (a *Agent) RecordHeard(now time.Time) {
	a.heardAt = now
	a.unansweredSince = time.Time{}
}

// RecordAsked records that the agent was asked a question, to which it has not replied.
func (a *Agent) RecordAsked(at time.Time) {
	if a.unansweredSince.IsZero() {
		a.unansweredSince = at
	}
}

// RecordAnswered records that the agent answered a delegate.
func (a *Agent) RecordAnswered() {
	a.unansweredSince = time.Time{}
}

// UnansweredSince returns when the earliest question was sent that the agent has left
// unanswered since its last message, or the zero time.
func (a *Agent) UnansweredSince() time.Time {
	return a.unansweredSince
}

// SeemsSilent reports whether the agent lately left questions or opening packets unanswered.
func (a *Agent) SeemsSilent(now time.Time) bool {
	return a.IsSuspected(now) || (!a.unansweredSince.IsZero() && now.Sub(a.unansweredSince) >= silentPeriod)
}

// MayReply reports whether an agent's reply is worth waiting for: dead agents hardly send
// one, and those without flows need not.
func (a *Agent) MayReply() bool {
	return a.Member.State != roster.Dead && !a.Member.NoFlows
}

// CanDelegate reports whether the agent may be asked to ask others: it sent this balancer
// a message lately, and answered when it was last asked to.
func (a *Agent) CanDelegate(now time.Time) bool {
	return a.Member.State == roster.Alive && now.Sub(a.heardAt) < heardPeriod &&
		!a.IsSuspected(now) && !now.Before(a.noDelegateUntil)
}

// RecordDelegateSilence records that the agent did not answer as a delegate.
func (a *Agent) RecordDelegateSilence(now time.Time) {
	a.noDelegateUntil = now.Add(delegateBackoff << min(a.silentDelegations, maxBackoffDoublings))
	a.silentDelegations++
}

// RecordDelegateReply records that the agent answered as a delegate.
func (a *Agent) RecordDelegateReply() {
	a.silentDelegations = 0
	a.noDelegateUntil = time.Time{}
}

// setMember replaces the agent's record and tracks since when it is dead.
func (a *Agent) setMember(now time.Time, m *roster.Member) {
	if m.State == roster.Alive && m.Sequence != a.Member.Sequence {
		a.unansweredSince = time.Time{} // it has reported to another VM
	}
	a.Member = *m
	switch {
	case m.State != roster.Dead:
		a.deadSince = time.Time{}
	case a.deadSince.IsZero():
		a.deadSince = now
	}
}
