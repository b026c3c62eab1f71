package main

import (
	"encoding/binary"
	"hash/fnv"
	"net"
	"net/netip"
)

// The layout of a packet's header, as the page PROTOCOL gives it.
const (
	headLength = 31

	flagSyn     = 1
	flagFin     = 2
	flagAck     = 4
	flagBounced = 64
	flagRst     = 128
)

// end is one end of a flow.
type end struct {
	ip   [4]byte
	port uint16
}

func endOf(a netip.AddrPort) end { return end{a.Addr().As4(), a.Port()} }

func (e end) String() string {
	return netip.AddrPortFrom(netip.AddrFrom4(e.ip), e.port).String()
}

// key identifies a flow.
type key struct{ client, route end }

func (k key) String() string { return k.client.String() + ">" + k.route.String() }

// packet is a decoded datagram.
type packet struct {
	src, dst end
	seq, ack uint32
	flags    byte
	data     []byte
	raw      []byte
}

func (p *packet) is(flag byte) bool { return p.flags&flag != 0 }

// sum is the ends' checksum over all but the sum itself, echo, pad and BOUNCED.
func sum(raw []byte) uint32 {
	h := fnv.New32a()
	masked := append([]byte("the key of the two ends"), raw[8:]...)
	masked[len("the key of the two ends")+headLength-8-1] &^= flagBounced
	_, _ = h.Write(masked)
	return h.Sum32() | 1 // never 0, which is a reset of the system's own
}

func encode(p *packet) []byte {
	raw := make([]byte, headLength, headLength+len(p.data))
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

// decode returns false for bytes that are no packet.
func decode(raw []byte) (*packet, bool) {
	if len(raw) < headLength || int(binary.BigEndian.Uint16(raw[8:])) != len(raw)-headLength {
		return nil, false
	}
	return &packet{
		src:   end{[4]byte(raw[18:22]), binary.BigEndian.Uint16(raw[28:])},
		dst:   end{[4]byte(raw[24:28]), binary.BigEndian.Uint16(raw[22:])},
		seq:   binary.BigEndian.Uint32(raw[10:]),
		ack:   binary.BigEndian.Uint32(raw[14:]),
		flags: raw[30],
		data:  raw[headLength:],
		raw:   raw,
	}, true
}

// ownReset reports whether a packet is a reset of the system's own.
func (p *packet) ownReset() bool {
	return p.is(flagRst) && binary.BigEndian.Uint32(p.raw) == 0 && len(p.data) == 0
}

// intact reports whether a packet is as its sender wrote it.
func (p *packet) intact() bool { return binary.BigEndian.Uint32(p.raw) == sum(p.raw) }

// receive calls handle with each packet that comes to a socket, until that is closed.
func receive(conn *net.UDPConn, handle func(p *packet)) {
	buffer := make([]byte, 4096)
	for {
		n, _, err := conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		if p, ok := decode(append([]byte(nil), buffer[:n]...)); ok {
			handle(p)
		}
	}
}
