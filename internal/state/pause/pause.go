// Package pause detects that a process was paused: packets that waited in its sockets are
// then of unknown age, and it has yet to learn what changed meanwhile.
package pause

import "time"

const (
	// threshold is the time without a tick from which the process counts as paused. Ticks
	// come every 100 ms (member.TickInterval).
	threshold = time.Second

	// resumePeriod is the time after a pause in which the process counts as resuming. It
	// reads meanwhile what waited in its sockets.
	resumePeriod = 300 * time.Millisecond
)

// Detector detects pauses of a process from the times of its ticks. The zero value is ready
// for use. It is not safe for concurrent use.
type Detector struct {
	// MonotonicOnly says that only the monotonic clock counts. It stops while a VM is
	// suspended, in which time no packets arrive either; the time of day may be set.
	MonotonicOnly bool

	lastTick  time.Time
	resumedAt time.Time // when the last pause ended
}

// Tick records a tick.
func (d *Detector) Tick(now time.Time) {
	d.Resumed(now)
	d.lastTick = now
}

// Resumed reports whether a pause is found to have ended by this call.
func (d *Detector) Resumed(now time.Time) bool {
	if d.lastTick.IsZero() || d.sinceTick(now) <= threshold {
		return false
	}
	d.lastTick, d.resumedAt = now, now
	return true
}

func (d *Detector) sinceTick(now time.Time) time.Duration {
	elapsed := now.Sub(d.lastTick)
	if d.MonotonicOnly {
		return elapsed
	}
	return max(elapsed, now.Round(0).Sub(d.lastTick.Round(0)))
}

// Resuming reports whether the process was paused until a moment ago.
func (d *Detector) Resuming(now time.Time) bool {
	return now.Sub(d.resumedAt) < resumePeriod
}
