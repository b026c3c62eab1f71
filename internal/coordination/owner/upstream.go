package owner

import (
	"time"

	"github.com/coriandershift/coriandershift/internal/state/flow"
)

// HandleAnnouncement takes an announcement of the upstream. It reports whether it was
// news, and returns what ends with an earlier incarnation.
func (o *Owner) HandleAnnouncement(now time.Time, a flow.Announcement) (bool, []Action) {
	o.actions = o.actions[:0]
	if !o.newer(&a) {
		return false, nil
	}

	if o.upstream != nil && !o.upstream.SameIncarnation(&a) {
		o.endAll(UpstreamGone)
	}
	fresh := o.upstream == nil || !o.upstream.SameIncarnation(&a)
	if fresh {
		o.mayOffer = o.gone == nil && o.upstream == nil && a.Sequence > freshSequence
		o.ramp.fresh(now)
		o.unheard = 0
	}
	// One more opening packet tries a silent upstream that still announces itself.
	o.unheard = min(o.unheard, silentAfter-1)
	o.upstream = &a
	o.absent = false
	o.heardAt = now
	o.coldTill = now.Add(a.WarmUpLeft)
	if a.State != flow.Serving {
		o.drainBacklog(now, UpstreamDraining)
	}
	return true, o.actions
}

func (o *Owner) newer(a *flow.Announcement) bool {
	if o.gone != nil && o.gone.SameIncarnation(a) {
		return false
	}
	if o.upstream == nil {
		return o.gone == nil || a.StartedUnixMilli >= o.gone.StartedUnixMilli
	}
	if o.upstream.SameIncarnation(a) {
		return a.Sequence > o.upstream.Sequence
	}
	return a.StartedUnixMilli > o.upstream.StartedUnixMilli
}

// HandleDeparture takes the upstream's goodbye.
func (o *Owner) HandleDeparture(id string) {
	if o.upstream != nil && o.upstream.ID == id {
		o.gone = o.upstream
		o.upstream = nil
	}
}

// HandleUpstreamGone takes the news that nothing listens at the upstream's address any more.
func (o *Owner) HandleUpstreamGone() []Action {
	o.actions = o.actions[:0]
	o.absent = true
	o.upstream = nil
	o.endAll(UpstreamGone)
	return o.actions
}

// endAll ends all flows with their upstream. Those that are not open here may be
// open at another one.
func (o *Owner) endAll(reason Reason) {
	for key, e := range o.flows {
		open := e.open && !e.closed()
		o.end(key, e)
		if open {
			o.resetCaller(key, e.callerAck, reason)
		}
	}
}

// Accepting reports whether the upstream takes new flows now, so that balancers
// need not ask.
func (o *Owner) Accepting() bool {
	return o.upstream != nil && o.upstream.State == flow.Serving && !o.out && !o.stopping && o.unheard < silentAfter
}

// lapsed reports whether the upstream stopped announcing itself.
func (o *Owner) lapsed(now time.Time) bool {
	return o.upstream != nil && now.Sub(o.heardAt) > lapseAfter
}

// UpstreamSuspected reports whether the upstream may have ended without a word: it leaves
// opening packets unanswered, or has not announced itself since the agent's start.
func (o *Owner) UpstreamSuspected(now time.Time) bool {
	if o.upstream == nil {
		return !o.absent && o.gone == nil && now.Sub(o.started) > firstAnnouncement
	}
	return o.unheard >= silentAfter
}

// NoFlows reports whether the upstream is surely gone, and its flows with it.
func (o *Owner) NoFlows() bool {
	return o.upstream == nil && (o.gone != nil || o.absent)
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
