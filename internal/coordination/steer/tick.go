package steer

import (
	"cmp"
	"slices"
	"time"

	"github.com/coriandershift/coriandershift/internal/state/flow"
)

// NextTick returns when Tick is due, and false if nothing is pending.
func (r *Router) NextTick() (time.Time, bool) {
	due, _ := r.seeker.NextTick()
	if at := r.lastTick.Add(holdTickInterval); len(r.heldPackets) > 0 && (due.IsZero() || at.Before(due)) {
		due = at
	}
	if at, pending := r.nextRouteDeadline(); pending && (due.IsZero() || at.Before(due)) {
		due = at
	}
	if at, pending := r.nextOpenDue(); pending && (due.IsZero() || at.Before(due)) {
		due = at
	}
	return due, !due.IsZero()
}

// nextOpenDue returns when Tick is due for an opening packet that has no notice or waits
// for the link, and false if there is none.
func (r *Router) nextOpenDue() (time.Time, bool) {
	due, pending := r.intake.NextDue()
	if len(r.pendingOpens) > 0 {
		if at := r.oldestOpen.Add(r.openTimeout()); !pending || at.Before(due) {
			due, pending = at, true
		}
	}
	return due, pending
}

// recordOpenSent updates oldestOpen for an opening packet that is sent now.
func (r *Router) recordOpenSent(now time.Time) {
	if r.oldestOpen.IsZero() || len(r.pendingOpens) == 0 {
		r.oldestOpen = now
	}
}

// Tick does what is due: it checks for convergence, routes held packets, advances
// searches, sends opening packets without a notice to the next agent and removes
// expired cache entries. The actions are valid until the next call of a method that
// returns actions.
func (r *Router) Tick(now time.Time) []Action {
	r.actions = r.actions[:0]
	r.dropLateOpenings(now)
	delay := r.tickDelay(now)
	if r.isTickOverdue(now) {
		r.lateTickAt = now
	}
	r.lastTick = now
	r.probeAbsent(now)
	r.checkConverged(now)
	r.routeHeld(now)
	r.routeUnrouted(now)
	r.placeWaiting(now)
	r.performSearch(now, r.seeker.Tick(now))
	r.retryOpens(now, delay)
	r.sweep(now)
	return r.actions
}

// retryOpens sends opening packets to the next agent if no notice came in time. A
// late tick extends their timeout by its delay.
func (r *Router) retryOpens(now time.Time, delay time.Duration) {
	var silent []flow.Key
	for key, o := range r.pendingOpens {
		if delay > 0 {
			o.sentAt, o.placedAt = o.sentAt.Add(delay), o.placedAt.Add(delay)
		} else if now.Sub(o.sentAt) >= r.openTimeout() {
			silent = append(silent, key)
		}
	}
	slices.SortFunc(silent, func(a, b flow.Key) int { return cmp.Compare(a.Hash(), b.Hash()) })
	for _, key := range silent {
		r.handleSilence(now, key, r.pendingOpens[key])
	}

	r.oldestOpen = time.Time{}
	for _, o := range r.pendingOpens {
		if r.oldestOpen.IsZero() || o.sentAt.Before(r.oldestOpen) {
			r.oldestOpen = o.sentAt
		}
	}
}

// tickDelay returns the delay of this tick if it exceeds lateTickThreshold, otherwise
// 0. It is 0, too, while searches or held packets need ticks.
func (r *Router) tickDelay(now time.Time) time.Duration {
	due, pending := r.NextTick()
	if delay := now.Sub(due); pending && !r.seeker.Active() && len(r.heldPackets) == 0 && delay > lateTickThreshold {
		return delay
	}
	return 0
}

// isTickOverdue reports whether a tick for opening packets should have happened more than
// lateTickThreshold ago.
func (r *Router) isTickOverdue(now time.Time) bool {
	due, pending := r.nextOpenDue()
	return pending && now.Sub(due) > lateTickThreshold
}

// ticksLate reports whether this process lacks processor time or did so just now, so that
// packets may have waited in its socket.
func (r *Router) ticksLate(now time.Time) bool {
	return now.Sub(r.lateTickAt) < lateTickPeriod || r.isTickOverdue(now)
}

func (r *Router) openTimeout() time.Duration {
	return min(max(minOpenTimeout, openTimeoutFactor*r.noticeDelay), maxOpenTimeout)
}

// sweep removes expired agents, searches and flows, at most once per sweepInterval.
func (r *Router) sweep(now time.Time) {
	if now.Sub(r.lastSweep) < sweepInterval {
		return
	}
	r.lastSweep = now
	r.fleet.Evict(now)
	r.seeker.Sweep(now)
	for key, e := range r.flows {
		idle := now.Sub(e.lastActive)
		if idle > r.idleTimeout || (e.closing && idle > closedFlowTTL) {
			delete(r.flows, key)
		}
	}
}
