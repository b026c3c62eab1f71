package roster

import (
	"encoding/binary"
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Role is the kind of process that a member is.
type Role uint8

// The roles.
const (
	Balancer Role = 1
	Agent    Role = 2
)

// State is the last known state of a member. Of two records with the same
// incarnation and sequence, the one with the higher state wins.
type State uint8

// The states.
const (
	Alive   State = 1
	Leaving State = 2
	Dead    State = 3
)

// String returns the state's name.
func (s State) String() string {
	switch s {
	case Alive:
		return "alive"
	case Leaving:
		return "leaving"
	case Dead:
		return "dead"
	}
	return "unknown"
}

// Member is one process of the system.
type Member struct {
	// Address is the UDP address on which the process receives the system's
	// datagrams. It identifies the member.
	Address netip.AddrPort `cbor:"1,keyasint"`

	Role Role `cbor:"2,keyasint"`

	// Name is the name that operators gave the VM.
	Name string `cbor:"3,keyasint,omitempty"`

	// Domain is the name of the member's failure domain.
	Domain string `cbor:"4,keyasint"`

	// Service is the name of the service of an agent's upstream; empty for a balancer.
	Service string `cbor:"5,keyasint,omitempty"`

	// Admin is the address on which a balancer answers operators and peers. An agent
	// answers its peers there.
	Admin netip.AddrPort `cbor:"6,keyasint,omitempty"`

	// Incarnation is the start time of the process in Unix milliseconds, so that
	// it grows with every start. It is raised further if others already know a
	// later incarnation at the same address.
	Incarnation uint64 `cbor:"7,keyasint"`

	// Sequence grows with every heartbeat within an incarnation.
	Sequence uint64 `cbor:"8,keyasint"`

	State State `cbor:"9,keyasint"`

	// Weight is the share of new flows that an agent asks for, 0 to MaxWeight. A
	// balancer's weight is above 0 while it takes traffic.
	Weight uint8 `cbor:"10,keyasint"`

	// NoFlows reports that an agent of forwarded flows has no flows, because its
	// upstream is gone.
	NoFlows bool `cbor:"11,keyasint,omitempty"`
}

const (
	// HeartbeatInterval is the time between two heartbeats and thus between two
	// sequence numbers of a member.
	HeartbeatInterval = time.Second

	// ForgetAgentAfter is the time after its last heartbeat at which a dead agent
	// is removed from the roster.
	ForgetAgentAfter = 10 * time.Minute

	// ForgetBalancerAfter is the same time for a dead balancer. Until then the
	// others keep trying to reach it: regions may be cut off from each other for an
	// hour and must find each other again.
	ForgetBalancerAfter = 24 * time.Hour
)

// Forgettable reports whether the member has been dead for long enough to be
// removed. The time counts from the member's own last heartbeat, so that all
// processes remove it at the same time and none sends it to the others again.
func (m *Member) Forgettable(now time.Time) bool {
	after := ForgetAgentAfter
	if m.Role == Balancer {
		after = ForgetBalancerAfter
	}
	lastHeartbeat := time.UnixMilli(int64(m.Incarnation)).Add(time.Duration(m.Sequence) * HeartbeatInterval)
	return m.State == Dead && now.Sub(lastHeartbeat) > after
}

// noFlowsBit is set in the state byte of a hash for a member without flows.
const noFlowsBit = 0x80

// MaxWeight is the weight of an agent whose upstream can take its full load.
const MaxWeight = 100

// Newer reports whether m replaces other in a merge. It compares incarnation,
// then sequence, then state.
func (m *Member) Newer(other *Member) bool {
	if m.Incarnation != other.Incarnation {
		return m.Incarnation > other.Incarnation
	}
	if m.Sequence != other.Sequence {
		return m.Sequence > other.Sequence
	}
	return m.State > other.State
}

// EqualExceptSequence reports whether m and other differ in nothing but their sequence.
func (m *Member) EqualExceptSequence(other *Member) bool {
	a, b := *m, *other
	a.Sequence, b.Sequence = 0, 0
	return a == b
}

// HashAddress returns a uniformly distributed hash of an address. It is the same
// in every process.
func HashAddress(address netip.AddrPort) uint64 {
	var data [18]byte
	ip := address.Addr().As16()
	copy(data[:], ip[:])
	binary.BigEndian.PutUint16(data[16:], address.Port())
	return xxhash.Sum64(data[:])
}

// hash returns a hash over the address together with the content. If they were
// hashed separately, equal changes of two members would cancel out in a digest,
// which combines hashes by XOR.
func (m *Member) hash() uint64 {
	var data [26]byte
	binary.BigEndian.PutUint64(data[:], m.Incarnation)
	binary.BigEndian.PutUint64(data[8:], m.Sequence)
	data[16] = byte(m.State)
	data[17] = m.Weight
	if m.NoFlows {
		data[16] |= noFlowsBit
	}
	binary.BigEndian.PutUint64(data[18:], HashAddress(m.Address))
	return xxhash.Sum64(data[:])
}
