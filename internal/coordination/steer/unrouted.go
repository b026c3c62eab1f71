package steer

import (
	"slices"
	"time"

	"github.com/coriandershift/coriandershift/internal/state/config"
	"github.com/coriandershift/coriandershift/internal/state/flow"
)

const (
	// routeTimeout is the time for which an opening packet to an address without a route
	// waits for a configuration that has one. Callers use a route as soon as its change is
	// acknowledged; most balancers have the change within this time.
	routeTimeout = 400 * time.Millisecond

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
// configuration has one. It is refused at once if the route was dropped.
func (r *Router) awaitRoute(now time.Time, key flow.Key, p *flow.Packet) {
	isDropped := r.fleet.WasDropped(key.Service) && r.latestRevision <= r.cfg.Revision
	if isDropped || r.cfg.Revision == 0 || len(r.unrouted) >= maxUnrouted {
		r.reject(key, p, NoRoute)
		return
	}
	if slices.ContainsFunc(r.unrouted, func(h heldPacket) bool { return h.key == key }) {
		return
	}
	stored := *p
	stored.Raw = slices.Clone(p.Raw)
	r.unrouted = append(r.unrouted, heldPacket{key: key, packet: stored, heldAt: now, maybeCopied: p.SinceFirstSent > 0})
	r.actions = append(r.actions, Action{Kind: Hold, Reason: RouteUnknown, Key: key})
}

// routeUnrouted routes the waiting opening packets whose address has a route by now, and
// refuses those whose time is over. One that another balancer may have placed is dropped
// instead, once its caller has given up.
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
		case h.maybeCopied:
			r.actions = append(r.actions, Action{Kind: Drop, Reason: NoRoute, Key: h.key})
		default:
			r.reject(h.key, &h.packet, NoRoute)
		}
	}
}

// routeDeadline returns until when a packet waits for a route.
func (h *heldPacket) routeDeadline() time.Time {
	if h.maybeCopied {
		return h.heldAt.Add(callerOpenTimeout - h.packet.SinceFirstSent)
	}
	return h.heldAt.Add(routeTimeout)
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
