package steer

import "time"

// WithRoundTripObserver has observe called for each opening packet that the agent it was
// last sent to answered with a notice, and for each reply to a query. now is when the
// answer was handled, d the time since the message.
func WithRoundTripObserver(observe func(now time.Time, d time.Duration)) Option {
	return func(r *Router) { r.observeRoundTrip = observe }
}

// recordRoundTrip passes on that a message was answered now, d after it was sent.
func (r *Router) recordRoundTrip(now time.Time, d time.Duration) {
	if r.observeRoundTrip != nil {
		r.observeRoundTrip(now, d)
	}
}
