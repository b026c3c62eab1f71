package flow

import "time"

// UpstreamState is the state that an upstream reports for itself.
type UpstreamState uint8

// The states.
const (
	// Serving upstreams accept new flows.
	Serving UpstreamState = 1
	// Draining upstreams keep their flows and accept no new ones.
	Draining UpstreamState = 2
)

// Announcement is one heartbeat of an upstream.
type Announcement struct {
	// ID and StartedUnixMilli, the start time in Unix milliseconds, together identify an incarnation.
	ID               string
	StartedUnixMilli int64

	Service string
	Address Endpoint
	Domain  string
	Version string

	// Slots is the number of requests that the upstream runs at once; at least 1.
	Slots int

	State UpstreamState

	// WarmUpLeft is the remaining time for which the upstream is cold.
	WarmUpLeft time.Duration

	// Sequence increases with every announcement of an incarnation.
	Sequence uint64
}

// SameIncarnation reports whether both announcements come from the same incarnation of an upstream.
func (a *Announcement) SameIncarnation(other *Announcement) bool {
	return a.ID == other.ID && a.StartedUnixMilli == other.StartedUnixMilli
}
