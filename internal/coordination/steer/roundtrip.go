package steer

import "time"

// WithRoundTripObserver has observe called for each opening packet that the agent it was
// last sent to answered with a notice, and for each reply to a query. now is when the
// answer was handled, d the time since the message.
func WithRoundTripObserver(observe func(now time.Time, d time.Duration)) Option {
	return func(r *Router) { r.observeRoundTrip = observe }
}

// recordRoundTrip passes on that a message sent at sentAt was answered now.
func (r *Router) recordRoundTrip(now, sentAt time.Time) {
	if r.observeRoundTrip != nil {
		r.observeRoundTrip(now, now.Sub(sentAt))
	}
}
