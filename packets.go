package coriandershift

import (
	"context"

	"github.com/coriandershift/coriandershift/internal/state/config"
	"github.com/coriandershift/coriandershift/internal/state/flow"
)

// PacketCodec reads and writes the head of forwarded packets.
type PacketCodec interface {
	// Parse reads a datagram; the result refers to it.
	Parse(datagram []byte) (flow.Packet, error)

	// SetTag sets the tag that an upstream returns on a packet that it bounces,
	// and takes the mark of an earlier bounce away.
	SetTag(datagram []byte, tag uint32)

	// AppendReset appends a reset of a flow, as from its service, to dst.
	AppendReset(dst []byte, key flow.Key, sequence uint32) []byte
}

// ConfigSource is where the operators' configuration comes from.
type ConfigSource interface {
	// Load returns the configuration in force. Its revision grows with every change.
	Load(ctx context.Context) (*config.Config, error)

	// Next waits for changes after a revision and returns the configuration that
	// they make of cfg; cfg itself after a while without any. It also returns the
	// revision from which to go on. It returns ErrCompacted if the changes are
	// not known any more.
	Next(ctx context.Context, cfg *config.Config, after uint64) (next *config.Config, revision uint64, err error)
}

// UpstreamListener takes what the upstream beside an agent says of itself.
type UpstreamListener interface {
	Announce(a flow.Announcement)
	Depart(id string)
}
