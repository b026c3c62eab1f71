package owner

import (
	"slices"
	"time"

	"github.com/coriandershift/coriandershift/internal/protocol/hop"
	"github.com/coriandershift/coriandershift/internal/state/flow"
)

// FromBalancer takes a caller's packet that a balancer or another agent sent.
// The actions are valid until the next call.
func (o *Owner) FromBalancer(now time.Time, e *hop.Envelope, p *flow.Packet) []Action {
	o.actions = o.actions[:0]
	key := p.FromCaller()
	if p.Opening() {
		o.openFlow(now, key, e, p)
		return o.actions
	}
	o.following(now, key, e, p)
	return o.actions
}

func (o *Owner) openFlow(now time.Time, key flow.Key, e *hop.Envelope, p *flow.Packet) {
	if known := o.flows[key]; known != nil {
		if known.sequence == p.Sequence && !known.closed() {
			o.deliver(key, p.Raw, 0, "")
			o.tell(key, e, false)
			return
		}
		o.end(key, known) // the caller uses its port again
	}

	if o.backlog.Holds(key, p.Sequence) {
		o.tell(key, e, false)
		return
	}

	reason := o.admit(now, key, e)
	switch reason {
	case "":
		o.open(now, key, p.Sequence, p.Raw, e)
		o.tell(key, e, false)
	case Full:
		o.full(now, key, e, p)
	case Unconfigured:
		o.wait(now, key, e, p)
	default:
		o.handOn(now, key, e, p.Raw, reason)
	}
}

// open gives an opening packet to the upstream.
func (o *Owner) open(now time.Time, key flow.Key, sequence uint32, packet []byte, e *hop.Envelope) {
	known := &entry{openedAt: now, lastAt: now, sequence: sequence, packet: slices.Clone(packet), envelope: *e}
	o.flows[key] = known
	o.opening[key] = known
	o.begin(known)
	o.deliver(key, packet, 0, Opened)
}

// admit returns why a new flow may not be opened here, or nothing.
func (o *Owner) admit(now time.Time, key flow.Key, e *hop.Envelope) Reason {
	if reason := o.barred(key, e); reason != "" {
		return reason
	}
	if len(o.flows) >= maxFlows || (o.limits.Connections > 0 && len(o.flows) >= o.limits.Connections) {
		return TableFull
	}
	if o.unheard >= silentAfter {
		return Silent
	}
	if o.requests >= o.room(e) || o.backlog.Len() > 0 {
		return Full
	}
	if !now.Before(o.coldTill) {
		return ""
	}
	if o.cfg.Revision == 0 {
		return Unconfigured // what a cold upstream bears is not known
	}
	if !o.ramp.admit(now) {
		return Cold
	}
	return ""
}

// barred returns why the upstream may get no new flow of a key at all.
func (o *Owner) barred(key flow.Key, e *hop.Envelope) Reason {
	switch {
	case o.upstream == nil:
		return NoUpstream
	case o.upstream.State != flow.Serving:
		return Leaving
	case o.stopping:
		return Stopping
	case o.out:
		return DomainOut
	case e.Service != o.hash:
		return WrongService
	}

	// A balancer that knows a later configuration is right about the route.
	if e.Revision > o.cfg.Revision {
		return ""
	}
	route := o.routes[key.Service]
	if route == nil {
		return RouteDropped
	}
	if !route.Serves(o.settings.Service) {
		return WrongService
	}
	return ""
}

// handOn gives an opening packet to the next agent. If there is none the caller
// learns at once that its request did not run, unless this agent cannot know that.
func (o *Owner) handOn(now time.Time, key flow.Key, e *hop.Envelope, packet []byte, reason Reason) {
	if next, ok := e.Next(); ok {
		o.actions = append(o.actions, Action{
			Verb: Forward, Reason: reason, Key: key, To: next, Envelope: *e, Packet: packet, Load: o.requests,
		})
		return
	}

	if e.Repeated || o.unsure(now, reason) {
		o.actions = append(o.actions, Action{Verb: Drop, Reason: reason, Key: key, Load: o.requests})
		return
	}
	o.resetCaller(key, 0, reason)
	o.tell(key, e, true)
}

// startUp is how long after its start an agent may not have heard its upstream yet.
const startUp = 2 * time.Second

// unsure reports whether the caller had better repeat its opening packet.
func (o *Owner) unsure(now time.Time, reason Reason) bool {
	switch reason {
	case NoUpstream, NoAnswer, Silent, WrongService, RouteDropped:
		return true
	}
	return now.Sub(o.started) < startUp
}

// following takes a packet of a flow that should be open somewhere.
func (o *Owner) following(now time.Time, key flow.Key, e *hop.Envelope, p *flow.Packet) {
	known := o.flows[key]
	if known != nil && known.belongs(p) {
		o.noteCaller(now, key, known, p)
		o.deliver(key, p.Raw, 0, "")
		if e.WantNote {
			o.tell(key, e, false)
		}
		return
	}

	if known == nil && o.offering(now, key) {
		if tag, ok := o.offers.add(now, key, e); ok {
			o.deliver(key, p.Raw, tag, Offered)
			return
		}
	}
	e.Unsure = e.Unsure || !o.certain()
	o.passOn(key, e, p.Raw, NotHeld)
}

