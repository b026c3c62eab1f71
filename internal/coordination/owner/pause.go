package owner

import "time"

const (
	// pauseThreshold is the time without a tick from which the process counts as paused.
	// Ticks come at least once a second.
	pauseThreshold = 2 * time.Second

	// resumePeriod is the time after a pause in which no new flows are opened. The process
	// learns meanwhile of a configuration, or of the upstream's departure, that it missed.
	resumePeriod = 300 * time.Millisecond
)

// detectPause records that the process was paused if the last tick is too long ago. The
// time of day counts as well, since the monotonic clock stops while a VM is suspended.
func (o *Owner) detectPause(now time.Time) {
	if o.lastTick.IsZero() {
		return
	}
	if now.Sub(o.lastTick) > pauseThreshold || now.Round(0).Sub(o.lastTick.Round(0)) > pauseThreshold {
		o.resumedAt = now
		o.lastTick = now
	}
}

// resuming reports whether the process was paused until a moment ago.
func (o *Owner) resuming(now time.Time) bool {
	return now.Sub(o.resumedAt) < resumePeriod
}
