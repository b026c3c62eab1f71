package owner

import (
	"time"

	"github.com/coriandershift/coriandershift/internal/state/flow"
)

// HandleAnnouncement handles an announcement of the upstream and reports whether it is
// newer than the last one; an older one has no effect. A new incarnation resets the
// flows of an earlier one that did not announce its departure, but not those that it has
// got itself before its first announcement. Waiting flows of an
// upstream that drains are forwarded or refused. The actions are valid until the next call.
func (o *Owner) HandleAnnouncement(now time.Time, a flow.Announcement) (bool, []Action) {
	o.actions = o.actions[:0]
	if o.revokesDeparture(now, &a) {
		o.upstream, o.departed = o.departed, nil
	}
	if !o.isNewer(&a) && !o.succeedsSilent(now, &a) {
		return false, nil
	}

	if o.upstream != nil && !o.upstream.SameIncarnation(&a) {
		o.resetFlowsBefore(o.firstFlowOf(now, &a))
	}
	newIncarnation := o.upstream == nil || !o.upstream.SameIncarnation(&a)
	if newIncarnation {
		o.mayHoldEarlierFlows = !o.knowsFromStart(now, &a)
		o.ramp.fill(now)
		o.failedOpenings = 0
	}
	// A silent upstream that still announces itself gets one more opening packet as a trial.
	o.failedOpenings = min(o.failedOpenings, silentThreshold-1)
	o.upstream, o.ignored = &a, nil
	o.notListening = false
	o.lastAnnouncementAt = now
	o.coldUntil = now.Add(a.WarmUpLeft)
	if newIncarnation && o.mayHoldEarlierFlows && now.Sub(o.startedAt) < offerPeriod {
		// The announcement may be a late one of an incarnation that has crashed.
		o.coldUntil = now.Add(max(a.WarmUpLeft, firstAnnouncementTimeout))
	}
	if a.State != flow.Serving {
		o.forwardWaiting(now, UpstreamDraining)
	}
	return true, o.actions
}

// knowsFromStart reports whether this agent has certainly seen all flows of an upstream of
// which it first hears now: it is older than the upstream, or no earlier process can have
// handled an announcement. A low sequence number alone does not prove that, nor does an
// earlier incarnation that announced itself here: its announcement may have been late.
func (o *Owner) knowsFromStart(now time.Time, a *flow.Announcement) bool {
	start, known := o.startOf(now, a)
	isOlder := !start.Before(o.startedAt.Truncate(time.Millisecond))
	return known && a.Sequence <= maxNewSequence && (isOlder || now.Sub(start) < minAnnouncementInterval)
}

// startOf returns when an upstream started. It reports false if that is not known: the
// upstream does not tell, or the time of day was set since.
func (o *Owner) startOf(now time.Time, a *flow.Announcement) (time.Time, bool) {
	age := time.Duration(now.UnixMilli()-a.StartedUnixMilli) * time.Millisecond
	adjusted := now.Round(0).Sub(o.startedAt.Round(0)) - now.Sub(o.startedAt)
	if a.StartedUnixMilli == 0 || age < 0 || adjusted.Abs() > clockTolerance {
		return time.Time{}, false
	}
	return now.Add(-age), true
}

// isNewer reports whether an announcement is newer than all before: a late one may
// still arrive after the upstream's departure or its next incarnation.
func (o *Owner) isNewer(a *flow.Announcement) bool {
	if o.departed != nil && o.departed.SameIncarnation(a) {
		return false
	}
	if o.upstream == nil {
		return o.departed == nil || a.StartedUnixMilli >= o.departed.StartedUnixMilli
	}
	if o.upstream.SameIncarnation(a) {
		return a.Sequence > o.upstream.Sequence
	}
	return a.StartedUnixMilli > o.upstream.StartedUnixMilli
}

// succeedsSilent reports whether an announcement is of the present incarnation although its
// start seems to be before that of the known one, as after the time of day was set back: the
// known one is silent, and two consecutive announcements came of the other, which late ones
// of an earlier incarnation seldom do.
func (o *Owner) succeedsSilent(now time.Time, a *flow.Announcement) bool {
	if o.upstream == nil || o.upstream.SameIncarnation(a) || !o.announcementOverdue(now) {
		return false
	}
	previous := o.ignored
	o.ignored = a
	return previous != nil && previous.SameIncarnation(a) && a.Sequence > previous.Sequence
}

