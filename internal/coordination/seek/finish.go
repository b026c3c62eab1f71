package seek

import (
	"time"

	"github.com/coriandershift/coriandershift/internal/coordination/fleet"
)

// finishQuery ends a query if all agents that may have its flows were asked, and
// continues the searches for flows that no agent reported to have.
func (s *Seeker) finishQuery(now time.Time, id uint16, q *query) {
	route := s.routeOf(q.keys[0].Service)
	if s.awaited(q) && s.askNext(now, id, q, route) {
		return
	}
	s.endQuery(id, q)
	for _, key := range q.keys {
		if r := s.searches[key]; r != nil && r.awaits(q) {
			s.offerToUncertain(now, key, r)
		}
	}
}

// finishIfDecided finishes a query once no agent is to be waited for, and reports whether
// it did.
func (s *Seeker) finishIfDecided(now time.Time, id uint16, q *query) bool {
	if !q.resent {
		s.advanceAt(now, q.askedAt.Add(s.replyTimeout(s.resendDelay.Value(now))))
	}
	due, decided := s.decidedAt(now, q)
	if !decided {
		return false
	}
	if now.Before(due) {
		s.advanceAt(now, due)
		return false
	}
	s.recordSilence(q)
	s.finishQuery(now, id, q)
	return true
}

// decidedAt returns when a query ends without the agents that have not replied, and false
// if one of them may hold flows or is still to be asked.
func (s *Seeker) decidedAt(now time.Time, q *query) (time.Time, bool) {
	var due time.Time
	if len(q.waiting) > 0 && s.awaited(q) {
		return due, false
	}
	for endpoint, asked := range q.asked {
		if !asked.pending {
			continue
		}
		a := s.fleet.Agent(endpoint)
		if a == nil || !a.Member.NoFlows {
			return time.Time{}, false
		}
		if at := s.waitForEmpty(now, q, a); at.After(due) {
			due = at
		}
	}
	return due, true
}

// waitForEmpty returns until when a query waits for an agent that holds no flows: until it
// seems to be silent, and has had the time to answer this query.
func (s *Seeker) waitForEmpty(now time.Time, q *query, a *fleet.Agent) time.Time {
	timeout := s.replyTimeout(s.silence.Value(now))
	silentSince := a.UnansweredSince()
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
func (s *Seeker) recordSilence(q *query) {
	for endpoint, asked := range q.asked {
		if a := s.fleet.Agent(endpoint); asked.pending && a != nil {
			a.RecordAsked(q.askedAt)
		}
	}
}
