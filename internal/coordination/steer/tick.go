package steer

import (
	"time"
)

// NextTick returns when Tick has something to do, and false if it has nothing.
func (s *Router) NextTick() (time.Time, bool) {
	var due time.Time
	if s.active || len(s.held) > 0 {
		due = s.lastTick.Add(queryEvery)
	}
	if len(s.opens) > 0 {
		if at := s.oldestOpen.Add(s.openTimeout()); due.IsZero() || at.Before(due) {
			due = at
		}
	}
	return due, !due.IsZero()
}

// noteOpen keeps oldestOpen before an opening packet that is sent now.
func (s *Router) noteOpen(now time.Time) {
	if s.oldestOpen.IsZero() {
		s.oldestOpen = now
	}
}

// Tick tries the next agent for opening packets that were not noted in time,
// and forgets flows that have ended.
func (s *Router) Tick(now time.Time) []Action {
	s.out = s.out[:0]
	late := s.late(now)
	s.lastTick = now
	s.settle(now)
	s.release(now)
	s.ask(now)
	s.retryOpens(now, late)
	s.sweep(now)
	s.active = s.searching()
	return s.out
}

// retryOpens tries the next agent for opening packets that were not noted in
// time. A late tick gives them as much longer.
func (s *Router) retryOpens(now time.Time, late time.Duration) {
	s.oldestOpen = time.Time{}
	for key, o := range s.opens {
		if late > 0 {
			o.at = o.at.Add(late)
		} else if now.Sub(o.at) >= s.openTimeout() {
			s.retry(now, key, o)
		}
		if s.oldestOpen.IsZero() || o.at.Before(s.oldestOpen) {
			s.oldestOpen = o.at
		}
	}
}

// late returns by how much this tick is late, 0 if it came in time.
func (s *Router) late(now time.Time) time.Duration {
	due, waiting := s.NextTick()
	if late := now.Sub(due); waiting && !s.active && len(s.held) == 0 && late > lateTick {
		return late
	}
	return 0
}

func (s *Router) openTimeout() time.Duration {
	return min(max(minOpenTimeout, openTimeoutFactor*s.noted), maxOpenTimeout)
}

func (s *Router) sweep(now time.Time) {
	if now.Sub(s.lastSweep) < sweepEvery {
		return
	}
	s.lastSweep = now
	s.forgetAgents(now)
	for key, f := range s.searches {
		if now.Sub(f.at) > searchTTL {
			delete(s.searches, key)
		}
	}
	for key, e := range s.flows {
		idle := now.Sub(e.at)
		if idle > s.idle || (e.closing && idle > closedLinger) {
			delete(s.flows, key)
		}
	}
}
