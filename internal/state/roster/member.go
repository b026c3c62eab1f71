package roster

import (
	"encoding/binary"
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Role tells what a member does.
type Role uint8

// The roles.
const (
	Balancer Role = 1
	Agent    Role = 2
)

// State is the last known state of a member. A higher one wins at the same sequence.
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
	// Address is where the process takes datagrams of the system; it identifies the member.
	Address netip.AddrPort `cbor:"1,keyasint"`

	Role Role `cbor:"2,keyasint"`

	// Name is the operators' name of the VM.
	Name string `cbor:"3,keyasint,omitempty"`

	// Domain is the name of the member's failure domain.
	Domain string `cbor:"4,keyasint"`

	// Service is the name of the service of an agent's upstream; empty for a balancer.
	Service string `cbor:"5,keyasint,omitempty"`

	// Admin is where a balancer answers operators and peers, and an agent its peers.
	Admin netip.AddrPort `cbor:"6,keyasint,omitempty"`

	// Incarnation grows with every start of the process: its start in Unix milliseconds.
	Incarnation uint64 `cbor:"7,keyasint"`

	// Sequence grows with every heartbeat within an incarnation.
	Sequence uint64 `cbor:"8,keyasint"`

	State State `cbor:"9,keyasint"`

	// Weight is the share of new flows that an agent asks for, 0 to MaxWeight.
	Weight uint8 `cbor:"10,keyasint"`

	// NoFlows says that an agent of forwarded flows has none: its upstream is gone.
	NoFlows bool `cbor:"11,keyasint,omitempty"`
}

const (
	// HeartbeatInterval is the time that one sequence number stands for.
	HeartbeatInterval = time.Second

	// ForgetAgentAfter is how long after its last heartbeat a dead agent is remembered.
	ForgetAgentAfter = 10 * time.Minute

	// ForgetBalancerAfter is the same for a balancer, which is looked for that
	// long: regions may lose each other for an hour and must find each other again.
	ForgetBalancerAfter = 24 * time.Hour
)

// Forgettable reports whether the member has been dead for so long that it need
// not be remembered. It goes by the member's own last heartbeat, so that all
// forget at the same time and none reminds the others.
func (m *Member) Forgettable(now time.Time) bool {
	after := ForgetAgentAfter
	if m.Role == Balancer {
		after = ForgetBalancerAfter
	}
	last := time.UnixMilli(int64(m.Incarnation)).Add(time.Duration(m.Sequence) * HeartbeatInterval)
	return m.State == Dead && now.Sub(last) > after
}

// emptyBit marks an empty member in its hash, beside its state.
const emptyBit = 0x80

// MaxWeight is the weight of an agent whose upstream bears its full load.
const MaxWeight = 100

// Newer reports whether m replaces other in a merge.
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

// HashAddress returns a well-spread hash of an address, the same in every process.
func HashAddress(address netip.AddrPort) uint64 {
	var data [18]byte
	ip := address.Addr().As16()
	copy(data[:], ip[:])
	binary.BigEndian.PutUint16(data[16:], address.Port())
	return xxhash.Sum64(data[:])
}

// hash covers the address together with the content: hashed apart, equal
// changes of two members would cancel out in a digest.
func (m *Member) hash() uint64 {
	var data [26]byte
	binary.BigEndian.PutUint64(data[:], m.Incarnation)
	binary.BigEndian.PutUint64(data[8:], m.Sequence)
	data[16] = byte(m.State)
	data[17] = m.Weight
	if m.NoFlows {
		data[16] |= emptyBit
	}
	binary.BigEndian.PutUint64(data[18:], HashAddress(m.Address))
	return xxhash.Sum64(data[:])
}
