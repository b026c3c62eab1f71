package owner

import (
	"math"
	"slices"
	"time"

	"github.com/coriandershift/coriandershift/internal/protocol/fwdmsg"
	"github.com/coriandershift/coriandershift/internal/state/config"
	"github.com/coriandershift/coriandershift/internal/state/flow"
	"github.com/coriandershift/coriandershift/internal/state/queue"
)

const (
	// waitDivisor limits the expected wait of a flow to its route's objective divided
	// by waitDivisor. With a higher limit, callers get late answers under overload
	// although they could have been refused at once and served in time on their next try.
	waitDivisor = 4

	// recoveryMaxWait limits the expected wait instead for recoveryPeriod after an
	// agent's start. Callers who come then have waited through an outage; if they
	// were refused, they would use up their last tries at once, while the surge is
	// over in two seconds.
	recoveryMaxWait = 800 * time.Millisecond
	recoveryPeriod  = 2 * time.Second

	// defaultMaxWait limits the expected wait where a route has no objective.
	defaultMaxWait = 100 * time.Millisecond

	// callerTimeout is the time after a caller's first opening packet at which a flow
	// that still waits is refused.
	callerTimeout = 1200 * time.Millisecond

	maxAttempts = 3

	// serviceTimeSmoothing is the divisor of the moving average of service times: a
	// new one has the weight 1/serviceTimeSmoothing.
	serviceTimeSmoothing = 16

	// handshakeSmoothing is the same divisor for the times of handshakes.
	handshakeSmoothing = 16

	// defaultHandshakeTime is the time of a handshake that is assumed until one was completed.
	defaultHandshakeTime = 10 * time.Millisecond

	// defaultServiceTime is the service time that is assumed until a request was answered.
	defaultServiceTime = 50 * time.Millisecond

	// backlogInterval is the time between two ticks while flows wait.
	backlogInterval = 50 * time.Millisecond
)

// admissionLimit returns the number of requests at the upstream from which a new flow
// goes to another agent, or waits here if no other is left to try.
func (o *Owner) admissionLimit(e *fwdmsg.Envelope) int {
	if e.RankCount > 0 && !e.WaitHere {
		return o.slots()
	}
	return o.maxRequests()
}

// maxRequests returns how many requests the upstream may have at a time: one for each
// slot, and as many as arrive during a handshake, so that no slot is idle until the caller
// has completed it.
func (o *Owner) maxRequests() int {
	during := float64(o.slots()) * float64(o.handshakeTime()) / float64(o.serviceTime())
	return o.slots() + min(max(1, int(math.Ceil(during))), o.slots())
}

// handshakeTime returns the mean time from an opening packet to the caller's next one.
func (o *Owner) handshakeTime() time.Duration {
	if o.meanHandshake == 0 {
		return defaultHandshakeTime
	}
	return o.meanHandshake
}

// handleFull handles an opening packet for which the upstream has no free slot. It
// goes to the next agent; when all have been tried, it goes to the one with the least
// load and waits there.
func (o *Owner) handleFull(now time.Time, key flow.Key, e *fwdmsg.Envelope, p *flow.Packet) {
	if load := o.loadPercent(); !e.WaitHere && (e.LeastLoaded.IsZero() || load < e.MinLoadPercent) {
		e.LeastLoaded, e.MinLoadPercent = o.settings.Self, load
	}
	if e.RankCount > 0 {
		o.forwardOrRefuse(now, key, e, p.Raw, Full)
		return
	}
	if !e.WaitHere && e.LeastLoaded != o.settings.Self {
		e.WaitHere = true
		e.Ranks[0], e.RankCount = e.LeastLoaded, 1
		o.forwardOrRefuse(now, key, e, p.Raw, Full)
		return
	}
	o.enqueue(now, key, e, p)
}

// loadPercent returns the requests and waiting flows per 100 slots, by which full
// agents are compared.
func (o *Owner) loadPercent() uint16 {
	return uint16(min(100*(o.requests+o.backlog.Len())/o.slots(), 1<<16-1))
}

