package coriandershift

import (
	"context"

	"github.com/coriandershift/coriandershift/internal/state/config"
	"github.com/coriandershift/coriandershift/internal/state/flow"
)

// PacketCodec reads and writes the headers of forwarded packets.
type PacketCodec interface {
	// Parse reads a datagram, which Raw of the result aliases.
	Parse(datagram []byte) (flow.Packet, error)

	// SetTag sets the tag that an upstream returns on a packet that it bounces,
	// and clears the flag of an earlier bounce.
	SetTag(datagram []byte, tag uint32)

	// AppendReset appends a reset packet to dst. The packet goes to the caller of a flow,
	// with the service as its source. sequence is close to what the caller acknowledged
	// last, or 0 if it has acknowledged nothing.
	AppendReset(dst []byte, key flow.Key, sequence uint32) []byte
}

// ConfigSource supplies the operators' configuration.
type ConfigSource interface {
	// Load returns the configuration in force. Its revision grows with every change.
	Load(ctx context.Context) (*config.Config, error)

	// Next waits for changes after a revision and returns cfg with these changes
	// applied, or cfg itself if there were none for some time. It also returns the
	// revision to pass to the next call. It returns ErrCompacted if the source no
	// longer has the changes.
	Next(ctx context.Context, cfg *config.Config, after uint64) (next *config.Config, revision uint64, err error)
}

// UpstreamListener receives the announcements of the upstream beside an agent.
type UpstreamListener interface {
	Announce(a flow.Announcement)

	// Depart reports that the upstream leaves. id is the ID of its announcements.
	Depart(id string)
}
