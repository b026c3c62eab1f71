package link

import "time"

const (
	// enterUse is the use from which on a link is full, and leaveUse the one below which
	// it can be free again.
	enterUse = 0.95
	leaveUse = 0.8

	// defaultEnterQueue is half the 200 ms after which callers repeat an opening packet,
	// so that notices come late when they wait that long in both directions.
	// defaultLeaveQueue is half of it.
	defaultEnterQueue = 100 * time.Millisecond
	defaultLeaveQueue = 50 * time.Millisecond

	// minQueueUse is the use from which on long round trips mean a queue at the link.
	// Below, agents are slow. Headers below IP take up to the rest of the rate.
	minQueueUse = 0.7

	// freePeriod is the time for which both use and queue are low before a link is free.
	freePeriod = time.Second
)

// state says whether the link is full in one direction.
type state struct {
	full     bool
	lastBusy time.Time // when use or queue was last too high for a free link
}

// Full reports whether the link was full at the last Update.
func (m *Meter) Full(d Direction) bool {
	return m.states[d].full
}

// Update finds out whether the link is full, which means that it delays packets more than
// callers can bear, and reports whether that has changed.
func (m *Meter) Update(now time.Time, d Direction) bool {
	use, queue := m.Use(now, d), m.Queue(now, d)
	if d == In && use < minQueueUse {
		queue = 0
	}
	s := &m.states[d]
	if use >= leaveUse || queue >= m.leaveQueue {
		s.lastBusy = now
	}
	if s.full {
		s.full = now.Sub(s.lastBusy) < freePeriod
		return !s.full
	}
	s.full = use >= enterUse || queue >= m.enterQueue
	return s.full
}
