package owner

import (
	"time"

	"github.com/coriandershift/coriandershift/internal/state/flow"
)

// HandleAnnouncement takes an announcement of the upstream. It reports whether it was
// news, and returns what ends with an earlier incarnation.
func (o *Owner) HandleAnnouncement(now time.Time, a flow.Announcement) (bool, []Action) {
	o.actions = o.actions[:0]
	if !o.isNewer(&a) {
		return false, nil
	}

	if o.upstream != nil && !o.upstream.SameIncarnation(&a) {
		o.resetAllFlows(UpstreamGone)
	}
	fresh := o.upstream == nil || !o.upstream.SameIncarnation(&a)
	if fresh {
		o.mayHoldEarlierFlows = o.departed == nil && o.upstream == nil && a.Sequence > maxNewSequence
		o.ramp.fill(now)
		o.failedOpenings = 0
	}
	// One more opening packet tries a silent upstream that still announces itself.
	o.failedOpenings = min(o.failedOpenings, silentThreshold-1)
	o.upstream = &a
	o.notListening = false
	o.lastAnnouncementAt = now
	o.coldUntil = now.Add(a.WarmUpLeft)
	if a.State != flow.Serving {
		o.forwardWaiting(now, UpstreamDraining)
	}
	return true, o.actions
}

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

// HandleDeparture takes the upstream's goodbye.
func (o *Owner) HandleDeparture(id string) {
	if o.upstream != nil && o.upstream.ID == id {
		o.departed = o.upstream
		o.upstream = nil
	}
}

// HandleUpstreamGone takes the news that nothing listens at the upstream's address any more.
func (o *Owner) HandleUpstreamGone() []Action {
	o.actions = o.actions[:0]
	o.notListening = true
	o.upstream = nil
	o.resetAllFlows(UpstreamGone)
	return o.actions
}

// resetAllFlows ends all flows with their upstream. Those that are not open here may be
// open at another one.
func (o *Owner) resetAllFlows(reason Reason) {
	for key, e := range o.flows {
		open := e.open && !e.closed()
		o.removeFlow(key, e)
		if open {
			o.resetCaller(key, e.callerAck, reason)
		}
	}
}

// Accepting reports whether the upstream takes new flows now, so that balancers
// need not ask.
func (o *Owner) Accepting() bool {
	return o.upstream != nil && o.upstream.State == flow.Serving && !o.domainOut && !o.stopping && o.failedOpenings < silentThreshold
}

// announcementOverdue reports whether the upstream stopped announcing itself.
func (o *Owner) announcementOverdue(now time.Time) bool {
	return o.upstream != nil && now.Sub(o.lastAnnouncementAt) > announcementTimeout
}

// UpstreamSuspected reports whether the upstream may have ended without a word: it leaves
// opening packets unanswered, or has not announced itself since the agent's start.
func (o *Owner) UpstreamSuspected(now time.Time) bool {
	if o.upstream == nil {
		return !o.notListening && o.departed == nil && now.Sub(o.startedAt) > firstAnnouncementTimeout
	}
	return o.failedOpenings >= silentThreshold
}

// NoFlows reports whether the upstream is surely gone, and its flows with it.
func (o *Owner) NoFlows() bool {
	return o.upstream == nil && (o.departed != nil || o.notListening)
}

// Upstream returns the upstream's last announcement, or nil.
func (o *Owner) Upstream() *flow.Announcement {
	return o.upstream
}

// slots returns how many requests the upstream runs at once.
func (o *Owner) slots() int {
	if o.upstream == nil {
		return 1
	}
	return max(1, o.upstream.Slots)
}
