package owner

import (
	"time"

	"github.com/coriandershift/coriandershift/internal/state/config"
	"github.com/coriandershift/coriandershift/internal/state/flow"
)

// The limits on how long flows wait are for three kinds of load: bursts of seconds, in
// which nearly all callers can still be answered in time; lasting overload, in which some
// must be refused, and the earlier the better; and the surge after an outage.
const (
	// overloadDelay is the time without an empty backlog from which an overload counts as
	// lasting.
	overloadDelay = time.Second

	// overloadDivisor limits the expected wait of a flow during lasting overload to its
	// route's objective divided by overloadDivisor. With a higher limit, callers get late
	// answers although they could have been refused at once and served in time on their
	// next try.
	overloadDivisor = 4

	// recoveryMaxWait limits the expected wait for recoveryPeriod after an agent's start.
	// Callers who come then have waited through an outage; if they were refused, they would
	// use up their last tries at once, while the surge is over in two seconds.
	recoveryMaxWait = 800 * time.Millisecond
	recoveryPeriod  = 2 * time.Second

	// defaultMaxWait limits the expected wait where a route has no objective.
	defaultMaxWait = 100 * time.Millisecond

	// maxOpenTimeout is the longest time until a waiting flow is given up. Callers end an
	// attempt whose flow has not opened after 1.4 s.
	maxOpenTimeout = 1200 * time.Millisecond

	// idempotentAttempts is the number of attempts among which callers divide the timeout
	// of an idempotent request.
	idempotentAttempts = 3
)

// expectedWait returns how long a new flow of a priority would wait if all were served
// in order. While no more requests may arrive, the time until one has arrived counts too.
func (o *Owner) expectedWait(key flow.Key, priority int) time.Duration {
	interval := o.slotTime() / time.Duration(o.slots())
	if o.arrivingLimited() {
		interval = max(interval, o.arrivalsOf(key).mean/time.Duration(len(o.arriving)))
	}
	return interval * time.Duration(o.backlog.CountAhead(priority)+1)
}

// maxExpectedWait returns the limit of the expected wait for a flow with an objective;
// objective 0 is none. For a caller that dominates the backlog, an overload is lasting from
// the start: it may be the cause of it.
func (o *Owner) maxExpectedWait(now time.Time, objective time.Duration, dominates bool) time.Duration {
	switch {
	case now.Sub(o.startedAt) < recoveryPeriod:
		return recoveryMaxWait
	case objective == 0:
		return defaultMaxWait
	case now.Sub(o.backlogEmptyAt) < overloadDelay && !dominates:
		return max(o.openWithin(objective), objective/overloadDivisor)
	}
	return objective / overloadDivisor
}

// openWithin returns the time within which a flow must be opened for its request to be
// answered within an objective. It leaves time for a request that takes twice the mean.
func (o *Owner) openWithin(objective time.Duration) time.Duration {
	return max(0, objective-2*o.serviceTime())
}

// openTimeout returns how long a caller waits for a flow to open before it ends the
// attempt. If the request may be repeated, further attempts follow within its timeout.
func (o *Owner) openTimeout(key flow.Key) time.Duration {
	route := o.routes[key.Service]
	if route == nil || route.Timeout == 0 {
		return maxOpenTimeout
	}
	timeout := route.Timeout.Duration()
	if route.Kind == config.Idempotent {
		timeout /= idempotentAttempts
	}
	return min(maxOpenTimeout, timeout)
}
