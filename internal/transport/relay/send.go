package relay

import (
	"net"
	"net/netip"

	"golang.org/x/net/ipv4"

	"github.com/coriandershift/coriandershift/internal/protocol/encap"
)

// sendQueue collects up to batchSize datagrams for one socket and writes them in
// batches. An envelope and its payload are separate buffers, so that payloads are
// not copied.
type sendQueue struct {
	conn     *ipv4.PacketConn
	messages [batchSize]ipv4.Message
	buffers  [batchSize][2][]byte
	targets  [batchSize]net.UDPAddr
	count    int
}

func newSendQueue(conn *ipv4.PacketConn) *sendQueue {
	q := &sendQueue{conn: conn}
	for i := range q.messages {
		q.buffers[i][0] = make([]byte, 0, encap.MaxHeader)
		q.targets[i].IP = make(net.IP, net.IPv4len)
		q.messages[i].Addr = &q.targets[i]
	}
	return q
}

// add queues a datagram. The payload must not be modified until flush.
func (q *sendQueue) add(to netip.AddrPort, payload []byte) {
	q.fill(to, payload)
	q.messages[q.count].Buffers = q.buffers[q.count][1:]
	q.count++
}

// addEnveloped queues a datagram with an envelope in front of the payload. The
// payload must not be modified until flush.
func (q *sendQueue) addEnveloped(to netip.AddrPort, codec *encap.Codec, e *encap.Envelope, payload []byte) {
	q.fill(to, payload)
	pair := &q.buffers[q.count]
	pair[0] = codec.Append(pair[0][:0], e, nil)
	q.messages[q.count].Buffers = pair[:]
	q.count++
}

func (q *sendQueue) fill(to netip.AddrPort, payload []byte) {
	target := &q.targets[q.count]
	address := to.Addr().Unmap().As4()
	copy(target.IP, address[:])
	target.Port = int(to.Port())
	q.buffers[q.count][1] = payload
}

func (q *sendQueue) flush() {
	rest := q.messages[:q.count]
	for len(rest) > 0 {
		sent, err := q.conn.WriteBatch(rest, 0)
		if err != nil {
			// Skip the first datagram, which cannot be sent, for example to a dead agent.
			sent = 1
		}
		rest = rest[sent:]
	}
	q.count = 0
}

// sendQueues groups the datagrams of one batch by the socket that sends them.
// Queues are reused for other sockets after flush.
type sendQueues struct {
	queues []*sendQueue
	used   int
}

// queue returns the queue of a socket, valid until the next flush.
func (s *sendQueues) queue(conn *ipv4.PacketConn) *sendQueue {
	for _, q := range s.queues[:s.used] {
		if q.conn == conn {
			return q
		}
	}

	if s.used == len(s.queues) {
		s.queues = append(s.queues, newSendQueue(nil))
	}
	q := s.queues[s.used]
	q.conn = conn
	s.used++
	return q
}

func (s *sendQueues) flush() {
	for _, q := range s.queues[:s.used] {
		q.flush()
		q.conn = nil
	}
	s.used = 0
}
