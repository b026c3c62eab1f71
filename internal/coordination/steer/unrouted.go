package steer

import (
	"slices"
	"time"

	"github.com/coriandershift/coriandershift/internal/state/config"
	"github.com/coriandershift/coriandershift/internal/state/flow"
)

// maxUnrouted limits the opening packets that wait for a route, of up to 1.3 KB each.
const maxUnrouted = 512

// routeOf returns the route of an address. It has no services if this balancer has none:
// the route was dropped, or the configuration that adds it has not arrived yet.
func (r *Router) routeOf(address flow.Endpoint) *config.Route {
	if route := r.routes[address]; route != nil {
		return route
	}
	return &config.Route{Address: address.AddrPort()}
}

// awaitRoute keeps the opening packet of a flow to an address without a route until a
// configuration has one or its caller gives up: callers use a route as soon as its change is
// acknowledged, and in a large fleet the change takes a second to arrive. The packet is
// refused at once if the route was dropped.
func (r *Router) awaitRoute(now time.Time, key flow.Key, p *flow.Packet) {
	isDropped := r.fleet.WasDropped(key.Service) && r.latestRevision <= r.cfg.Revision
	switch {
	case r.cfg.Revision == 0, isDropped, len(r.unrouted) >= maxUnrouted:
		r.refuseUnrouted(key, p)
		return
	case slices.ContainsFunc(r.unrouted, func(h heldPacket) bool { return h.key == key }):
		return
	}
	stored := *p
	stored.Raw = slices.Clone(p.Raw)
	r.unrouted = append(r.unrouted, heldPacket{key: key, packet: stored, heldAt: now})
	r.actions = append(r.actions, Action{Kind: Hold, Reason: RouteUnknown, Key: key})
}

// refuseUnrouted refuses a flow, unless another balancer may have placed it.
func (r *Router) refuseUnrouted(key flow.Key, p *flow.Packet) {
	if p.SinceFirstSent > 0 {
		r.actions = append(r.actions, Action{Kind: Drop, Reason: NoRoute, Key: key})
		return
	}
	r.reject(key, p, NoRoute)
}

// routeUnrouted routes the waiting opening packets whose address has a route by now, and
// drops those whose callers have given up.
func (r *Router) routeUnrouted(now time.Time) {
	waiting := r.unrouted
	r.unrouted = nil
	for i := range waiting {
		h := &waiting[i]
		switch {
		case r.routes[h.key.Service] != nil:
			h.markCopy(now)
			r.routeCallerPacket(now, h.key, &h.packet)
		case now.Before(h.routeDeadline()):
			r.unrouted = append(r.unrouted, *h)
		default:
			r.actions = append(r.actions, Action{Kind: Drop, Reason: NoRoute, Key: h.key})
		}
	}
}

// routeDeadline returns until when an opening packet waits for a route.
func (h *heldPacket) routeDeadline() time.Time {
	return h.heldAt.Add(callerOpenTimeout - h.packet.SinceFirstSent)
}

// nextRouteDeadline returns when the first of the packets that wait for a route has waited
// for long enough, and false if there is none.
func (r *Router) nextRouteDeadline() (time.Time, bool) {
	if len(r.unrouted) == 0 {
		return time.Time{}, false
	}
	first := slices.MinFunc(r.unrouted, func(a, b heldPacket) int { return a.routeDeadline().Compare(b.routeDeadline()) })
	return first.routeDeadline(), true
}
