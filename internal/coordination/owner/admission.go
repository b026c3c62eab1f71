package owner

import (
	"math"
	"slices"
	"time"

	"github.com/coriandershift/coriandershift/internal/protocol/fwdmsg"
	"github.com/coriandershift/coriandershift/internal/state/flow"
	"github.com/coriandershift/coriandershift/internal/state/queue"
)

const (
	// handshakeSmoothing is the divisor of the moving average of the times of handshakes:
	// a new one has the weight 1/handshakeSmoothing.
	handshakeSmoothing = 16

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
	during := float64(o.slots()) * float64(o.meanHandshake) / float64(o.slotTime())
	return o.slots() + min(max(1, int(math.Ceil(during))), o.slots())
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
	return uint16(min(100*(o.load()+o.backlog.Len())/o.slots(), 1<<16-1))
}

// enqueue adds a flow to the backlog, or refuses it if it would wait too long and no
// waiting flow makes room for it. A caller that dominates is refused beyond its share
// while others wait.
func (o *Owner) enqueue(now time.Time, key flow.Key, e *fwdmsg.Envelope, p *flow.Packet) {
	dominant, found := o.backlog.Dominant(now)
	isDominant := found && key.Caller.IP == dominant
	othersWait := o.backlog.Len() > 0
	if found {
		othersWait = o.backlog.LenWithout(dominant) > 0
	}
	if !othersWait {
		o.backlogEmptyAt = now
	}

	beyondShare := isDominant && (othersWait || o.contended(now)) && o.backlog.HadShare(now, key.Caller.IP)
	if beyondShare || !o.makeRoom(now, key, isDominant) {
		o.forwardOrRefuse(now, key, e, p.Raw, Overloaded)
		return
	}
	o.addToBacklog(now, key, e, p)
}

// makeRoom reports whether a new flow may wait. If it would wait too long, it replaces a
// waiting flow that can no longer be answered in time, or one of a caller that has more
// waiting flows.
func (o *Owner) makeRoom(now time.Time, key flow.Key, isDominant bool) bool {
	priority, objective := o.priorityAndObjective(key)
	if o.expectedWait(key, priority) <= o.maxExpectedWait(now, objective, isDominant) {
		return true
	}
	if !isDominant {
		o.contendedAt = now
	}
	evicted, ok := o.backlog.Evict(now, priority, key.Caller.IP)
	if !ok {
		return false
	}
	reason := EvictedForYounger
	if !now.After(evicted.OpenDeadline) {
		reason = EvictedForOthers
	}
	o.resetCaller(evicted.Key, 0, reason)
	o.notifyBalancer(now, evicted.Key, &evicted.Envelope, true)
	return true
}

func (o *Owner) addToBacklog(now time.Time, key flow.Key, e *fwdmsg.Envelope, p *flow.Packet) {
	priority, objective := o.priorityAndObjective(key)
	firstSent := now.Add(-p.SinceFirstSent)
	o.backlog.Add(queue.WaitingFlow{
		Key: key, Priority: priority, FirstSent: firstSent, OpenDeadline: firstSent.Add(o.openWithin(objective)), GiveUpAt: firstSent.Add(o.openTimeout(key)),
		Sequence: p.Sequence, Packet: slices.Clone(p.Raw), Envelope: *e,
	})
	o.actions = append(o.actions, Action{Kind: Hold, Reason: Queued, Key: key, Load: o.load()})
	o.notifyBalancer(now, key, e, false)
}

// contended reports whether flows of callers that do not dominate found no room within
// overloadDelay.
func (o *Owner) contended(now time.Time) bool {
	return now.Sub(o.contendedAt) < overloadDelay
}

// hadShare reports whether a flow is not to be opened because others find no room, and its
// caller dominates and has had the flows of an average caller.
func (o *Owner) hadShare(now time.Time, key flow.Key) bool {
	if !o.contended(now) || !o.backlog.HadShare(now, key.Caller.IP) {
		return false
	}
	dominant, ok := o.backlog.Dominant(now)
	return ok && dominant == key.Caller.IP
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

// slotTime returns the mean time for which a request takes a slot. A few long requests
// count in full, unlike in serviceTime, but each moves it little.
func (o *Owner) slotTime() time.Duration {
	if o.serviceTimes.mean == 0 {
		return defaultServiceTime
	}
	return o.serviceTimes.withTail()
}

// serviceTime returns the mean time of a request at the upstream, but for a few long ones.
func (o *Owner) serviceTime() time.Duration {
	if o.serviceTimes.mean == 0 {
		return defaultServiceTime
	}
	return o.serviceTimes.mean
}

// openWaiting opens waiting flows while the upstream has fewer than maxRequests.
func (o *Owner) openWaiting(now time.Time) {
	if o.pause.Resuming(now) {
		return
	}
	for o.backlog.Len() > 0 && o.load() < o.maxRequests() {
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
