package steer

import (
	"slices"
	"time"

	"github.com/coriandershift/coriandershift/internal/state/flow"
)

const (
	// maxHoldTime is how long after its start a balancer keeps packets that it cannot
	// route yet: it knows the configuration and the agents within 0.3 s, and
	// callers repeat an opening packet after 0.2 and 0.6 s.
	maxHoldTime = 500 * time.Millisecond

	// maxHeldPackets bounds them; a packet has up to 1.3 KB.
	maxHeldPackets = 512
)

// heldPacket is a packet that waits until it can be routed.
type heldPacket struct {
	key    flow.Key
	packet flow.Packet
}

// hold keeps a packet that came to a balancer which has just started: the fabric
// notices a short end only after two missed probes. It reports whether it did.
func (r *Router) hold(now time.Time, key flow.Key, p *flow.Packet) bool {
	if r.converged || now.Sub(r.started) >= maxHoldTime || len(r.heldPackets) >= maxHeldPackets {
		return false
	}
	kept := *p
	kept.Raw = slices.Clone(p.Raw)
	r.heldPackets = append(r.heldPackets, heldPacket{key: key, packet: kept})
	r.actions = append(r.actions, Action{Kind: Hold, Reason: Starting, Key: key})
	return true
}

// release routes the held packets as soon as it can, or drops them.
func (r *Router) release(now time.Time) {
	if len(r.heldPackets) == 0 || (!r.canPlaceFlows() && now.Sub(r.started) < maxHoldTime) {
		return
	}
	waiting := r.heldPackets
	r.heldPackets = nil
	for i := range waiting {
		r.routeCallerPacket(now, waiting[i].key, &waiting[i].packet)
	}
}

// canPlaceFlows reports whether enough is known for placing new flows: were few of the
// agents known, these would get all flows.
func (r *Router) canPlaceFlows() bool {
	if r.placementReady {
		return true
	}
	known := 0
	for _, e := range r.expected {
		if _, balancer := r.balancers[e]; balancer || r.agents[e] != nil {
			known++
		}
	}
	r.placementReady = r.converged || (r.cfg.Revision > 0 && r.EligibleAgentCount() > 0 && 2*known >= len(r.expected))
	return r.placementReady
}
