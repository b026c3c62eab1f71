package owner

import "time"

const (
	// rampWindow is the period that the limit of a ramp applies to.
	rampWindow = time.Second

	// rampMargin is added to the window, so that the upstream sees no more flows than
	// the limit in any second even if they arrive in bunches.
	rampMargin = 100 * time.Millisecond
)

// ramp limits the rate of new flows to a cold upstream over a sliding window.
type ramp struct {
	perWindow int         // 0 is no limit
	admitted  []time.Time // the flows admitted in the window, oldest first
	fullUntil time.Time   // the window counts as full until then
}

// setLimit sets the limit in flows per second; 0 is none. A limit below 1 counts as 1.
func (r *ramp) setLimit(perSecond float64) {
	r.perWindow = int(perSecond)
	if perSecond > 0 {
		r.perWindow = max(1, r.perWindow)
	}
}

// fill counts the window as full, also if the limit is not known yet. An agent that has just
// started does not know how many flows were admitted before.
func (r *ramp) fill(now time.Time) {
	r.admitted = r.admitted[:0]
	r.fullUntil = now.Add(rampWindow + rampMargin)
}

// admit reports whether one more flow is within the limit, and counts it if so.
func (r *ramp) admit(now time.Time) bool {
	if r.perWindow == 0 {
		return true
	}
	for len(r.admitted) > 0 && now.Sub(r.admitted[0]) > rampWindow+rampMargin {
		r.admitted = r.admitted[1:]
	}
	if !now.After(r.fullUntil) || len(r.admitted) >= r.perWindow {
		return false
	}
	r.admitted = append(r.admitted, now)
	return true
}
