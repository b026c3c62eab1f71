package steer

import (
	"slices"
	"time"

	"github.com/coriandershift/coriandershift/internal/coordination/intake"
	"github.com/coriandershift/coriandershift/internal/state/config"
	"github.com/coriandershift/coriandershift/internal/state/flow"
)

// admitToLink reports whether a new flow may be placed now. If the link cannot carry it,
// the flow waits or is refused. Copies of an opening packet are always placed: another
// balancer may have placed the first.
func (r *Router) admitToLink(now time.Time, key flow.Key, p *flow.Packet, route *config.Route) bool {
	if p.SinceFirstSent > 0 {
		r.intake.Observe(now, p, route)
		return true
	}
	switch r.intake.Admit(now, p, route) {
	case intake.Refuse:
		r.refuseForLink(key, route)
		return false
	case intake.Wait:
		stored := *p
		stored.Raw = slices.Clone(p.Raw)
		r.waitingOpens[key] = heldPacket{key: key, packet: stored}
		r.actions = append(r.actions, Action{Kind: Hold, Reason: LinkQueued, Key: key})
		return false
	}
	return true
}

func (r *Router) refuseForLink(key flow.Key, route *config.Route) {
	r.actions = append(r.actions, Action{Kind: Reset, Reason: LinkBusy, Key: key, Priority: route.Priority})
}

// placeWaiting places the waiting flows for which the link has room, and refuses those
// that have waited for too long.
func (r *Router) placeWaiting(now time.Time) {
	for {
		key, verdict, found := r.intake.Next(now)
		if !found {
			return
		}
		held := r.waitingOpens[key]
		delete(r.waitingOpens, key)
		route := r.routes[key.Service]
		if route == nil {
			r.intake.Forget(key)
			r.reject(key, &held.packet, NoRoute)
			continue
		}
		svc := r.services[route.PickService(key.Hash())]
		switch {
		case verdict == intake.Refuse:
			r.refuseForLink(key, route)
		case svc == nil || len(svc.eligible) == 0:
			r.intake.Forget(key)
			r.actions = append(r.actions, Action{Kind: Drop, Reason: NoUpstream, Key: key})
		default:
			r.place(now, key, &held.packet, route, svc)
		}
	}
}

// OutstandingBytes returns how many bytes of unfinished uploads are still expected by the
// priority of their route; nil if the rate of the link is not known.
func (r *Router) OutstandingBytes() map[int]float64 {
	return r.intake.OutstandingBytes()
}
