package owner

import (
	"math"
	"time"

	"github.com/coriandershift/coriandershift/internal/state/flow"
)

const (
	// faultWeight is the weight of earlier outcomes against a new one.
	faultWeight = 16

	// faultHalfLife is after how long without requests half of the faults are
	// forgotten, so that an upstream which gets few is tried again.
	faultHalfLife = 5 * time.Second

	// usualTimeout is after how long a request counts as unanswered if its route
	// does not say.
	usualTimeout = 5 * time.Second
)

// Outcome says how a request ended.
type Outcome string

// The outcomes.
const (
	Answered        Outcome = "answered"
	ResetByUpstream Outcome = "reset"      // by the upstream, before any answer
	Unanswered      Outcome = "unanswered" // within the route's timeout
)

// faults follows the share of requests that the upstream did not answer.
type faults struct {
	share float64
	at    time.Time
}

func (f *faults) note(now time.Time, failed bool) {
	f.share = f.fresh(now)
	f.at = now
	outcome := 0.0
	if failed {
		outcome = 1
	}
	f.share += (outcome - f.share) / faultWeight
}

// fresh returns the share as it counts now.
func (f *faults) fresh(now time.Time) float64 {
	if f.at.IsZero() {
		return 0
	}
	return f.share * math.Exp2(-float64(now.Sub(f.at))/float64(faultHalfLife))
}

// percent returns the share in percent.
func (f *faults) percent(now time.Time) uint8 {
	return uint8(100 * f.fresh(now))
}

// finish ends the request that a flow waits for.
func (o *Owner) finish(now time.Time, key flow.Key, e *entry, outcome Outcome) {
	o.rest(e)
	if !e.asked {
		return
	}
	e.asked = false
	o.faults.note(now, outcome != Answered)
	done := Completion{Key: key, Duration: now.Sub(e.askedAt), Outcome: outcome}
	if route := o.routes[key.Service]; route != nil {
		done.Kind = route.Kind
	}
	o.finished = append(o.finished, done)
	if outcome == Answered {
		o.service += (done.Duration - o.service) / serviceWeight
	}
}

// overdue reports whether a flow's request should have been answered by now.
func (o *Owner) overdue(now time.Time, key flow.Key, e *entry) bool {
	if !e.asked {
		return false
	}
	timeout := usualTimeout
	if route := o.routes[key.Service]; route != nil && route.Timeout > 0 {
		timeout = route.Timeout.Duration()
	}
	return now.Sub(e.askedAt) > timeout
}
