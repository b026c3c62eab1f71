package relay

import (
	"github.com/pkg/errors"
	"golang.org/x/net/ipv4"

	"github.com/coriandershift/coriandershift/internal/protocol/encap"
)

// readAgents moves datagrams from agents to callers, and hands control
// datagrams on, until the socket is closed.
func (r *Relay) readAgents() error {
	in := newBatch()
	conn := ipv4.NewPacketConn(r.node)
	var out outbox
	for {
		count, err := conn.ReadBatch(in, 0)
		if err != nil {
			return errors.Wrap(err, "read from agents")
		}

		for i := range in[:count] {
			r.fromAgent(&out, in[i].Buffers[0][:in[i].N])
		}
		out.flush()
	}
}

func (r *Relay) fromAgent(out *outbox, datagram []byte) {
	if len(datagram) > 0 && encap.Kind(datagram[0]) == encap.Control {
		r.control(datagram)
		return
	}

	e, payload, err := r.codec.Open(datagram)
	if err != nil || e.Kind != encap.Answer {
		r.counters.drop(encap.RefusalReason(err))
		return
	}

	f := r.front(frontKey{service: e.ServiceNumber, address: e.AddressIndex})
	if f == nil {
		r.counters.drop("answerForUnknownService")
		return
	}

	out.to(f.batch).add(e.Caller, payload)
	r.counters.answered()
}
