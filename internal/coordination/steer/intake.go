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

// maybeCopied reports whether another balancer may have got a copy of the opening packet
// of a new flow. A first packet may have been repeated if it waited in this process's
// socket or took long to arrive, which matters for flows that the link may not carry.
func (r *Router) maybeCopied(now time.Time, p *flow.Packet) bool {
	return p.SinceFirstSent > 0 || r.intake.IsHeavy(p.Destination) && (r.ticksLate(now) || !r.mayRefuse(now, 0))
}

// admitToLink reports whether a new flow may be placed now. If the link cannot carry it,
// the flow waits or is refused, or dropped if another balancer may have placed it. The
// packet must be the first, or a copy of one that was dropped here: other copies are
// always placed.
func (r *Router) admitToLink(now time.Time, key flow.Key, p *flow.Packet, route *config.Route, maybeCopied bool) bool {
	switch r.intake.Admit(now, p, route) {
	case intake.Refuse:
		if maybeCopied {
			r.dropForLink(now, key, p)
			return false
		}
		r.refuseForLink(now, key, p, route.Priority)
		return false
	case intake.Wait:
		stored := *p
		stored.Raw = slices.Clone(p.Raw)
		r.waitingOpens[key] = heldPacket{key: key, packet: stored, heldAt: now, maybeCopied: maybeCopied}
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
		if age >= callerOpenTimeout {
			r.intake.Forget(key)
			r.actions = append(r.actions, Action{Kind: Drop, Reason: Resuming, Key: key})
			continue
		}
		route := r.routes[key.Service]
		if route == nil {
			r.intake.Forget(key)
			r.reject(key, &held.packet, NoRoute)
			continue
		}
		service := route.PickService(key.Hash())
		switch {
		case verdict == intake.Refuse && (held.maybeCopied || !r.mayRefuse(now, 0)):
			r.dropForLink(now, key, &held.packet)
		case verdict == intake.Refuse && r.mayRefuse(now, age):
			r.refuseForLink(now, key, &held.packet, route.Priority)
		case !r.fleet.HasEligible(service):
			r.intake.Forget(key)
			r.actions = append(r.actions, Action{Kind: Drop, Reason: NoUpstream, Key: key})
		default:
			if verdict == intake.Refuse {
				r.intake.Observe(now, &held.packet, route)
			}
			r.place(now, key, &held.packet, route, service, verdict == intake.Refuse || held.maybeCopied || held.packet.SinceFirstSent > 0)
		}
	}
}

// mayRefuse reports whether a flow may be refused at a time after its arrival. Later, a copy
// of its opening packet may have opened it through another balancer. The packet took about
// as long to arrive as a notice does, and any time if the link is slow.
func (r *Router) mayRefuse(now time.Time, age time.Duration) bool {
	return age+r.noticeDelay <= firstCopyDelay-refusalMargin && !r.linkSlow(now)
}

// OutstandingBytes returns how many bytes of unfinished uploads are still expected by the
// priority of their route; nil if the rate of the link is not known.
func (r *Router) OutstandingBytes() map[int]float64 {
	return r.intake.OutstandingBytes()
}
