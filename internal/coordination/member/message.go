package member

import (
	"net/netip"

	"github.com/coriandershift/coriandershift/internal/state/roster"
)

// MessageKind tells what a message is for.
type MessageKind uint8

// The kinds.
const (
	// Heartbeat tells a home that its sender lives.
	Heartbeat MessageKind = 1
	// Ack answers a heartbeat.
	Ack MessageKind = 2
	// Push spreads members between balancers.
	Push MessageKind = 3
	// Digest asks a balancer for what the sender lacks.
	Digest MessageKind = 4
	// Probe asks for a heartbeat at once.
	Probe MessageKind = 5
)

// Message goes between two processes of the system in one datagram.
type Message struct {
	Kind MessageKind `cbor:"1,keyasint"`

	// From is the sender's own record.
	From roster.Member `cbor:"2,keyasint"`

	// Revision is the configuration in force at the sender.
	Revision uint64 `cbor:"3,keyasint,omitempty"`

	// Members are records that the sender passes on; at most maxMembers.
	Members []roster.Member `cbor:"4,keyasint,omitempty"`

	// Digest describes the sender's roster; roster.DigestBuckets long or empty.
	Digest []uint64 `cbor:"5,keyasint,omitempty"`

	// Homes are the balancers to which the receiver shall send its heartbeats.
	Homes []netip.AddrPort `cbor:"6,keyasint,omitempty"`

	// Peers are the agents of the receiver's service, at most maxPeers, without
	// name and service. An acknowledgement holds them if the heartbeat's
	// PeersHash shows that the agent has others.
	Peers []roster.Member `cbor:"8,keyasint,omitempty"`

	// PeersHash is the hash of the peers that the sender of a heartbeat has.
	PeersHash uint64 `cbor:"9,keyasint,omitempty"`

	// PartialFrom says that From lacks what the receiver has of it already: name,
	// domain, service and admin address.
	PartialFrom bool `cbor:"10,keyasint,omitempty"`

	// AllowPartialFrom says in an acknowledgement that the next heartbeat may be partial.
	AllowPartialFrom bool `cbor:"11,keyasint,omitempty"`

	// KnownIncarnation is the incarnation under which the sender of an acknowledgement knows
	// its receiver, if that is later than the heartbeat's: the receiver's clock
	// was set back before it started.
	KnownIncarnation uint64 `cbor:"12,keyasint,omitempty"`

	// IsReply says that a digest answers another one, so that it is not answered again.
	IsReply bool `cbor:"7,keyasint,omitempty"`

	// Joining says that the sender of a digest has just started and wants a reply
	// also if nothing differs.
	Joining bool `cbor:"13,keyasint,omitempty"`
}

func (m *Message) shorten() {
	m.PartialFrom = true
	m.From.Name, m.From.Domain, m.From.Service = "", "", ""
	m.From.Admin = netip.AddrPort{}
}

// Outgoing is a message to be sent.
type Outgoing struct {
	To      netip.AddrPort
	Message Message
}

// ConfigSource names a peer that has a configuration.
type ConfigSource struct {
	Revision uint64

	// Admin is where the peer hands it out.
	Admin netip.AddrPort
}
