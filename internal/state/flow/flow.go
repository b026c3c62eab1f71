// Package flow defines the types of forwarded flows: streams of sealed datagrams
// between a caller and an upstream that nothing between the two may change or end.
package flow

import (
	"bytes"
	"cmp"
	"encoding/binary"
	"net/netip"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Endpoint is an IPv4 address and port. It holds no pointer, so that the garbage
// collector need not scan tables keyed by it.
type Endpoint struct {
	IP   [4]byte
	Port uint16
}

// EndpointOf returns the Endpoint of an IPv4 address and port, or the zero Endpoint for any other address.
func EndpointOf(address netip.AddrPort) Endpoint {
	ip := address.Addr().Unmap()
	if !ip.Is4() {
		return Endpoint{}
	}
	return Endpoint{IP: ip.As4(), Port: address.Port()}
}

// AddrPort returns e as a netip.AddrPort.
func (e Endpoint) AddrPort() netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4(e.IP), e.Port)
}

// Compare orders endpoints by address and port, as cmp.Compare does.
func (e Endpoint) Compare(other Endpoint) int {
	return cmp.Or(bytes.Compare(e.IP[:], other.IP[:]), cmp.Compare(e.Port, other.Port))
}

// IsZero reports whether e is the zero Endpoint, which stands for none.
func (e Endpoint) IsZero() bool {
	return e == Endpoint{}
}

// String returns the address and port as "192.0.2.7:443".
func (e Endpoint) String() string {
	var buffer [maxEndpointText]byte
	return string(e.appendText(buffer[:0]))
}

// maxEndpointText is the length of the longest text form of an Endpoint.
const maxEndpointText = len("255.255.255.255:65535")

// MarshalText implements encoding.TextMarshaler for log handlers. It takes a tenth
// of the time of formatting with fmt.
func (e Endpoint) MarshalText() ([]byte, error) {
	return e.appendText(make([]byte, 0, maxEndpointText)), nil
}

func (e Endpoint) appendText(dst []byte) []byte {
	for i, part := range e.IP {
		if i > 0 {
			dst = append(dst, '.')
		}
		dst = strconv.AppendUint(dst, uint64(part), 10)
	}
	return strconv.AppendUint(append(dst, ':'), uint64(e.Port), 10)
}

// Key identifies a flow. It is the same for packets in both directions.
type Key struct {
	Caller  Endpoint
	Service Endpoint
}

// KeyLength is the length of an encoded Key in bytes.
const KeyLength = 12

// Append appends the encoded key, of KeyLength bytes, to dst.
func (k Key) Append(dst []byte) []byte {
	dst = append(dst, k.Caller.IP[:]...)
	dst = binary.BigEndian.AppendUint16(dst, k.Caller.Port)
	dst = append(dst, k.Service.IP[:]...)
	return binary.BigEndian.AppendUint16(dst, k.Service.Port)
}

// DecodeKey reads a key from the first KeyLength bytes of data.
func DecodeKey(data []byte) Key {
	return Key{
		Caller:  Endpoint{IP: [4]byte(data[:4]), Port: binary.BigEndian.Uint16(data[4:])},
		Service: Endpoint{IP: [4]byte(data[6:10]), Port: binary.BigEndian.Uint16(data[10:])},
	}
}

// Hash returns a uniform hash that is the same in every process.
func (k Key) Hash() uint64 {
	var data [KeyLength]byte
	return xxhash.Sum64(k.Append(data[:0]))
}

// String returns the caller and the service as "100.64.0.7:40001>198.18.0.1:443".
func (k Key) String() string {
	text, _ := k.MarshalText() // it never fails
	return string(text)
}

// MarshalText implements encoding.TextMarshaler for log handlers.
func (k Key) MarshalText() ([]byte, error) {
	text := k.Caller.appendText(make([]byte, 0, 2*maxEndpointText+1))
	return k.Service.appendText(append(text, '>')), nil
}

// Packet is a datagram with its parsed header.
type Packet struct {
	Source      Endpoint
	Destination Endpoint

	// Open, Ack, Finish and Reset are flags of the transport protocol in the datagram.
	Open, Ack, Finish, Reset bool

	// Bounced says that the packet is a caller's, returned by an upstream that does not accept it.
	Bounced bool

	// SinceFirstSent is the time from the caller's first opening packet to this
	// retransmission of it; 0 for the first and for all other packets.
	SinceFirstSent time.Duration

	// Sequence and Acknowledged count bytes of the stream from a random initial number.
	Sequence     uint32
	Acknowledged uint32

	// Tag is the tag that an agent set on a packet, returned unchanged on a bounced one; 0 otherwise.
	Tag uint32

	// DataLength is the length of the payload in bytes.
	DataLength int

	// Raw is the whole datagram.
	Raw []byte
}

// IsOpening reports whether the packet asks for a new flow.
func (p *Packet) IsOpening() bool {
	return p.Open && !p.Ack && !p.Reset
}

// KeyFromCaller returns the flow of a packet that its caller sent.
func (p *Packet) KeyFromCaller() Key {
	return Key{Caller: p.Source, Service: p.Destination}
}

// KeyFromUpstream returns the flow of a packet that its upstream sent.
func (p *Packet) KeyFromUpstream() Key {
	return Key{Caller: p.Destination, Service: p.Source}
}
