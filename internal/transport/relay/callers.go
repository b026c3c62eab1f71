package relay

import (
	"net"
	"net/netip"

	"golang.org/x/net/ipv4"

	"github.com/coriandershift/coriandershift/internal/coordination/route"
	"github.com/coriandershift/coriandershift/internal/protocol/encap"
	"github.com/coriandershift/coriandershift/internal/protocol/header"
)

// listener is the socket of one service address.
type listener struct {
	key        listenerKey
	address    netip.AddrPort
	conn       *net.UDPConn
	packetConn *ipv4.PacketConn
}

func newMessages() []ipv4.Message {
	messages := make([]ipv4.Message, batchSize)
	for i := range messages {
		messages[i].Buffers = [][]byte{make([]byte, maxDatagram)}
	}
	return messages
}

// readCallers forwards datagrams from callers to agents until the socket is closed.
func (r *Relay) readCallers(l *listener) {
	in := newMessages()
	out := newSendQueue(ipv4.NewPacketConn(r.internalConn))
	for {
		count, err := l.packetConn.ReadBatch(in, 0)
		if err != nil {
			return
		}

		for i := range in[:count] {
			caller := in[i].Addr.(*net.UDPAddr).AddrPort()
			r.handleCallerDatagram(l, out, caller, in[i].Buffers[0][:in[i].N])
		}
		out.flush()
	}
}

func (r *Relay) handleCallerDatagram(l *listener, out *sendQueue, caller netip.AddrPort, datagram []byte) {
	packet, err := header.Parse(datagram)
	if err != nil {
		r.counters.drop(header.RefusalReason(err))
		return
	}

	d := r.router.Decide(route.Packet{
		DestinationID: packet.DestinationID,
		ServiceNumber: l.key.serviceNumber,
		MayOpenFlow:   packet.MayOpenFlow,
	})
	switch d.Verdict {
	case route.Drop:
		r.counters.drop(string(d.Reason))
	case route.Reset:
		r.sendReset(l, caller, packet, len(datagram), d.Reason)
	default:
		r.forward(l, out, caller, datagram, &d)
	}
}

func (r *Relay) forward(l *listener, out *sendQueue, caller netip.AddrPort, datagram []byte, d *route.Decision) {
	e := encap.Envelope{Kind: encap.Forward, ServiceNumber: l.key.serviceNumber, AddressIndex: l.key.addressIndex, Caller: caller}
	e.RankCount = copy(e.Ranks[:], d.Ranks[1:d.RankCount])

	out.addEnveloped(d.Ranks[0], r.codec, &e, datagram)
	r.counters.forward(d.Verdict)
}

func (r *Relay) sendReset(l *listener, caller netip.AddrPort, packet header.Packet, length int, reason route.Reason) {
	r.counters.drop(string(reason))
	if packet.LongHeader {
		return
	}

	reset := r.resets.build(packet.DestinationID, length)
	if reset == nil {
		return
	}
	if _, err := l.conn.WriteToUDPAddrPort(reset, caller); err == nil {
		r.metrics.BrokenFlows.WithLabelValues(string(reason)).Inc()
	}
}
