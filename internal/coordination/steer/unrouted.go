package steer

import (
	"slices"
	"time"

	"github.com/coriandershift/coriandershift/internal/state/config"
	"github.com/coriandershift/coriandershift/internal/state/flow"
)

const (
	// routeTimeout is the time since it was first sent for which an opening packet waits for
	// a route. It is little more than the age of a caller's last copy, so that a packet that
	// waited is no later than that one.
	routeTimeout = 800 * time.Millisecond

	// maxUnrouted limits the waiting opening packets, of up to 1.3 KB each.
	maxUnrouted = 512
)

// routeOf returns the route of an address. It has no services if this balancer has none:
// the route was dropped, or the configuration that adds it has not arrived yet.
func (r *Router) routeOf(address flow.Endpoint) *config.Route {
	if route := r.routes[address]; route != nil {
		return route
	}
	return &config.Route{Address: address.AddrPort()}
}

// awaitRoute keeps the opening packet of a flow to an address without a route until a
// configuration has one: callers use a route as soon as its change is acknowledged, before the
// change has reached all balancers. The packet is refused at once if the route was dropped.
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
// drops those that have waited for too long. Another balancer may have placed them.
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
	return h.heldAt.Add(routeTimeout - h.packet.SinceFirstSent)
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
