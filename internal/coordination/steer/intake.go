package steer

import (
	"slices"
	"time"

	"github.com/coriandershift/coriandershift/internal/coordination/intake"
	"github.com/coriandershift/coriandershift/internal/state/config"
	"github.com/coriandershift/coriandershift/internal/state/flow"
)

const (
	// firstCopyDelay is the time after which callers repeat an opening packet.
	firstCopyDelay = 200 * time.Millisecond

	// refusalMargin is the part of firstCopyDelay that is left for the way of a refusal to
	// its caller and for the delay of a tick that is not late.
	refusalMargin = 20 * time.Millisecond
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
		r.refuseForLink(now, key, p, route.Priority)
		return false
	case intake.Wait:
		stored := *p
		stored.Raw = slices.Clone(p.Raw)
		r.waitingOpens[key] = heldPacket{key: key, packet: stored, heldAt: now}
		r.actions = append(r.actions, Action{Kind: Hold, Reason: LinkQueued, Key: key})
		return false
	}
	return true
}

// placeWaiting places the waiting flows for which the link has room, and refuses those
// that have waited for too long. Those that are too old for a refusal are placed as copies.
func (r *Router) placeWaiting(now time.Time) {
	for {
		key, verdict, found := r.intake.Next(now)
		if !found {
			return
		}
		held := r.waitingOpens[key]
		delete(r.waitingOpens, key)
		age := held.markCopy(now)
		route := r.routes[key.Service]
		if route == nil {
			r.intake.Forget(key)
			r.reject(key, &held.packet, NoRoute)
			continue
		}
		svc := r.services[route.PickService(key.Hash())]
		switch {
		case verdict == intake.Refuse && age <= r.maxRefusalAge():
			r.refuseForLink(now, key, &held.packet, route.Priority)
		case svc == nil || len(svc.eligible) == 0:
			r.intake.Forget(key)
			r.actions = append(r.actions, Action{Kind: Drop, Reason: NoUpstream, Key: key})
		default:
			if verdict == intake.Refuse {
				held.packet.SinceFirstSent = max(held.packet.SinceFirstSent, age)
				r.intake.Observe(now, &held.packet, route)
			}
			r.place(now, key, &held.packet, route, svc)
		}
	}
}

// maxRefusalAge returns the time after its arrival for which a flow may be refused. Later,
// a copy of its opening packet may have opened it through another balancer. The packet took
// about as long to arrive as a notice does.
func (r *Router) maxRefusalAge() time.Duration {
	return firstCopyDelay - refusalMargin - r.noticeDelay
}

// OutstandingBytes returns how many bytes of unfinished uploads are still expected by the
// priority of their route; nil if the rate of the link is not known.
func (r *Router) OutstandingBytes() map[int]float64 {
	return r.intake.OutstandingBytes()
}
