// Package header reads the version-independent fields of QUIC packets (RFC 8999).
package header

import (
	"encoding/binary"

	"github.com/pkg/errors"

	"github.com/coriandershift/coriandershift/internal/state/connid"
)

const (
	longForm = 0x80
	fixedBit = 0x40

	typeMask    = 0x30
	typeInitial = 0x00
	typeZeroRTT = 0x10

	version1 = 1

	minLongLength    = 7 // flags, version and the lengths of two empty connection IDs
	maxIDLength      = 20
	minFirstIDLength = 8 // RFC 9000, section 7.2
)

// Sentinel errors of Parse.
var (
	ErrTruncated = errors.New("QUIC packet is truncated")
	ErrNotQUIC   = errors.New("packet is not QUIC")
	ErrIDLength  = errors.New("QUIC connection ID has an invalid length")
)

// Packet holds the properties of a QUIC packet that a balancer routes it by.
type Packet struct {
	// DestinationID is the destination connection ID. It aliases the datagram.
	DestinationID []byte

	// LongHeader says that the packet has a long header.
	LongHeader bool

	// MayOpenFlow says that the packet can open a flow: an Initial or 0-RTT packet, or one of an unknown version.
	MayOpenFlow bool
}

// Parse reads the first packet of a datagram. Short headers are taken to carry
// a connection ID of connid.Length bytes.
func Parse(datagram []byte) (Packet, error) {
	if len(datagram) == 0 {
		return Packet{}, ErrTruncated
	}

	if datagram[0]&longForm != 0 {
		return parseLong(datagram)
	}

	if datagram[0]&fixedBit == 0 {
		return Packet{}, ErrNotQUIC
	}

	if len(datagram) < 1+connid.Length {
		return Packet{}, ErrTruncated
	}
	return Packet{DestinationID: datagram[1 : 1+connid.Length]}, nil
}

// RefusalReason returns the metrics label for an error of Parse.
func RefusalReason(err error) string {
	switch {
	case errors.Is(err, ErrTruncated):
		return "quicTruncated"
	case errors.Is(err, ErrIDLength):
		return "quicIdLength"
	}
	return "notQuic"
}

func parseLong(datagram []byte) (Packet, error) {
	if len(datagram) < minLongLength {
		return Packet{}, ErrTruncated
	}

	length := int(datagram[5])
	if length > maxIDLength {
		return Packet{}, ErrIDLength
	}

	if len(datagram) < minLongLength+length {
		return Packet{}, ErrTruncated
	}

	version := binary.BigEndian.Uint32(datagram[1:])
	if version == version1 && datagram[0]&fixedBit == 0 {
		return Packet{}, ErrNotQUIC
	}

	mayOpenFlow := version != version1 || isInitialOrZeroRTT(datagram[0])
	if mayOpenFlow && length < minFirstIDLength {
		return Packet{}, ErrIDLength
	}
	return Packet{DestinationID: datagram[6 : 6+length], LongHeader: true, MayOpenFlow: mayOpenFlow}, nil
}

func isInitialOrZeroRTT(flags byte) bool {
	packetType := flags & typeMask
	return packetType == typeInitial || packetType == typeZeroRTT
}
