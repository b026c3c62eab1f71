package coriandershift

import (
	"context"

	"github.com/coriandershift/coriandershift/internal/state/config"
	"github.com/coriandershift/coriandershift/internal/state/flow"
)

// Packets reads and writes the head of forwarded packets.
type Packets interface {
	// Parse reads a datagram; the result refers to it.
	Parse(datagram []byte) (flow.Packet, error)

	// Mark sets the tag that an upstream returns on a packet that it bounces,
	// and takes the mark of an earlier bounce away.
	Mark(datagram []byte, tag uint32)

	// Reset appends a reset of a flow, as from its service, to dst.
	Reset(dst []byte, key flow.Key, sequence uint32) []byte
}

// Operators is where the operators' configuration comes from.
type Operators interface {
	// Load returns the configuration in force. Its revision grows with every change.
	Load(ctx context.Context) (*config.Config, error)

	// Wait returns once the configuration may have changed after a revision, or
	// unchanged after a while, with the revision from which to wait on.
	Wait(ctx context.Context, revision uint64) (changed bool, next uint64, err error)
}

// Upstreams takes what the upstream beside an agent says of itself.
type Upstreams interface {
	Announce(a flow.Announcement)
	Depart(id string)
}