// HandleDeparture handles the message by which the upstream with the given ID announces
// that it ends. The message may be late and stem from an earlier incarnation of that ID, so
// an upstream that has not announced before that it drains may live on.
func (o *Owner) HandleDeparture(now time.Time, id string) {
	if o.upstream != nil && o.upstream.ID == id {
		o.departed, o.departedAt = o.upstream, now
		o.departureDoubtful = o.upstream.State == flow.Serving
		o.upstream = nil
	}
}

// lateCallPeriod is the time after an upstream's departure in which its earlier
// announcements may still arrive. They wait for an answer for a second.
const lateCallPeriod = 1500 * time.Millisecond

// revokesDeparture reports whether an announcement shows that the upstream which has
// departed lives on.
func (o *Owner) revokesDeparture(now time.Time, a *flow.Announcement) bool {
	return o.upstream == nil && o.departed != nil && o.departureDoubtful &&
		o.departed.SameIncarnation(a) && a.Sequence > o.departed.Sequence && now.Sub(o.departedAt) > lateCallPeriod
}

// firstFlowOf returns the earliest time at which an upstream can have got a flow: its
// start, or the last announcement of its predecessor if the start is not known.
func (o *Owner) firstFlowOf(now time.Time, a *flow.Announcement) time.Time {
	if start, known := o.startOf(now, a); known {
		return start
	}
	return o.lastAnnouncementAt
}

// resetFlowsBefore removes the flows that were opened before a time, at an upstream that is
// gone, and resets the callers of those that are open here.
func (o *Owner) resetFlowsBefore(at time.Time) {
	for key, e := range o.flows {
		if e.openedAt.Before(at) {
			o.resetFlow(key, e, UpstreamGone)
		}
	}
}

// HandleUpstreamGone is called when nothing listens at the upstream's address any more.
// It resets the open flows. The actions are valid until the next call.
func (o *Owner) HandleUpstreamGone() []Action {
	o.actions = o.actions[:0]
	o.notListening = true
	o.upstream = nil
	o.resetAllFlows(UpstreamGone)
	return o.actions
}

// resetAllFlows removes all flows and resets the callers of those that are open here.
// The others may be open at another upstream.
func (o *Owner) resetAllFlows(reason Reason) {
	for key, e := range o.flows {
		o.resetFlow(key, e, reason)
	}
}

func (o *Owner) resetFlow(key flow.Key, e *entry, reason Reason) {
	open := e.open && !e.closed()
	o.removeFlow(key, e)
	if open {
		o.resetCaller(key, e.callerAck, reason)
	}
}

// Accepting reports whether the upstream takes new flows now. Balancers are told, so
// that they need not try an agent that would refuse.
func (o *Owner) Accepting() bool {
	return o.upstream != nil && o.upstream.State == flow.Serving && !o.domainOut && !o.stopping && o.failedOpenings < silentThreshold
}

func (o *Owner) announcementOverdue(now time.Time) bool {
	return o.upstream != nil && now.Sub(o.lastAnnouncementAt) > announcementTimeout
}

// UpstreamSuspected reports whether the upstream may have ended without announcing its
// departure: it is silent, or has not announced itself since the agent's start. It also
// reports true while a departure is doubtful.
func (o *Owner) UpstreamSuspected(now time.Time) bool {
	switch {
	case o.upstream != nil:
		return o.failedOpenings >= silentThreshold
	case o.notListening:
		return false
	case o.departed != nil:
		return o.departureDoubtful
	}
	return now.Sub(o.startedAt) > firstAnnouncementTimeout
}

// NoFlows reports whether the upstream is certain to have ended, and its flows with it.
func (o *Owner) NoFlows() bool {
	return o.upstream == nil && (o.notListening || (o.departed != nil && !o.departureDoubtful))
}

// Upstream returns the upstream's last announcement, or nil.
func (o *Owner) Upstream() *flow.Announcement {
	return o.upstream
}

// slots returns how many requests the upstream runs at once, at least 1.
func (o *Owner) slots() int {
	if o.upstream == nil {
		return 1
	}
	return max(1, o.upstream.Slots)
}
