package steer

import (
	"slices"
	"time"

	"github.com/coriandershift/coriandershift/internal/state/flow"
)

const (
	// maxHoldTime is the time after a balancer's start in which it holds packets
	// that it cannot route yet. The configuration and the agents are known within
	// 0.3 s, and callers retransmit an opening packet after 0.2 and 0.6 s.
	maxHoldTime = 500 * time.Millisecond

	// holdTickInterval is the time between two ticks while packets are held.
	holdTickInterval = 50 * time.Millisecond

	// maxHeldPackets limits the held packets, of up to 1.3 KB each.
	maxHeldPackets = 512

	// copyDelay is the time after its arrival from which a held opening packet may have a
	// copy at another balancer: callers repeat it 200 ms after they sent it, and it may have
	// waited at the link for half of that.
	copyDelay = 100 * time.Millisecond
)

// heldPacket is a packet that is kept until it can be routed. It owns its Raw bytes.
type heldPacket struct {
	key    flow.Key
	packet flow.Packet
	heldAt time.Time

	// maybeCopied says that another balancer may have got a copy before the packet came here.
	maybeCopied bool
}

// hold stores a copy of a packet that arrived just after the start, and reports
// whether it did. The fabric keeps delivering to a balancer that restarts quickly,
// because it notices an outage only after two missed probes.
func (r *Router) hold(now time.Time, key flow.Key, p *flow.Packet) bool {
	if r.members.Converged() || now.Sub(r.started) >= maxHoldTime || len(r.heldPackets) >= maxHeldPackets {
		return false
	}
	stored := *p
	stored.Raw = slices.Clone(p.Raw)
	r.heldPackets = append(r.heldPackets, heldPacket{key: key, packet: stored, heldAt: now})
	r.actions = append(r.actions, Action{Kind: Hold, Reason: Starting, Key: key})
	return true
}

// RouteHeld routes the held packets if enough members and the configuration are known by
// now. The actions are valid until the next call of a method that returns actions.
func (r *Router) RouteHeld(now time.Time) []Action {
	r.actions = r.actions[:0]
	r.routeHeld(now)
	r.routeUnrouted(now)
	return r.actions
}

// routeHeld routes the held packets once new flows can be placed, at the latest
// maxHoldTime after the start. Those that cannot be routed then are dropped or reset.
func (r *Router) routeHeld(now time.Time) {
	if len(r.heldPackets) == 0 || (!r.canPlaceFlows() && now.Sub(r.started) < maxHoldTime) {
		return
	}
	packets := r.heldPackets
	r.heldPackets = nil
	for i := range packets {
		packets[i].markCopy(now)
		r.routeCallerPacket(now, packets[i].key, &packets[i].packet)
	}
}

// markCopy marks an opening packet that was held for so long that it may have a copy at
// another balancer, and returns for how long a packet was held.
func (h *heldPacket) markCopy(now time.Time) time.Duration {
	age := now.Sub(h.heldAt)
	if age >= copyDelay && h.packet.IsOpening() {
		h.packet.SinceFirstSent = max(h.packet.SinceFirstSent, age)
	}
	return age
}

// canPlaceFlows reports whether enough is known for placing new flows: the
// configuration, an eligible agent and at least half of the expected members. If only
// a few agents were known, they would get all flows. Once true, it stays true.
func (r *Router) canPlaceFlows() bool {
	if r.placementReady {
		return true
	}
	r.placementReady = r.members.Converged() || (r.cfg.Revision > 0 && r.EligibleAgentCount() > 0 && r.members.MostAreKnown())
	return r.placementReady
}
