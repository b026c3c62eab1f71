package owner

import (
	"slices"
	"time"

	"github.com/coriandershift/coriandershift/internal/protocol/fwdmsg"
	"github.com/coriandershift/coriandershift/internal/state/flow"
	"github.com/coriandershift/coriandershift/internal/state/queue"
)

const (
	// openingShare is how many requests beyond its slots the upstream gets, as a
	// part of them: it works on nothing while a caller completes its handshake,
	// about 8 ms of the 40 to 80 ms that a request takes.
	openingShare = 4

	// waitShare is the part of a route's objective that a flow may be expected to
	// wait. With more, under overload, callers are late who could have been refused
	// at once and served in time on their next try.
	waitShare = 4

	// recoverWait bounds it for recoverFor after an agent's start: callers who come
	// then have waited through an outage and would have spent their last tries in a
	// moment, while the surge is over in two seconds.
	recoverWait = 800 * time.Millisecond
	recoverFor  = 2 * time.Second

	// usualWait is expected at most where a route has no objective.
	usualWait = 100 * time.Millisecond

	// callerPatience is how long a flow may wait in fact.
	callerPatience = 1200 * time.Millisecond

	// serviceWeight is the weight of old service times against a new one.
	serviceWeight = 16

	// usualService is assumed until a request was seen.
	usualService = 50 * time.Millisecond

	// backlogTick is how often a backlog is looked at when nothing else happens.
	backlogTick = 50 * time.Millisecond
)

// room returns how many requests the upstream may have before others are tried,
// or before flows wait when there are no others.
func (o *Owner) room(e *fwdmsg.Envelope) int {
	if e.RankCount > 0 && !e.WaitHere {
		return o.slots()
	}
	return o.limit()
}

func (o *Owner) limit() int {
	return o.slots() + max(1, o.slots()/openingShare)
}

// full handles an opening packet that the upstream has no room for: it goes to
// the next agent, at last to the one with the shortest backlog, and waits there.
func (o *Owner) full(now time.Time, key flow.Key, e *fwdmsg.Envelope, p *flow.Packet) {
	if load := o.fullness(); !e.WaitHere && (e.LeastLoaded.IsZero() || load < e.LeastLoad) {
		e.LeastLoaded, e.LeastLoad = o.settings.Self, load
	}
	if e.RankCount > 0 {
		o.handOn(now, key, e, p.Raw, Full)
		return
	}
	if !e.WaitHere && e.LeastLoaded != o.settings.Self {
		e.WaitHere = true
		e.Ranks[0], e.RankCount = e.LeastLoaded, 1
		o.handOn(now, key, e, p.Raw, Full)
		return
	}
	o.wait(now, key, e, p)
}

// fullness compares agents whose upstreams have no room: requests for 100 slots.
func (o *Owner) fullness() uint16 {
	return uint16(min(100*(o.requests+o.backlog.Len())/o.slots(), 1<<16-1))
}

// wait puts a flow into the backlog, if need be in the place of one that cannot be
// answered in time any more, or refuses it if its own turn would come too late.
func (o *Owner) wait(now time.Time, key flow.Key, e *fwdmsg.Envelope, p *flow.Packet) {
	priority, objective := o.urgency(key)
	if o.expectedWait(priority) > o.waitBound(now, objective) {
		evicted, ok := o.backlog.Evict(now, priority)
		if !ok {
			o.handOn(now, key, e, p.Raw, Overloaded)
			return
		}
		o.resetCaller(evicted.Key, 0, EvictedForYounger)
		o.tell(now, evicted.Key, &evicted.Envelope, true)
	}

	since := now.Add(-p.SinceFirstSent)
	hurry := max(0, objective-2*o.meanService())
	o.backlog.Add(queue.WaitingFlow{
		Key: key, Priority: priority, FirstSent: since, OpenDeadline: since.Add(hurry), GiveUpAt: since.Add(callerPatience),
		Sequence: p.Sequence, Packet: slices.Clone(p.Raw), Envelope: *e,
	})
	o.actions = append(o.actions, Action{Kind: Hold, Reason: Queued, Key: key, Load: o.requests})
	o.tell(now, key, e, false)
}

// expectedWait returns how long a new flow would wait, were all served in order.
func (o *Owner) expectedWait(priority int) time.Duration {
	return o.meanService() * time.Duration(o.backlog.CountAhead(priority)+1) / time.Duration(o.slots())
}

// waitBound returns how long a flow may be expected to wait.
func (o *Owner) waitBound(now time.Time, objective time.Duration) time.Duration {
	switch {
	case now.Sub(o.started) < recoverFor:
		return recoverWait
	case objective == 0:
		return usualWait
	}
	return objective / waitShare
}

// urgency returns the priority of a flow's requests, and within what time they
// are to be answered.
func (o *Owner) urgency(key flow.Key) (int, time.Duration) {
	route := o.routes[key.Service]
	if route == nil {
		return 0, 0
	}
	return route.Priority, route.Objective.Duration()
}

func (o *Owner) meanService() time.Duration {
	if o.service == 0 {
		return usualService
	}
	return o.service
}

// pump opens waiting flows while the upstream has room.
func (o *Owner) pump(now time.Time) {
	for o.backlog.Len() > 0 && o.requests < o.limit() {
		if now.Before(o.coldTill) && (o.cfg.Revision == 0 || !o.ramp.admit(now)) {
			return
		}
		w, _ := o.backlog.PopNext(now)
		if reason := o.barred(w.Key, &w.Envelope); reason != "" {
			o.handOn(now, w.Key, &w.Envelope, w.Packet, reason)
			continue
		}
		o.open(now, w.Key, w.Sequence, w.Packet, &w.Envelope)
	}
}

// drainBacklog sends the waiting flows away.
func (o *Owner) drainBacklog(now time.Time, reason Reason) {
	for _, w := range o.backlog.TakeAll() {
		o.handOn(now, w.Key, &w.Envelope, w.Packet, reason)
	}
}
