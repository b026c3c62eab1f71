package steer

import (
	"time"

	"github.com/coriandershift/coriandershift/internal/state/config"
	"github.com/coriandershift/coriandershift/internal/state/flow"
)

// refuseForLink reports whether a new flow is refused because the link cannot carry it,
// and resets its caller then. Copies of an opening packet are never refused: another
// balancer may have placed the first.
func (r *Router) refuseForLink(now time.Time, key flow.Key, p *flow.Packet, route *config.Route) bool {
	if p.SinceFirstSent > 0 {
		r.intake.Observe(now, p, route)
		return false
	}
	if r.intake.Admit(now, p, route) {
		return false
	}
	r.actions = append(r.actions, Action{Kind: Reset, Reason: LinkBusy, Key: key, Priority: route.Priority})
	return true
}

// OutstandingBytes returns how many bytes of unfinished uploads are still expected, 0 if
// the rate of the link is not known.
func (r *Router) OutstandingBytes() int {
	return r.intake.OutstandingBytes()
}
