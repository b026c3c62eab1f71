package owner

import (
	"math"
	"time"

	"github.com/coriandershift/coriandershift/internal/state/flow"
)

const (
	// failureSmoothing is the divisor of the moving average of outcomes: a new
	// outcome has the weight 1/failureSmoothing.
	failureSmoothing = 16

	// failureHalfLife is the time without requests in which the failure rate falls
	// by half, so that an upstream which gets few requests is tried again.
	failureHalfLife = 5 * time.Second

	// defaultTimeout is the time after which a request counts as unanswered if its
	// route sets no timeout.
	defaultTimeout = 5 * time.Second
)

// Outcome says how a request ended.
type Outcome string

// The outcomes.
const (
	Answered        Outcome = "answered"
	ResetByUpstream Outcome = "reset"      // by the upstream, before any answer
	Unanswered      Outcome = "unanswered" // within the route's timeout
	Incomplete      Outcome = "incomplete" // not all of its data arrived within the route's timeout
)

// failureRate is a moving average of the share of requests, from 0 to 1, that the
// upstream reset or left unanswered. It decays while there are no requests.
type failureRate struct {
	rate      float64
	updatedAt time.Time
}

func (f *failureRate) record(now time.Time, failed bool) {
	f.rate = f.current(now)
	f.updatedAt = now
	outcome := 0.0
	if failed {
		outcome = 1
	}
	f.rate += (outcome - f.rate) / failureSmoothing
}

// current returns the rate after its decay until now.
func (f *failureRate) current(now time.Time) float64 {
	if f.updatedAt.IsZero() {
		return 0
	}
	return f.rate * math.Exp2(-float64(now.Sub(f.updatedAt))/float64(failureHalfLife))
}

func (f *failureRate) percent(now time.Time) uint8 {
	return uint8(100 * f.current(now))
}

// completeRequest records the outcome of a flow's pending request, if it has one.
func (o *Owner) completeRequest(now time.Time, key flow.Key, e *entry, outcome Outcome) {
	o.setCount(key, e, notCounted)
	if !e.requestPending {
		return
	}
	e.requestPending = false
	hadGap, size := e.stream.hasGap(), e.stream.size()
	e.stream.endRequest()
	if outcome != Incomplete {
		o.failureRate.record(now, outcome != Answered)
	}
	done := Completion{Key: key, Duration: now.Sub(e.lastDataAt), Arrival: e.lastDataAt.Sub(e.requestSentAt), Outcome: outcome}
	if route := o.routes[key.Service]; route != nil {
		done.Kind = route.Kind
	}
	o.completions = append(o.completions, done)
	if outcome == Answered && !hadGap {
		o.arrivalsOf(key).record(done.Arrival, size)
		o.serviceTimes.record(now, done.Duration)
	}
}

// requestOverdue reports whether a flow's request has exceeded the timeout of its route.
func (o *Owner) requestOverdue(now time.Time, key flow.Key, e *entry) bool {
	if !e.requestPending {
		return false
	}
	timeout := defaultTimeout
	if route := o.routes[key.Service]; route != nil && route.Timeout > 0 {
		timeout = route.Timeout.Duration()
	}
	return now.Sub(e.requestSentAt) > timeout
}

// requestIncomplete reports whether data of a pending request is missing, so that the
// upstream cannot have answered it. If the upstream does not acknowledge the data that it
// was sent, the caller cannot send more.
func (o *Owner) requestIncomplete(now time.Time, key flow.Key, e *entry) bool {
	if e.counts == running || e.stream.complete(o.arrivalsOf(key).segment) {
		return false
	}
	return e.stream.hasGap() || e.upstreamAck == e.stream.end || now.Sub(e.lastDataAt) < quietTimeout
}
