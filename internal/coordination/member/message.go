package member

import (
	"net/netip"

	"github.com/coriandershift/coriandershift/internal/state/roster"
)

// MessageKind is the purpose of a message.
type MessageKind uint8

// The kinds of messages.
const (
	// Heartbeat tells a home that its sender is alive.
	Heartbeat MessageKind = 1
	// Ack acknowledges a heartbeat.
	Ack MessageKind = 2
	// Push sends records of members from one balancer to another.
	Push MessageKind = 3
	// Digest asks a balancer for the records that the sender lacks.
	Digest MessageKind = 4
	// Probe asks the receiver for an immediate heartbeat.
	Probe MessageKind = 5
)

// Message is what one process of the system sends to another in one datagram.
type Message struct {
	Kind MessageKind `cbor:"1,keyasint"`

	// From is the sender's own record.
	From roster.Member `cbor:"2,keyasint"`

	// Revision is the revision of the configuration in force at the sender, Operators the
	// operators' version of it.
	Revision  uint64 `cbor:"3,keyasint,omitempty"`
	Operators uint64 `cbor:"14,keyasint,omitempty"`

	// Era is the latest era of the store that the sender has heard of.
	Era uint64 `cbor:"15,keyasint,omitempty"`

	// Unsettled says that the sender's configuration may lack what operators have yet to
	// write again since that era began; see adopt.Gate.
	Unsettled bool `cbor:"16,keyasint,omitempty"`

	// Members are the records that a push passes on, at most maxRecords.
	Members []roster.Member `cbor:"4,keyasint,omitempty"`

	// Digest is the digest of the sender's roster. It has roster.DigestBuckets
	// elements, or none in other kinds of messages.
	Digest []uint64 `cbor:"5,keyasint,omitempty"`

	// Homes are the balancers to which the receiver of an acknowledgement must send
	// its heartbeats.
	Homes []netip.AddrPort `cbor:"6,keyasint,omitempty"`

	// Peers are the agents of the receiver's service, at most maxPeers, without
	// name and service. An acknowledgement contains them if the heartbeat's
	// PeersHash shows that the agent has a different list.
	Peers []roster.Member `cbor:"8,keyasint,omitempty"`

	// PeersHash is the hash (roster.HashMembers) of the peers that the sender of a
	// heartbeat has.
	PeersHash uint64 `cbor:"9,keyasint,omitempty"`

	// PartialFrom reports that From lacks name, domain, service and admin address,
	// which the receiver normally has already.
	PartialFrom bool `cbor:"10,keyasint,omitempty"`

	// AllowPartialFrom is set in an acknowledgement if the next heartbeat may have
	// a partial From.
	AllowPartialFrom bool `cbor:"11,keyasint,omitempty"`

	// KnownIncarnation is the incarnation under which the sender of an
	// acknowledgement knows its receiver, if that is later than the heartbeat's.
	// This happens if the receiver's clock was set back before it started.
	KnownIncarnation uint64 `cbor:"12,keyasint,omitempty"`

	// IsReply reports that a digest answers another one. The receiver of a reply
	// sends no digest back.
	IsReply bool `cbor:"7,keyasint,omitempty"`

	// Joining reports that the sender of a digest has just started and wants a
	// reply even if nothing differs.
	Joining bool `cbor:"13,keyasint,omitempty"`
}

// makePartial removes from From what the receiver normally has already.
func (m *Message) makePartial() {
	m.PartialFrom = true
	m.From.Name, m.From.Domain, m.From.Service = "", "", ""
	m.From.Admin = netip.AddrPort{}
}

// Outgoing is a message to be sent and its destination.
type Outgoing struct {
	To      netip.AddrPort
	Message Message
}

// ConfigSource is a process from which a configuration can be fetched.
type ConfigSource struct {
	// Revision is the revision of that configuration, Operators the operators' version.
	Revision, Operators uint64

	// Admin is the address from which the process serves it.
	Admin netip.AddrPort

	// Near says that the process is in the same failure domain.
	Near bool
}
