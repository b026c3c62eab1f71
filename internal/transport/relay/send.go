package relay

import (
	"net"
	"net/netip"

	"golang.org/x/net/ipv4"

	"github.com/coriandershift/coriandershift/internal/protocol/encap"
)

// outgoing collects datagrams for one socket, to be written in batches. A
// datagram may be two buffers, header and payload, so that nothing is copied.
type outgoing struct {
	conn     *ipv4.PacketConn
	messages [batch]ipv4.Message
	buffers  [batch][2][]byte
	targets  [batch]net.UDPAddr
	count    int
}

func newOutgoing(conn *ipv4.PacketConn) *outgoing {
	o := &outgoing{conn: conn}
	for i := range o.messages {
		o.buffers[i][0] = make([]byte, 0, encap.MaxHeader)
		o.targets[i].IP = make(net.IP, net.IPv4len)
		o.messages[i].Addr = &o.targets[i]
	}
	return o
}

// add takes a datagram. The payload must stay as it is until flush.
func (o *outgoing) add(to netip.AddrPort, payload []byte) {
	o.place(to, payload)
	o.messages[o.count].Buffers = o.buffers[o.count][1:]
	o.count++
}

// addWrapped takes a datagram that the envelope goes before.
func (o *outgoing) addWrapped(to netip.AddrPort, codec *encap.Codec, e *encap.Envelope, payload []byte) {
	o.place(to, payload)
	pair := &o.buffers[o.count]
	pair[0] = codec.Append(pair[0][:0], e, nil)
	o.messages[o.count].Buffers = pair[:]
	o.count++
}

func (o *outgoing) place(to netip.AddrPort, payload []byte) {
	target := &o.targets[o.count]
	address := to.Addr().Unmap().As4()
	copy(target.IP, address[:])
	target.Port = int(to.Port())
	o.buffers[o.count][1] = payload
}

func (o *outgoing) flush() {
	rest := o.messages[:o.count]
	for len(rest) > 0 {
		sent, err := o.conn.WriteBatch(rest, 0)
		if err != nil {
			// The first datagram could not be sent, as to an agent that is gone.
			sent = 1
		}
		rest = rest[sent:]
	}
	o.count = 0
}

// outbox collects datagrams for several sockets within one batch.
type outbox struct {
	outs []*outgoing
	used int
}

// to returns where to put datagrams for a socket until the next flush.
func (b *outbox) to(conn *ipv4.PacketConn) *outgoing {
	for _, o := range b.outs[:b.used] {
		if o.conn == conn {
			return o
		}
	}

	if b.used == len(b.outs) {
		b.outs = append(b.outs, newOutgoing(nil))
	}
	o := b.outs[b.used]
	o.conn = conn
	b.used++
	return o
}

func (b *outbox) flush() {
	for _, o := range b.outs[:b.used] {
		o.flush()
		o.conn = nil
	}
	b.used = 0
}
