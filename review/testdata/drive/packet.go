package main

import (
	"encoding/binary"
	"hash/crc32"
	"net"
	"net/netip"
)

const (
	headerLength = 31

	flagSyn     = 1
	flagFin     = 2
	flagAck     = 4
	flagBounced = 64
	flagRst     = 128

	maxDatagram = 2048
)

// endpoint is the address and port of one end of a flow.
type endpoint struct {
	ip   [4]byte
	port uint16
}

func endpointOf(a netip.AddrPort) endpoint {
	return endpoint{a.Addr().As4(), a.Port()}
}

// packet is a datagram of the platform's protocol.
type packet struct {
	src, dst endpoint
	flags    byte
	seq, ack uint32
	data     []byte
	raw      []byte // as received
}

func (p *packet) has(flag byte) bool { return p.flags&flag != 0 }

// encode returns the datagram with its checksum.
func (p *packet) encode() []byte {
	raw := make([]byte, headerLength, headerLength+len(p.data))
	binary.BigEndian.PutUint16(raw[8:], uint16(len(p.data)))
	binary.BigEndian.PutUint32(raw[10:], p.seq)
	binary.BigEndian.PutUint32(raw[14:], p.ack)
	copy(raw[18:], p.src.ip[:])
	binary.BigEndian.PutUint16(raw[22:], p.dst.port)
	copy(raw[24:], p.dst.ip[:])
	binary.BigEndian.PutUint16(raw[28:], p.src.port)
	raw[30] = p.flags
	raw = append(raw, p.data...)
	binary.BigEndian.PutUint32(raw, checksum(raw))
	return raw
}

// decode reads a datagram and reports whether its length fits.
func decode(raw []byte) (*packet, bool) {
	if len(raw) < headerLength || int(binary.BigEndian.Uint16(raw[8:])) != len(raw)-headerLength {
		return nil, false
	}
	return &packet{
		src:   endpoint{[4]byte(raw[18:22]), binary.BigEndian.Uint16(raw[28:])},
		dst:   endpoint{[4]byte(raw[24:28]), binary.BigEndian.Uint16(raw[22:])},
		flags: raw[30],
		seq:   binary.BigEndian.Uint32(raw[10:]),
		ack:   binary.BigEndian.Uint32(raw[14:]),
		data:  raw[headerLength:],
		raw:   raw,
	}, true
}

// checksum covers all fields but echo and BOUNCED. Only the two ends of a flow know its key.
func checksum(raw []byte) uint32 {
	masked := append([]byte("key of the ends"), raw[8:]...)
	masked[len("key of the ends")+30-8] &^= flagBounced
	return crc32.ChecksumIEEE(masked)
}

func intact(raw []byte) bool {
	return binary.BigEndian.Uint32(raw) == checksum(raw)
}

// receive passes each packet to handle until the socket is closed.
func receive(conn *net.UDPConn, handle func(*packet)) {
	buffer := make([]byte, maxDatagram)
	for {
		count, _, err := conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		if p, ok := decode(append([]byte(nil), buffer[:count]...)); ok {
			handle(p)
		}
	}
}
