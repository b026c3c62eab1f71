package main

import (
	"encoding/binary"
	"hash/crc32"
	"net"
	"net/netip"
)

// The layout of a packet's header, as PROTOCOL.md describes it.
const (
	headerLength = 31

	flagOpen    = 1
	flagFinish  = 2
	flagAck     = 4
	flagBounced = 64
	flagReset   = 128
)

// endpoint is an IPv4 address and port.
type endpoint struct {
	ip   [4]byte
	port uint16
}

func endpointOf(a netip.AddrPort) endpoint {
	return endpoint{a.Addr().As4(), a.Port()}
}

// flowKey identifies a flow by the addresses of its client and its route.
type flowKey struct{ client, service endpoint }

type packet struct {
	src, dst endpoint
	flags    byte
	seq, ack uint32
	data     []byte
}

func (p *packet) has(flag byte) bool { return p.flags&flag != 0 }

// opens reports whether the packet is a SYN of a client.
func (p *packet) opens() bool { return p.has(flagOpen) && !p.has(flagAck) && !p.has(flagReset) }

// encode returns the datagram of a packet with its sum.
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
	binary.BigEndian.PutUint32(raw, sum(raw))
	return raw
}

// sum covers all fields but itself, echo, pad and BOUNCED.
func sum(raw []byte) uint32 {
	masked := append([]byte(nil), raw...)
	clear(masked[:8])
	masked[30] &^= flagBounced
	return crc32.ChecksumIEEE(masked)
}

// decode reads a datagram. It reports false for one that is malformed, or was changed on
// its way; resets of the system carry no sum.
func decode(raw []byte) (packet, bool) {
	if len(raw) < headerLength || int(binary.BigEndian.Uint16(raw[8:])) != len(raw)-headerLength {
		return packet{}, false
	}
	p := packet{
		src:   endpoint{[4]byte(raw[18:22]), binary.BigEndian.Uint16(raw[28:])},
		dst:   endpoint{[4]byte(raw[24:28]), binary.BigEndian.Uint16(raw[22:])},
		flags: raw[30], seq: binary.BigEndian.Uint32(raw[10:]), ack: binary.BigEndian.Uint32(raw[14:]),
		data: raw[headerLength:],
	}
	if own := binary.BigEndian.Uint32(raw); own != sum(raw) && (own != 0 || !p.has(flagReset)) {
		return packet{}, false
	}
	return p, true
}

// receive calls handle with each datagram of a socket until that is closed.
func receive(conn *net.UDPConn, handle func(raw []byte)) {
	buffer := make([]byte, 4096)
	for {
		n, _, err := conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		handle(append([]byte(nil), buffer[:n]...))
	}
}