// enqueue adds a flow to the backlog. If the flow would wait too long, it replaces a
// waiting flow that can no longer be answered in time; if there is none, it is refused.
func (o *Owner) enqueue(now time.Time, key flow.Key, e *fwdmsg.Envelope, p *flow.Packet) {
	priority, objective := o.priorityAndObjective(key)
	if o.expectedWait(priority) > o.maxExpectedWait(now, objective) {
		evicted, ok := o.backlog.Evict(now, priority)
		if !ok {
			o.forwardOrRefuse(now, key, e, p.Raw, Overloaded)
			return
		}
		o.resetCaller(evicted.Key, 0, EvictedForYounger)
		o.notifyBalancer(now, evicted.Key, &evicted.Envelope, true)
	}

	firstSent := now.Add(-p.SinceFirstSent)
	openWithin := max(0, objective-2*o.serviceTime())
	o.backlog.Add(queue.WaitingFlow{
		Key: key, Priority: priority, FirstSent: firstSent, OpenDeadline: firstSent.Add(openWithin), GiveUpAt: firstSent.Add(o.openTimeout(key)),
		Sequence: p.Sequence, Packet: slices.Clone(p.Raw), Envelope: *e,
	})
	o.actions = append(o.actions, Action{Kind: Hold, Reason: Queued, Key: key, Load: o.requests})
	o.notifyBalancer(now, key, e, false)
}

func (o *Owner) openTimeout(key flow.Key) time.Duration {
	route := o.routes[key.Service]
	if route == nil || route.Timeout == 0 {
		return callerTimeout
	}
	timeout := route.Timeout.Duration()
	if route.Kind == config.Idempotent {
		timeout /= maxAttempts
	}
	return min(callerTimeout, timeout)
}

// expectedWait returns how long a new flow of a priority would wait if all were served
// in order.
func (o *Owner) expectedWait(priority int) time.Duration {
	return o.serviceTime() * time.Duration(o.backlog.CountAhead(priority)+1) / time.Duration(o.slots())
}

// maxExpectedWait returns the limit of the expected wait for a flow with an objective;
// objective 0 is none.
func (o *Owner) maxExpectedWait(now time.Time, objective time.Duration) time.Duration {
	switch {
	case now.Sub(o.startedAt) < recoveryPeriod:
		return recoveryMaxWait
	case objective == 0:
		return defaultMaxWait
	}
	return objective / waitDivisor
}

// priorityAndObjective returns the priority of a flow's route and the time within which
// its requests are to be answered; both are 0 if the flow has no route.
func (o *Owner) priorityAndObjective(key flow.Key) (int, time.Duration) {
	route := o.routes[key.Service]
	if route == nil {
		return 0, 0
	}
	return route.Priority, route.Objective.Duration()
}

// serviceTime returns the mean time of a request at the upstream.
func (o *Owner) serviceTime() time.Duration {
	if o.meanServiceTime == 0 {
		return defaultServiceTime
	}
	return o.meanServiceTime
}

// openWaiting opens waiting flows while the upstream has fewer than maxRequests.
func (o *Owner) openWaiting(now time.Time) {
	for o.backlog.Len() > 0 && o.requests < o.maxRequests() {
		if now.Before(o.coldUntil) && (o.cfg.Revision == 0 || !o.ramp.admit(now)) {
			return
		}
		w, _ := o.backlog.PopNext(now)
		if reason := o.checkEligible(w.Key, &w.Envelope); reason != "" {
			o.forwardOrRefuse(now, w.Key, &w.Envelope, w.Packet, reason)
			continue
		}
		o.deliverOpening(now, w.Key, w.Sequence, w.Packet, &w.Envelope)
	}
}

// forwardWaiting empties the backlog: its flows are forwarded or refused.
func (o *Owner) forwardWaiting(now time.Time, reason Reason) {
	for _, w := range o.backlog.TakeAll() {
		o.forwardOrRefuse(now, w.Key, &w.Envelope, w.Packet, reason)
	}
}
