package relay

import (
	"github.com/pkg/errors"
	"golang.org/x/net/ipv4"

	"github.com/coriandershift/coriandershift/internal/protocol/encap"
)

// readAgents forwards datagrams from agents to callers, and passes control
// datagrams to handleControl, until the socket is closed.
func (r *Relay) readAgents() error {
	in := newMessages()
	conn := ipv4.NewPacketConn(r.internalConn)
	var out sendQueues
	for {
		count, err := conn.ReadBatch(in, 0)
		if err != nil {
			return errors.Wrap(err, "read from agents")
		}

		for i := range in[:count] {
			r.handleAgentDatagram(&out, in[i].Buffers[0][:in[i].N])
		}
		out.flush()
	}
}

func (r *Relay) handleAgentDatagram(out *sendQueues, datagram []byte) {
	if len(datagram) > 0 && encap.Kind(datagram[0]) == encap.Control {
		r.handleControl(datagram)
		return
	}

	e, payload, err := r.codec.Open(datagram)
	if err != nil || e.Kind != encap.Answer {
		r.counters.drop(encap.RefusalReason(err))
		return
	}

	l := r.listener(listenerKey{serviceNumber: e.ServiceNumber, addressIndex: e.AddressIndex})
	if l == nil {
		r.counters.drop("answerForUnknownService")
		return
	}

	out.queue(l.packetConn).add(e.Caller, payload)
	r.counters.answer()
}
