package owner

import "time"

const (
	rampWindow = time.Second

	// rampMargin widens the window, so that flows which arrive bunched still
	// keep the limit in any second.
	rampMargin = 100 * time.Millisecond
)

// ramp bounds the new flows of a cold upstream in any window.
type ramp struct {
	perWindow int
	admitted  []time.Time
}

// setLimit sets the bound; 0 is none.
func (r *ramp) setLimit(perSecond float64) {
	r.perWindow = int(perSecond)
	if perSecond > 0 {
		r.perWindow = max(1, r.perWindow)
	}
}

// fill fills the window: what an agent that just started let through before is unknown.
func (r *ramp) fill(now time.Time) {
	r.admitted = r.admitted[:0]
	for range r.perWindow {
		r.admitted = append(r.admitted, now)
	}
}

// admit reports whether one more flow fits, and counts it if so.
func (r *ramp) admit(now time.Time) bool {
	if r.perWindow == 0 {
		return true
	}
	for len(r.admitted) > 0 && now.Sub(r.admitted[0]) > rampWindow+rampMargin {
		r.admitted = r.admitted[1:]
	}
	if len(r.admitted) >= r.perWindow {
		return false
	}
	r.admitted = append(r.admitted, now)
	return true
}
