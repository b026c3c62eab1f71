package flow

import "time"

// UpstreamState is what an upstream says of itself.
type UpstreamState uint8

// The states.
const (
	// Serving upstreams take new flows.
	Serving UpstreamState = 1
	// Draining upstreams keep their flows and take no new ones.
	Draining UpstreamState = 2
)

// Announcement is one heartbeat of an upstream.
type Announcement struct {
	// ID and StartedUnixMilli, the start in Unix milliseconds, together name an incarnation.
	ID               string
	StartedUnixMilli int64

	Service string
	Address Endpoint
	Domain  string
	Version string

	// Slots is how many requests run at once; at least 1.
	Slots int

	State UpstreamState

	// WarmUpLeft is how long the upstream stays cold.
	WarmUpLeft time.Duration

	// Sequence grows with every announcement of an incarnation.
	Sequence uint64
}

// SameIncarnation reports whether both are of one start of an upstream.
func (a *Announcement) SameIncarnation(other *Announcement) bool {
	return a.ID == other.ID && a.StartedUnixMilli == other.StartedUnixMilli
}
