package owner

import (
	"slices"
	"time"

	"github.com/coriandershift/coriandershift/internal/protocol/fwdmsg"
	"github.com/coriandershift/coriandershift/internal/state/flow"
	"github.com/coriandershift/coriandershift/internal/state/queue"
)

const (
	// handshakeDivisor is how many requests beyond its slots the upstream gets, as a
	// part of them: it works on nothing while a caller completes its handshake,
	// about 8 ms of the 40 to 80 ms that a request takes.
	handshakeDivisor = 4

	// waitDivisor is the part of a route's objective that a flow may be expected to
	// wait. With more, under overload, callers are late who could have been refused
	// at once and served in time on their next try.
	waitDivisor = 4

	// recoveryMaxWait bounds it for recoverFor after an agent's start: callers who come
	// then have waited through an outage and would have spent their last tries in a
	// moment, while the surge is over in two seconds.
	recoveryMaxWait = 800 * time.Millisecond
	recoveryPeriod  = 2 * time.Second

	// defaultMaxWait is expected at most where a route has no objective.
	defaultMaxWait = 100 * time.Millisecond

	// callerTimeout is how long a flow may wait in fact.
	callerTimeout = 1200 * time.Millisecond

	// serviceTimeSmoothing is the weight of old service times against a new one.
	serviceTimeSmoothing = 16

	// defaultServiceTime is assumed until a request was seen.
	defaultServiceTime = 50 * time.Millisecond

	// backlogInterval is how often a backlog is looked at when nothing else happens.
	backlogInterval = 50 * time.Millisecond
)

// admissionLimit returns how many requests the upstream may have before others are tried,
// or before flows wait when there are no others.
func (o *Owner) admissionLimit(e *fwdmsg.Envelope) int {
	if e.RankCount > 0 && !e.WaitHere {
		return o.slots()
	}
	return o.maxRequests()
}

func (o *Owner) maxRequests() int {
	return o.slots() + max(1, o.slots()/handshakeDivisor)
}

// handleFull handles an opening packet that the upstream has no room for: it goes to
// the next agent, at last to the one with the shortest backlog, and waits there.
func (o *Owner) handleFull(now time.Time, key flow.Key, e *fwdmsg.Envelope, p *flow.Packet) {
	if load := o.loadPercent(); !e.WaitHere && (e.LeastLoaded.IsZero() || load < e.LeastLoad) {
		e.LeastLoaded, e.LeastLoad = o.settings.Self, load
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

// loadPercent compares agents whose upstreams have no room: requests for 100 slots.
func (o *Owner) loadPercent() uint16 {
	return uint16(min(100*(o.requests+o.backlog.Len())/o.slots(), 1<<16-1))
}

// enqueue puts a flow into the backlog, if need be in the place of one that cannot be
// answered in time any more, or refuses it if its own turn would come too late.
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

	since := now.Add(-p.SinceFirstSent)
	hurry := max(0, objective-2*o.serviceTime())
	o.backlog.Add(queue.WaitingFlow{
		Key: key, Priority: priority, FirstSent: since, OpenDeadline: since.Add(hurry), GiveUpAt: since.Add(callerTimeout),
		Sequence: p.Sequence, Packet: slices.Clone(p.Raw), Envelope: *e,
	})
	o.actions = append(o.actions, Action{Kind: Hold, Reason: Queued, Key: key, Load: o.requests})
	o.notifyBalancer(now, key, e, false)
}

// expectedWait returns how long a new flow would wait, were all served in order.
func (o *Owner) expectedWait(priority int) time.Duration {
	return o.serviceTime() * time.Duration(o.backlog.CountAhead(priority)+1) / time.Duration(o.slots())
}

// maxExpectedWait returns how long a flow may be expected to wait.
func (o *Owner) maxExpectedWait(now time.Time, objective time.Duration) time.Duration {
	switch {
	case now.Sub(o.startedAt) < recoveryPeriod:
		return recoveryMaxWait
	case objective == 0:
		return defaultMaxWait
	}
	return objective / waitDivisor
}

// priorityAndObjective returns the priority of a flow's requests, and within what time they
// are to be answered.
func (o *Owner) priorityAndObjective(key flow.Key) (int, time.Duration) {
	route := o.routes[key.Service]
	if route == nil {
		return 0, 0
	}
	return route.Priority, route.Objective.Duration()
}

func (o *Owner) serviceTime() time.Duration {
	if o.meanServiceTime == 0 {
		return defaultServiceTime
	}
	return o.meanServiceTime
}

// openWaiting opens waiting flows while the upstream has room.
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

// forwardWaiting sends the waiting flows away.
func (o *Owner) forwardWaiting(now time.Time, reason Reason) {
	for _, w := range o.backlog.TakeAll() {
		o.forwardOrRefuse(now, w.Key, &w.Envelope, w.Packet, reason)
	}
}
