package steer

import (
	"time"
)

// NextTick returns when Tick has something to do, and false if it has nothing.
func (r *Router) NextTick() (time.Time, bool) {
	var due time.Time
	if r.searchesActive || len(r.heldPackets) > 0 {
		due = r.lastTick.Add(queryInterval)
	}
	if len(r.pendingOpens) > 0 {
		if at := r.oldestOpen.Add(r.openTimeout()); due.IsZero() || at.Before(due) {
			due = at
		}
	}
	return due, !due.IsZero()
}

// recordOpenSent keeps oldestOpen before an opening packet that is sent now.
func (r *Router) recordOpenSent(now time.Time) {
	if r.oldestOpen.IsZero() {
		r.oldestOpen = now
	}
}

// Tick tries the next agent for opening packets that were not noted in time,
// and forgets flows that have ended.
func (r *Router) Tick(now time.Time) []Action {
	r.actions = r.actions[:0]
	late := r.tickDelay(now)
	r.lastTick = now
	r.checkConverged(now)
	r.release(now)
	r.advanceSearches(now)
	r.retryOpens(now, late)
	r.sweep(now)
	r.searchesActive = r.searchesNeedTicks()
	return r.actions
}

// retryOpens tries the next agent for opening packets that were not noted in
// time. A late tick gives them as much longer.
func (r *Router) retryOpens(now time.Time, late time.Duration) {
	r.oldestOpen = time.Time{}
	for key, o := range r.pendingOpens {
		if late > 0 {
			o.sentAt = o.sentAt.Add(late)
		} else if now.Sub(o.sentAt) >= r.openTimeout() {
			r.tryNextAgent(now, key, o)
		}
		if r.oldestOpen.IsZero() || o.sentAt.Before(r.oldestOpen) {
			r.oldestOpen = o.sentAt
		}
	}
}

// tickDelay returns by how much this tick is late, 0 if it came in time.
func (r *Router) tickDelay(now time.Time) time.Duration {
	due, waiting := r.NextTick()
	if late := now.Sub(due); waiting && !r.searchesActive && len(r.heldPackets) == 0 && late > lateTickThreshold {
		return late
	}
	return 0
}

func (r *Router) openTimeout() time.Duration {
	return min(max(minOpenTimeout, openTimeoutFactor*r.noticeDelay), maxOpenTimeout)
}

func (r *Router) sweep(now time.Time) {
	if now.Sub(r.lastSweep) < sweepInterval {
		return
	}
	r.lastSweep = now
	r.evictDeadAgents(now)
	for key, s := range r.searches {
		if now.Sub(s.enteredAt) > searchTTL {
			delete(r.searches, key)
		}
	}
	for key, e := range r.flows {
		idle := now.Sub(e.lastActive)
		if idle > r.idleTimeout || (e.closing && idle > closedFlowTTL) {
			delete(r.flows, key)
		}
	}
}
