package owner

import (
	"time"

	"github.com/coriandershift/coriandershift/internal/protocol/fwdmsg"
	"github.com/coriandershift/coriandershift/internal/state/flow"
)

// HandleBalancerPacket takes a caller's packet that a balancer or another agent sent.
// The actions are valid until the next call.
func (o *Owner) HandleBalancerPacket(now time.Time, e *fwdmsg.Envelope, p *flow.Packet) []Action {
	o.actions = o.actions[:0]
	key := p.KeyFromCaller()
	if p.IsOpening() {
		o.openFlow(now, key, e, p)
		return o.actions
	}
	o.following(now, key, e, p)
	return o.actions
}

// following takes a packet of a flow that should be open somewhere.
func (o *Owner) following(now time.Time, key flow.Key, e *fwdmsg.Envelope, p *flow.Packet) {
	known := o.flows[key]
	if known != nil && known.belongs(p) {
		o.noteCaller(now, key, known, p)
		o.deliver(key, p.Raw, 0, "")
		if e.WantNotice {
			o.tell(now, key, e, false)
		}
		return
	}

	if known == nil && o.offering(now, key) {
		if tag, ok := o.offers.add(now, key, e); ok {
			o.deliver(key, p.Raw, tag, Offered)
			return
		}
	}
	e.Uncertain = e.Uncertain || !o.certain()
	o.passOn(key, e, p.Raw, NotHeld)
}

// offering reports whether the upstream may have flows from before the agent's start.
func (o *Owner) offering(now time.Time, key flow.Key) bool {
	return o.upstream != nil && o.mayOffer && now.Sub(o.started) < offerFor && o.routes[key.Service] != nil
}

// passOn sends a packet of an unknown flow to the next agent, or back.
func (o *Owner) passOn(key flow.Key, e *fwdmsg.Envelope, packet []byte, reason Reason) {
	to, ok := e.PopRank()
	if !ok {
		to = e.Balancer
		e.Kind = fwdmsg.ReturnedPacket
		e.Agent = o.settings.Self
	}
	o.actions = append(o.actions, Action{Kind: Forward, Reason: reason, Key: key, To: to, Envelope: *e, Packet: packet})
}

// HandleUpstreamPacket takes a packet that the upstream sent. The actions are valid until the next call.
func (o *Owner) HandleUpstreamPacket(now time.Time, p *flow.Packet) []Action {
	o.actions = o.actions[:0]
	if p.Bounced {
		o.bounced(now, p)
		return o.actions
	}

	key := p.KeyFromUpstream()
	known := o.flows[key]
	if known == nil {
		if len(o.flows) < maxFlows {
			known = &entry{openedAt: now, lastAt: now, open: true, learned: true}
			o.remember(key, known)
		}
		if e, ok := o.offers.taken(key); ok && e.WantNotice {
			o.tell(now, key, &e, false)
		}
	}
	if known != nil {
		o.noteUpstream(now, key, known, p)
	}
	o.actions = append(o.actions, Action{Kind: Answer, Key: key, Packet: p.Raw})
	o.pump(now)
	return o.actions
}

// bounced takes a caller's packet that the upstream returned.
func (o *Owner) bounced(now time.Time, p *flow.Packet) {
	key := p.KeyFromCaller()
	if e, ok := o.offers.take(p.Tag, key); ok {
		o.passOn(key, &e, p.Raw, NotHeld)
		return
	}

	known := o.flows[key]
	if known == nil {
		o.actions = append(o.actions, Action{Kind: Drop, Reason: Bounced, Key: key})
		return
	}

	if p.IsOpening() {
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
	o.actions = append(o.actions, Action{Kind: Deliver, Reason: reason, Key: key, Packet: packet, Tag: tag, Load: o.requests})
}

// tell sends the balancer a note of the flow, with the load.
func (o *Owner) tell(now time.Time, key flow.Key, e *fwdmsg.Envelope, refused bool) {
	if e.Balancer.IsZero() {
		return
	}
	o.actions = append(o.actions, Action{
		Kind: Notify,
		Key:  key,
		To:   e.Balancer,
		Envelope: fwdmsg.Envelope{
			Kind:              fwdmsg.Notice,
			Revision:          o.cfg.Revision,
			ServiceHash:       o.hash,
			Balancer:          e.Balancer,
			Agent:             o.settings.Self,
			Refused:           refused,
			Load:              uint16(min(o.requests+o.backlog.Len(), 1<<16-1)),
			Slots:             uint16(min(o.slots(), 1<<16-1)),
			MeanDuration:      uint16(min(o.service.Microseconds()/100, 1<<16-1)),
			UnansweredPercent: o.faults.percent(now),
		},
	})
}
