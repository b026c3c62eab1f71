package steer

import (
	"slices"
	"time"
)

// RecordRunning records that the process was not paused at a time. It is to be called every
// 100 ms or more often.
func (r *Router) RecordRunning(now time.Time) {
	r.dropLateOpenings(now)
	r.pause.Tick(now)
}

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
	r.unrouted = nil
	r.heldPackets = slices.DeleteFunc(r.heldPackets, func(h heldPacket) bool { return h.packet.IsOpening() })
}