// FromQuery answers which flows of a Query are held here. The actions are valid
// until the next call.
func (o *Owner) FromQuery(e *hop.Envelope, questions []hop.Question) []Action {
	o.actions = o.actions[:0]
	words := make([]byte, len(questions))
	for i, q := range questions {
		words[i] = byte(o.holding(&q))
	}
	o.actions = append(o.actions, Action{
		Verb:     Tell,
		To:       e.Balancer,
		Packet:   words,
		Envelope: hop.Envelope{Kind: hop.Reply, Search: e.Search, Balancer: e.Balancer, Agent: o.settings.Self, Revision: o.cfg.Revision},
	})
	return o.actions
}

func (o *Owner) holding(q *hop.Question) hop.Holding {
	known := o.flows[q.Key]
	switch {
	case known != nil && known.belongs(&flow.Packet{Ack: true, Acknowledged: q.Acknowledged}):
		return hop.Held
	case known == nil && !o.certain():
		return hop.Unsure
	}
	return hop.NotHeld
}

// certain reports whether a flow that is not in the table is surely not at the upstream.
func (o *Owner) certain() bool {
	return o.Empty() || (o.upstream != nil && !o.mayOffer)
}

// offering reports whether the upstream may have flows from before the agent's start.
func (o *Owner) offering(now time.Time, key flow.Key) bool {
	return o.upstream != nil && o.mayOffer && now.Sub(o.started) < offerFor && o.routes[key.Service] != nil
}

// passOn sends a packet of an unknown flow to the next agent, or back.
func (o *Owner) passOn(key flow.Key, e *hop.Envelope, packet []byte, reason Reason) {
	to, ok := e.Next()
	if !ok {
		to = e.Balancer
		e.Kind = hop.Return
		e.Agent = o.settings.Self
	}
	o.actions = append(o.actions, Action{Verb: Forward, Reason: reason, Key: key, To: to, Envelope: *e, Packet: packet})
}

// FromUpstream takes a packet that the upstream sent. The actions are valid until the next call.
func (o *Owner) FromUpstream(now time.Time, p *flow.Packet) []Action {
	o.actions = o.actions[:0]
	if p.Bounced {
		o.bounced(now, p)
		return o.actions
	}

	key := p.FromUpstream()
	known := o.flows[key]
	if known == nil {
		if len(o.flows) < maxFlows {
			known = &entry{openedAt: now, lastAt: now, open: true, learned: true}
			o.flows[key] = known
		}
		if e, ok := o.offers.taken(key); ok && e.WantNote {
			o.tell(key, &e, false)
		}
	}
	if known != nil {
		o.noteUpstream(now, key, known, p)
	}
	o.actions = append(o.actions, Action{Verb: Answer, Key: key, Packet: p.Raw})
	o.pump(now)
	return o.actions
}

// bounced takes a caller's packet that the upstream returned.
func (o *Owner) bounced(now time.Time, p *flow.Packet) {
	key := p.FromCaller()
	if e, ok := o.offers.take(p.Tag, key); ok {
		o.passOn(key, &e, p.Raw, NotHeld)
		return
	}

	known := o.flows[key]
	if known == nil {
		o.actions = append(o.actions, Action{Verb: Drop, Reason: Bounced, Key: key})
		return
	}

	if p.Opening() {
		if known.answered {
			return // a late copy
		}
		e := known.envelope
		o.end(key, known)
		o.unheard++
		o.handOn(now, key, &e, p.Raw, Bounced)
		return
	}
	if known.answered && known.belongs(p) && !p.Reset {
		o.end(key, known)
		o.resetCaller(key, p.Acknowledged, Bounced)
	}
}

func (o *Owner) deliver(key flow.Key, packet []byte, tag uint32, reason Reason) {
	o.actions = append(o.actions, Action{Verb: Deliver, Reason: reason, Key: key, Packet: packet, Tag: tag, Load: o.requests})
}

// tell sends the balancer a note of the flow, with the load.
func (o *Owner) tell(key flow.Key, e *hop.Envelope, refused bool) {
	if e.Balancer.IsZero() {
		return
	}
	o.actions = append(o.actions, Action{
		Verb: Tell,
		Key:  key,
		To:   e.Balancer,
		Envelope: hop.Envelope{
			Kind:     hop.Note,
			Revision: o.cfg.Revision,
			Service:  o.hash,
			Balancer: e.Balancer,
			Agent:    o.settings.Self,
			Refused:  refused,
			Load:     uint16(min(o.requests, 1<<16-1)),
			Slots:    uint16(min(o.slots(), 1<<16-1)),
		},
	})
}
