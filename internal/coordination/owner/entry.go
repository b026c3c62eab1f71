package owner

import (
	"time"

	"github.com/coriandershift/coriandershift/internal/protocol/fwdmsg"
	"github.com/coriandershift/coriandershift/internal/state/flow"
)

// entry is the state of one flow at the upstream.
type entry struct {
	openedAt     time.Time
	lastPacketAt time.Time

	// callerStart is the sequence number of the caller's opening packet.
	// upstreamStart, valid if answered, is that of the upstream's answer to it.
	// upstreamSent is how far the upstream's stream has advanced since then, in
	// bytes; the opening and the end of the stream count as one each.
	callerStart   uint32
	upstreamStart uint32
	upstreamSent  uint32
	answered      bool

	// open says that the caller completed the handshake with this upstream;
	// predatesAgent that the flow was open before the agent started. mayPredate says that
	// it may have been: the opening packet that began it here can be a late copy, so the
	// upstream may have sent more than upstreamSent.
	open          bool
	predatesAgent bool
	mayPredate    bool

	// revision is that of the latest configuration under which the flow was opened, by its
	// balancer or this agent; 0 if it was opened before the agent started, or may have been.
	// The configuration with that revision has the flow's route.
	revision uint64

	// callerAck is the last acknowledgement of the caller, upstreamAck that of the upstream.
	callerAck   uint32
	upstreamAck uint32

	// counts says how the flow counts against the slots: its request is expected,
	// arrives, or awaits its answer. weight is its part of Owner.weight.
	counts countState
	weight int

	// stream is the data of the caller. While a request is pending, requestSentAt is when
	// its first data arrived; lastDataAt is when the data without a gap last became longer.
	stream         stream
	requestSentAt  time.Time
	lastDataAt     time.Time
	requestPending bool

	// awaitsData says that the flow counts as arriving and has sent no data yet.
	awaitsData bool

	callerFin   bool
	upstreamFin bool
	wasReset    bool

	// countsAsConnection says that the flow is counted in Owner.connections.
	countsAsConnection bool

	// packet and envelope hold the opening packet while it is unanswered.
	packet   []byte
	envelope fwdmsg.Envelope
}

func (e *entry) closed() bool {
	return e.wasReset || (e.callerFin && e.upstreamFin)
}

// matches reports whether a caller's packet acknowledges the stream of this upstream.
// Two upstreams may have answered copies of one opening packet; the flow is open
// at the one that the caller acknowledges.
func (e *entry) matches(p *flow.Packet) bool {
	if !e.answered {
		return e.predatesAgent
	}
	return !p.Ack || p.Acknowledged-e.upstreamStart <= e.upstreamSent
}

// addFlow adds a flow to the table and counts it as a connection.
func (o *Owner) addFlow(key flow.Key, e *entry) {
	e.countsAsConnection = true
	o.connections++
	o.flows[key] = e
}

// uncountFlow stops counting a flow as a request and a connection. The flow may stay
// in the table for late packets.
func (o *Owner) uncountFlow(key flow.Key, e *entry) {
	o.setCount(key, e, notCounted)
	if e.countsAsConnection {
		e.countsAsConnection = false
		o.connections--
	}
}

// removeFlow removes a flow from the counts and the table.
func (o *Owner) removeFlow(key flow.Key, e *entry) {
	o.uncountFlow(key, e)
	delete(o.handshakes, key)
	delete(o.flows, key)
}

// trackCallerPacket updates a flow from a caller's packet that is delivered to the upstream.
func (o *Owner) trackCallerPacket(now time.Time, key flow.Key, e *entry, p *flow.Packet) {
	e.lastPacketAt = now
	if !e.open {
		e.open = true
		o.recordHandshake(now, key, e)
	}
	if p.Ack {
		e.callerAck = p.Acknowledged
	}
	if p.DataLength > 0 {
		o.trackRequest(now, key, e, p)
	}
	if p.Finish {
		e.callerFin = true
	}
	if p.Reset {
		e.wasReset = true
		e.requestPending = false // the caller gave up, which is no failure of the upstream
	}
	if e.closed() {
		o.uncountFlow(key, e)
	}
}

// recordHandshake ends the handshake of a flow and updates the mean time of one.
func (o *Owner) recordHandshake(now time.Time, key flow.Key, e *entry) {
	if o.handshakes[key] == nil {
		return
	}
	delete(o.handshakes, key)
	o.meanHandshake += (now.Sub(e.openedAt) - o.meanHandshake) / handshakeSmoothing
}

// trackUpstreamPacket updates a flow from an upstream's packet that is sent to the caller.
func (o *Owner) trackUpstreamPacket(now time.Time, key flow.Key, e *entry, p *flow.Packet) {
	e.lastPacketAt = now
	if p.Ack {
		e.upstreamAck = p.Acknowledged
	}
	if p.Open && p.Ack {
		e.upstreamStart = p.Sequence
		e.answered = true
		e.upstreamSent = max(e.upstreamSent, 1)
		e.packet = nil
		o.failedOpenings = 0
	}
	switch {
	case p.DataLength > 0:
		o.completeRequest(now, key, e, Answered) // the upstream's work ends with the first bytes of its response
	case p.Reset:
		o.completeRequest(now, key, e, ResetByUpstream)
	}
	e.trackSent(p)
	if p.Finish {
		e.upstreamFin = true
	}
	if p.Reset {
		e.wasReset = true
	}
	if e.closed() {
		o.uncountFlow(key, e)
	}
}

// trackSent updates how far the upstream's stream has advanced.
func (e *entry) trackSent(p *flow.Packet) {
	if !e.answered {
		return
	}
	sent := p.Sequence - e.upstreamStart + uint32(p.DataLength)
	if p.Finish {
		sent++
	}
	e.upstreamSent = max(e.upstreamSent, sent)
}
