package intake

import (
	"time"

	"github.com/coriandershift/coriandershift/internal/state/flow"
)

// datagramOverhead is the number of bytes that a packet has on the link besides its own:
// the envelope without ranks, and IP and UDP headers.
const datagramOverhead = 53 + 28

// minRemainingShare is the share of the mean size that is expected at least of a transfer
// that has not ended.
const minRemainingShare = 0.5

// packetSize returns the bytes of a packet on the link from the balancer to an agent.
func packetSize(p *flow.Packet) float64 {
	return float64(len(p.Raw) + datagramOverhead)
}

// transfer is what a caller sends on a flow up to the answer of the upstream.
type transfer struct {
	route      *routeState
	account    *account // of the caller; nil if the flow was not opened here, or is light
	lastPacket time.Time

	// active says that the transfer counts as unfinished. It then has a share of the
	// route's sums: remaining bytes that are still expected.
	active    bool
	remaining float64

	// received is the size of the packets that carried new data. It is the whole of the
	// transfer if sawStart.
	received float64
	sawStart bool

	// next is the sequence number after the latest data of the flow, also of transfers
	// before; valid if hasNext.
	next    uint32
	hasNext bool

	// acknowledged is the acknowledgement number of the transfer's first data packet;
	// valid if hasData.
	acknowledged uint32
	hasData      bool

	// openingSequence is the sequence number of the flow's opening packet, 0 if it was not seen.
	openingSequence uint32

	// finished says that the caller has ended the flow.
	finished bool
}

func newTransfer(s *routeState, a *account, sawStart bool) *transfer {
	t := &transfer{route: s, account: a, sawStart: sawStart}
	t.start()
	return t
}

// observe records a packet and reports whether it carries new data.
func (t *transfer) observe(p *flow.Packet, size float64) bool {
	if t.finished {
		return false
	}
	if t.hasData && p.Ack && isAfter(p.Acknowledged, t.acknowledged) {
		t.complete()
	}
	isNew := p.DataLength > 0 && t.receive(p, size)
	if p.Finish || p.Reset {
		if p.Finish && t.hasData {
			t.complete()
		}
		t.stop()
		t.finished = true
	}
	return isNew
}

func (t *transfer) receive(p *flow.Packet, size float64) bool {
	end := p.Sequence + uint32(p.DataLength)
	if t.hasNext && !isAfter(end, t.next) {
		return false // a retransmission
	}
	if !t.hasData {
		t.hasData, t.acknowledged = true, p.Acknowledged
		t.start()
	}
	t.next, t.hasNext = end, true
	t.received += size
	t.route.recordProgress(t.received)
	t.setRemaining(t.expectedRemaining())
	return true
}

// complete ends the transfer, whose size is known if its start was seen. Further data on
// the flow begins another one.
func (t *transfer) complete() {
	if t.sawStart {
		t.route.recordSize(t.received)
	}
	t.stop()
	t.received, t.hasData, t.sawStart = 0, false, true
}

// start counts the transfer as unfinished.
func (t *transfer) start() {
	if t.active {
		return
	}
	t.active = true
	t.route.unfinished++
	if t.account != nil {
		t.account.unfinished++
	}
	t.setRemaining(t.expectedRemaining())
}

// expectedRemaining returns how much of the transfer is still expected while it has not
// ended. Of those that reach the mean, many are much larger.
func (t *transfer) expectedRemaining() float64 {
	return max(t.route.expected()-t.received, minRemainingShare*t.route.expected())
}

// stop ends counting the transfer as unfinished.
func (t *transfer) stop() {
	if !t.active {
		return
	}
	t.setRemaining(0)
	t.active = false
	t.route.unfinished--
	if t.route.unfinished == 0 {
		t.route.outstanding = 0 // without rounding errors
	}
	if t.account != nil {
		t.account.unfinished--
	}
}

func (t *transfer) setRemaining(remaining float64) {
	t.route.outstanding += remaining - t.remaining
	t.remaining = remaining
}

// isAfter compares sequence numbers, which wrap around.
func isAfter(a, b uint32) bool {
	return int32(a-b) > 0
}
