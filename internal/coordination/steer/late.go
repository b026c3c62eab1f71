package steer

import (
	"slices"
	"time"
)

// dropLateOpenings forgets the opening packets that are kept here if this process was paused
// until now. Their callers have given up, or have opened the flow through another balancer.
func (r *Router) dropLateOpenings(now time.Time) {
	if !r.pause.Resumed(now) {
		return
	}
	for key, o := range r.pendingOpens {
		if now.Sub(o.placedAt) >= callerOpenTimeout {
			r.endOpening(key)
		}
	}
	r.heldPackets = slices.DeleteFunc(r.heldPackets, func(h heldPacket) bool { return h.packet.IsOpening() })
}
