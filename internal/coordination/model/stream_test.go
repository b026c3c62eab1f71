package model_test

import "time"

const (
	// maxSegment is the data of a packet in bytes, and streamWindow the number of packets
	// that one end of a flow has in flight.
	maxSegment   = 1200
	streamWindow = 16

	// firstRetransmission is the delay of the first retransmission of a packet. It doubles
	// with each further one, up to maxRetransmission.
	firstRetransmission = 200 * time.Millisecond
	maxRetransmission   = 1600 * time.Millisecond

	// maxRetransmissions is the number of retransmissions after which an end gives up.
	maxRetransmissions = 8

	// packetsPerAck is the number of packets that one acknowledgement covers.
	packetsPerAck = 2
)

// streamSender sends a stream of bytes in packets, each repeated until it is
// acknowledged or the stream is stopped.
type streamSender struct {
	written, sent, acknowledged int // in bytes from the start of the stream
	stopped                     bool
	schedule                    func(time.Duration, func())
	transmit                    func(offset, length int)
}

// write adds bytes to the stream.
func (s *streamSender) write(count int) {
	s.written += count
	s.sendNext()
}

// acknowledge handles an acknowledgement of all bytes up to an offset.
func (s *streamSender) acknowledge(offset int) {
	if offset > s.acknowledged && offset <= s.sent {
		s.acknowledged = offset
		s.sendNext()
	}
}

func (s *streamSender) sendNext() {
	for s.sent < s.written && s.sent-s.acknowledged < streamWindow*maxSegment {
		length := min(maxSegment, s.written-s.sent)
		s.sent += length
		s.send(s.sent-length, length, 0)
	}
}

// send sends a packet that was sent count times before, unless it is acknowledged.
func (s *streamSender) send(offset, length, count int) {
	if s.stopped || s.acknowledged >= offset+length || count > maxRetransmissions {
		return
	}
	s.transmit(offset, length)
	s.schedule(min(firstRetransmission<<count, maxRetransmission), func() { s.send(offset, length, count+1) })
}

// streamReceiver puts the packets of a stream in order.
type streamReceiver struct {
	received int         // bytes received without a gap
	later    map[int]int // lengths of packets after a gap, by offset
	unacked  int         // packets since the last acknowledgement
}

// receive handles a packet and reports whether it must be acknowledged at once: a copy,
// one after a gap or every packetsPerAck-th one.
func (r *streamReceiver) receive(offset, length int) bool {
	inOrder := offset == r.received
	switch {
	case inOrder:
		r.received += length
		for next, found := r.later[r.received]; found; next, found = r.later[r.received] {
			delete(r.later, r.received)
			r.received += next
		}
	case offset > r.received:
		if r.later == nil {
			r.later = map[int]int{}
		}
		r.later[offset] = length
	}
	r.unacked++
	if inOrder && r.unacked < packetsPerAck {
		return false
	}
	r.unacked = 0
	return true
}
