package relay

import (
	"net"
	"net/netip"

	"golang.org/x/net/ipv4"

	"github.com/coriandershift/coriandershift/internal/coordination/route"
	"github.com/coriandershift/coriandershift/internal/protocol/encap"
	"github.com/coriandershift/coriandershift/internal/protocol/header"
)

// front is the socket at one address of a service.
type front struct {
	key   frontKey
	local netip.AddrPort
	conn  *net.UDPConn
	batch *ipv4.PacketConn
}

func newBatch() []ipv4.Message {
	messages := make([]ipv4.Message, batch)
	for i := range messages {
		messages[i].Buffers = [][]byte{make([]byte, maxDatagram)}
	}
	return messages
}

// readCallers moves datagrams from callers to agents until the socket is closed.
func (r *Relay) readCallers(f *front) {
	in := newBatch()
	out := newOutgoing(ipv4.NewPacketConn(r.node))
	for {
		count, err := f.batch.ReadBatch(in, 0)
		if err != nil {
			return
		}

		for i := range in[:count] {
			caller := in[i].Addr.(*net.UDPAddr).AddrPort()
			r.fromCaller(f, out, caller, in[i].Buffers[0][:in[i].N])
		}
		out.flush()
	}
}

func (r *Relay) fromCaller(f *front, out *outgoing, caller netip.AddrPort, datagram []byte) {
	packet, err := header.Parse(datagram)
	if err != nil {
		r.counters.drop(header.RefusalReason(err))
		return
	}

	d := r.router.Decide(route.Packet{
		DestinationID: packet.DestinationID,
		ServiceNumber: f.key.service,
		MayOpenFlow:   packet.MayOpenFlow,
	})
	switch d.Verdict {
	case route.Drop:
		r.counters.drop(string(d.Reason))
	case route.Reset:
		r.reset(f, caller, packet, len(datagram), d.Reason)
	default:
		r.forward(f, out, caller, datagram, &d)
	}
}

func (r *Relay) forward(f *front, out *outgoing, caller netip.AddrPort, datagram []byte, d *route.Decision) {
	e := encap.Envelope{Kind: encap.Forward, ServiceNumber: f.key.service, AddressIndex: f.key.address, Caller: caller}
	e.RankCount = copy(e.Ranks[:], d.Ranks[1:d.RankCount])

	out.addWrapped(d.Ranks[0], r.codec, &e, datagram)
	r.counters.forward(d.Verdict)
}

func (r *Relay) reset(f *front, caller netip.AddrPort, packet header.Packet, length int, reason route.Reason) {
	r.counters.drop(string(reason))
	if packet.LongHeader {
		return
	}

	answer := r.resets.make(packet.DestinationID, length)
	if answer == nil {
		return
	}
	if _, err := f.conn.WriteToUDPAddrPort(answer, caller); err == nil {
		r.metrics.BrokenFlows.WithLabelValues(string(reason)).Inc()
	}
}
