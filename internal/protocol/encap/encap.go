// Package encap encapsulates the QUIC datagrams of callers between balancers and
// agents. A first datagram is one that may open a flow.
//
// The header has a fixed layout, since it is written and read once for each
// datagram; integers are big-endian:
//
//	byte 0       kind
//	byte 1       number of ranks, 0 to MaxRanks
//	bytes 2-4    service number
//	byte 5       index of the service's address that the caller uses
//	bytes 6-21   caller's address, IPv4 mapped into IPv6
//	bytes 22-23  caller's port
//	6 each       IPv4 address and port of the ranks, the agents to try next
//	6 bytes      IPv4 address and port of the balancer, in a PassedOn datagram only
//	8 bytes      SipHash tag over all of the above
//
// The rest is the caller's datagram, which QUIC itself protects.
package encap

import (
	"encoding/binary"
	"net/netip"

	"github.com/dchest/siphash"
	"github.com/pkg/errors"

	"github.com/coriandershift/coriandershift/internal/state/keyset"
)

// Kind says what a datagram between the system's processes carries.
type Kind byte

// The kinds of datagram.
const (
	// Forward carries a caller's datagram from a balancer to an agent.
	Forward Kind = 1
	// Answer carries an upstream's datagram from an agent to a balancer, which sends it to the caller.
	Answer Kind = 2
	// PassedOn carries a first datagram from an agent that does not accept its flow to the next agent.
	PassedOn Kind = 4
	// Control carries a sealed message; see package gossip.
	Control Kind = 3
)

const (
	// MaxRanks is the largest number of agents to try next that a first datagram names.
	MaxRanks = 3

	// MaxHeader is the length in bytes of the longest header: all ranks, the balancer
	// and the tag.
	MaxHeader = fixedLength + (MaxRanks+1)*endpointLength + tagLength

	fixedLength    = 24 // up to the ranks
	endpointLength = 6
	tagLength      = 8
)

// Sentinel errors of Open.
var (
	ErrTruncated    = errors.New("encapsulated datagram is truncated")
	ErrUnknownKind  = errors.New("encapsulated datagram has an unknown kind")
	ErrTooManyRanks = errors.New("encapsulated datagram names too many ranks")
	ErrForged       = errors.New("encapsulated datagram has a wrong tag")
)

// Envelope is the header of an encapsulated datagram.
type Envelope struct {
	Kind Kind

	// ServiceNumber is the number of the service, at most connid.MaxServiceNumber.
	ServiceNumber uint32

	// AddressIndex is the index of the service's address that the caller uses.
	AddressIndex uint8

	// Caller is where the datagram came from or goes to.
	Caller netip.AddrPort

	// Ranks are the agents to try next, in order, if the receiver does not accept the
	// flow of a first datagram. Only the first RankCount are set; all have IPv4 addresses.
	Ranks [MaxRanks]netip.AddrPort

	// RankCount is the number of Ranks, at most MaxRanks.
	RankCount int

	// Balancer is the balancer to which answers go. It is set in a PassedOn envelope only.
	Balancer netip.AddrPort
}

// Codec writes envelopes and reads them, with a tag under the cluster's key. It does not
// encrypt.
type Codec struct {
	k0, k1 uint64
}

// New returns a Codec for a set of keys.
func New(set keyset.Set) *Codec {
	key := keyset.DeriveKey(set.ClusterKey, "encapsulation tag", 16)
	return &Codec{k0: binary.LittleEndian.Uint64(key), k1: binary.LittleEndian.Uint64(key[8:])}
}

// Append appends the envelope, its tag and the payload to dst.
func (c *Codec) Append(dst []byte, e *Envelope, payload []byte) []byte {
	start := len(dst)
	dst = append(dst, byte(e.Kind), byte(e.RankCount), byte(e.ServiceNumber>>16), byte(e.ServiceNumber>>8), byte(e.ServiceNumber), e.AddressIndex)

	caller := e.Caller.Addr().As16()
	dst = append(dst, caller[:]...)
	dst = binary.BigEndian.AppendUint16(dst, e.Caller.Port())

	for _, rank := range e.Ranks[:e.RankCount] {
		dst = appendEndpoint(dst, rank)
	}
	if e.Kind == PassedOn {
		dst = appendEndpoint(dst, e.Balancer)
	}

	tag := siphash.Hash(c.k0, c.k1, dst[start:])
	dst = binary.BigEndian.AppendUint64(dst, tag)
	return append(dst, payload...)
}

// Open reads an envelope and returns the payload, which aliases the datagram.
func (c *Codec) Open(datagram []byte) (Envelope, []byte, error) {
	if len(datagram) < fixedLength+tagLength {
		return Envelope{}, nil, ErrTruncated
	}

	e := Envelope{Kind: Kind(datagram[0]), RankCount: int(datagram[1])}
	if e.Kind != Forward && e.Kind != Answer && e.Kind != PassedOn {
		return Envelope{}, nil, ErrUnknownKind
	}
	if e.RankCount > MaxRanks {
		return Envelope{}, nil, ErrTooManyRanks
	}

	end := fixedLength + e.RankCount*endpointLength
	if e.Kind == PassedOn {
		end += endpointLength
	}
	if len(datagram) < end+tagLength {
		return Envelope{}, nil, ErrTruncated
	}
	if siphash.Hash(c.k0, c.k1, datagram[:end]) != binary.BigEndian.Uint64(datagram[end:]) {
		return Envelope{}, nil, ErrForged
	}

	e.ServiceNumber = uint32(datagram[2])<<16 | uint32(datagram[3])<<8 | uint32(datagram[4])
	e.AddressIndex = datagram[5]
	caller := netip.AddrFrom16([16]byte(datagram[6:22])).Unmap()
	e.Caller = netip.AddrPortFrom(caller, binary.BigEndian.Uint16(datagram[22:]))
	for i := range e.RankCount {
		e.Ranks[i] = endpointAt(datagram[fixedLength+i*endpointLength:])
	}
	if e.Kind == PassedOn {
		e.Balancer = endpointAt(datagram[end-endpointLength:])
	}
	return e, datagram[end+tagLength:], nil
}

// RefusalReason returns the metrics label of a refused datagram. err is the error of
// Open, or nil if the receiver does not expect the datagram's kind.
func RefusalReason(err error) string {
	switch {
	case errors.Is(err, ErrTruncated):
		return "encapTruncated"
	case errors.Is(err, ErrForged):
		return "encapForged"
	case errors.Is(err, ErrTooManyRanks):
		return "encapRanks"
	}
	return "encapKind"
}

func appendEndpoint(dst []byte, e netip.AddrPort) []byte {
	address := e.Addr().Unmap().As4()
	dst = append(dst, address[:]...)
	return binary.BigEndian.AppendUint16(dst, e.Port())
}

func endpointAt(data []byte) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte(data[:4])), binary.BigEndian.Uint16(data[4:]))
}
