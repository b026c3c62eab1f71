package owner

import (
	"time"

	"github.com/coriandershift/coriandershift/internal/protocol/fwdmsg"
	"github.com/coriandershift/coriandershift/internal/state/flow"
)

// entry is one flow at the upstream.
type entry struct {
	openedAt time.Time
	lastAt   time.Time

	// sequence is that of the caller's opening packet; upstreamStart that of
	// the upstream's answer, if answered, and upstreamSent how far its stream
	// went since, the opening and the end included.
	sequence      uint32
	upstreamStart uint32
	upstreamSent  uint32
	answered      bool

	// open says that the caller completed the handshake here; learned that the
	// flow was open before the agent started.
	open    bool
	learned bool

	// callerAck is what the caller acknowledged last; callerNext the end of the
	// data it has sent, if it has sent any.
	callerAck  uint32
	callerNext uint32
	sent       bool

	// waiting counts the flow as a request: it will send one, or awaits its answer.
	waiting   bool
	askedAt   time.Time
	asked     bool
	callerFin bool
	serverFin bool
	ended     bool

	// connected counts the flow as a connection of the upstream.
	connected bool

	// packet and envelope are those of the opening packet while it is unanswered.
	packet   []byte
	envelope fwdmsg.Envelope
}

func (e *entry) closed() bool {
	return e.ended || (e.callerFin && e.serverFin)
}

// belongs reports whether a caller's packet acknowledges this upstream's stream.
// Two upstreams may have answered copies of one opening packet; the flow is open
// at the one that the caller acknowledges.
func (e *entry) belongs(p *flow.Packet) bool {
	if !e.answered {
		return e.learned
	}
	return !p.Ack || p.Acknowledged-e.upstreamStart <= e.upstreamSent
}

// begin counts the flow as a request at the upstream.
func (o *Owner) begin(e *entry) {
	if !e.waiting {
		e.waiting = true
		o.requests++
	}
}

// rest counts the flow as idle.
func (o *Owner) rest(e *entry) {
	if e.waiting {
		e.waiting = false
		o.requests--
	}
}

// remember adds a flow that the upstream holds.
func (o *Owner) remember(key flow.Key, e *entry) {
	e.connected = true
	o.connections++
	o.flows[key] = e
}

// release ends what a flow takes of the upstream. It may stay known for late packets.
func (o *Owner) release(e *entry) {
	o.rest(e)
	if e.connected {
		e.connected = false
		o.connections--
	}
}

// end forgets a flow.
func (o *Owner) end(key flow.Key, e *entry) {
	o.release(e)
	delete(o.opening, key)
	delete(o.flows, key)
}

// noteCaller follows a caller's packet that goes to the upstream.
func (o *Owner) noteCaller(now time.Time, key flow.Key, e *entry, p *flow.Packet) {
	e.lastAt = now
	if !e.open {
		e.open = true
		delete(o.opening, key)
	}
	if p.Ack {
		e.callerAck = p.Acknowledged
	}
	if next := p.Sequence + uint32(p.DataLength); p.DataLength > 0 && (!e.sent || int32(next-e.callerNext) > 0) {
		e.sent = true
		e.callerNext = next
		if !e.asked {
			e.asked = true
			e.askedAt = now
		}
		o.begin(e)
	}
	if p.Finish {
		e.callerFin = true
	}
	if p.Reset {
		e.ended = true
		e.asked = false // the caller gave up
	}
	if e.closed() {
		o.release(e)
	}
}

// noteUpstream follows an upstream's packet that goes to the caller.
func (o *Owner) noteUpstream(now time.Time, key flow.Key, e *entry, p *flow.Packet) {
	e.lastAt = now
	if p.Open && p.Ack {
		e.upstreamStart = p.Sequence
		e.answered = true
		e.upstreamSent = max(e.upstreamSent, 1)
		e.packet = nil
		o.unheard = 0
	}
	switch {
	case p.DataLength > 0:
		o.finish(now, key, e, Answered) // the first bytes end the work on it
	case p.Reset:
		o.finish(now, key, e, ResetByUpstream)
	}
	e.noteSent(p)
	if p.Finish {
		e.serverFin = true
	}
	if p.Reset {
		e.ended = true
	}
	if e.closed() {
		o.release(e)
	}
}

// noteSent follows how far the upstream's stream has come.
func (e *entry) noteSent(p *flow.Packet) {
	if !e.answered {
		return
	}
	sent := p.Sequence - e.upstreamStart + uint32(p.DataLength)
	if p.Finish {
		sent++
	}
	e.upstreamSent = max(e.upstreamSent, sent)
}

// NextTick returns when Tick has something to do, and false if it has nothing.
func (o *Owner) NextTick() (time.Time, bool) {
	var due time.Time
	if o.backlog.Len() > 0 {
		due = o.lastTick.Add(backlogTick)
	}
	for _, e := range o.opening {
		if at := e.openedAt.Add(handshakeTimeout); due.IsZero() || at.Before(due) {
			due = at
		}
	}
	return due, !due.IsZero()
}

// Tick hands on opening packets that the upstream left unanswered, and forgets old flows.
func (o *Owner) Tick(now time.Time) []Action {
	o.actions = o.actions[:0]
	o.lastTick = now
	for key, e := range o.opening {
		if now.Sub(e.openedAt) < handshakeTimeout {
			continue
		}
		if e.answered {
			delete(o.opening, key)
			o.rest(e)
			continue
		}
		o.unheard++
		envelope, packet := e.envelope, e.packet
		o.end(key, e)
		o.handOn(now, key, &envelope, packet, NoAnswer)
	}
	for _, w := range o.backlog.TakeExpired(now) {
		o.resetCaller(w.Key, 0, Expired)
		o.tell(now, w.Key, &w.Envelope, true)
	}
	o.sweep(now)
	o.pump(now)
	return o.actions
}

func (o *Owner) sweep(now time.Time) {
	if now.Sub(o.lastSweep) < sweepEvery {
		return
	}
	o.lastSweep = now
	o.offers.sweep(now)
	if o.lapsed(now) {
		o.unheard = max(o.unheard, silentAfter)
	}
	for key, e := range o.flows {
		if o.overdue(now, key, e) {
			o.finish(now, key, e, Unanswered)
		}
		idle := now.Sub(e.lastAt)
		if idle > forgetAfter || (idle > closedLinger && (e.closed() || !e.open)) {
			o.end(key, e)
		}
	}
}
