package steer

import (
	"time"

	"github.com/coriandershift/coriandershift/internal/state/flow"
)

// callerOpenTimeout is the time after which callers give up a flow that is not open.
const callerOpenTimeout = 1400 * time.Millisecond

// handleSilence handles an opening packet for which its agent sent no notice in time.
// It goes to the next agent unless the link is the likely cause: then the agent has the
// flow, and a copy would open it a second time. The caller repeats the packet if it is lost.
// An opening that waited for the link or the budget until its caller gave up is dropped.
func (r *Router) handleSilence(now time.Time, key flow.Key, o *pendingOpen) {
	o.late = true
	a := r.fleet.Agent(o.agent)
	if a != nil {
		a.MissedNoticeAt = now
	}
	callerLeft := r.linkRate > 0 && now.Sub(o.placedAt) >= callerOpenTimeout
	if r.linkSlow(now) && !callerLeft {
		o.sentAt = now
		return
	}
	if a != nil && !o.counted {
		a.RecordMissedNotice(now)
		o.counted = true
	}
	if callerLeft {
		r.endOpening(key)
		return
	}
	r.tryNextAgent(now, key, o)
}

// endOpening forgets a new flow of which no agent has sent a notice.
func (r *Router) endOpening(key flow.Key) {
	delete(r.pendingOpens, key)
	delete(r.flows, key)
}
