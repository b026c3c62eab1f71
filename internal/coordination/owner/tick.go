package owner

import (
	"cmp"
	"slices"
	"time"

	"github.com/coriandershift/coriandershift/internal/state/flow"
)

// NextTick returns when Tick is due next; false if no flow is in its handshake, no request
// arrives and the backlog is empty.
func (o *Owner) NextTick() (time.Time, bool) {
	var due time.Time
	if o.backlog.Len() > 0 {
		due = o.lastTick.Add(backlogInterval)
	} else if len(o.arriving) > 0 {
		due = o.lastTick.Add(arrivalInterval)
	}
	for _, e := range o.handshakes {
		if at := e.openedAt.Add(handshakeTimeout); due.IsZero() || at.Before(due) {
			due = at
		}
	}
	return due, !due.IsZero()
}

// RecordRunning records that the process was not paused at a time. It is to be called every
// 100 ms or more often.
func (o *Owner) RecordRunning(now time.Time) {
	o.pause.Tick(now)
}

// Tick forwards opening packets that the upstream left unanswered, resets callers
// whose flows waited too long, removes old flows from the table, and opens waiting
// flows. The actions are valid until the next call.
func (o *Owner) Tick(now time.Time) []Action {
	o.actions = o.actions[:0]
	o.pause.Resumed(now)
	o.lastTick = now
	var unanswered []flow.Key
	for key, e := range o.handshakes {
		if now.Sub(e.openedAt) < handshakeTimeout {
			continue
		}
		if e.answered {
			delete(o.handshakes, key)
			o.setCount(key, e, notCounted) // the caller has given up
			continue
		}
		unanswered = append(unanswered, key)
	}
	slices.SortFunc(unanswered, func(a, b flow.Key) int { return cmp.Compare(a.Hash(), b.Hash()) })
	for _, key := range unanswered {
		e := o.handshakes[key]
		o.failedOpenings++
		envelope, packet := e.envelope, e.packet
		o.removeFlow(key, e)
		o.forwardOrRefuse(now, key, &envelope, packet, NoAnswer)
	}
	for _, w := range o.backlog.TakeExpired(now) {
		o.resetCaller(w.Key, 0, Expired)
		o.notifyBalancer(now, w.Key, &w.Envelope, true)
	}
	o.checkArriving(now)
	o.sweep(now)
	o.openWaiting(now)
	return o.actions
}

func (o *Owner) sweep(now time.Time) {
	if now.Sub(o.lastSweep) < sweepInterval {
		return
	}
	o.lastSweep = now
	o.offers.sweep(now)
	o.resetDropped(now)
	if o.announcementOverdue(now) {
		o.failedOpenings = max(o.failedOpenings, silentThreshold)
	}
	for key, e := range o.flows {
		if o.requestOverdue(now, key, e) {
			outcome := Unanswered
			if o.requestIncomplete(now, key, e) {
				outcome = Incomplete
			}
			o.completeRequest(now, key, e, outcome)
		}
		idle := now.Sub(e.lastPacketAt)
		if idle > flowIdleTimeout || (idle > closedFlowRetention && (e.closed() || !e.open)) {
			o.removeFlow(key, e)
		}
	}
}
