package owner

import (
	"time"

	"github.com/coriandershift/coriandershift/internal/protocol/fwdmsg"
	"github.com/coriandershift/coriandershift/internal/state/flow"
)

// HandleBalancerPacket handles a caller's packet that a balancer or another agent sent.
// The actions are valid until the next call.
func (o *Owner) HandleBalancerPacket(now time.Time, e *fwdmsg.Envelope, p *flow.Packet) []Action {
	o.actions = o.actions[:0]
	o.pause.Resumed(now)
	o.latestRevision = max(o.latestRevision, e.Revision)
	key := p.KeyFromCaller()
	if p.IsOpening() {
		o.handleOpening(now, key, e, p)
		return o.actions
	}
	o.handleFlowPacket(now, key, e, p)
	return o.actions
}

// handleFlowPacket handles a caller's packet other than an opening packet: its flow
// should be open here or at another upstream.
func (o *Owner) handleFlowPacket(now time.Time, key flow.Key, e *fwdmsg.Envelope, p *flow.Packet) {
	known := o.flows[key]
	if known != nil && known.matches(p) {
		o.trackCallerPacket(now, key, known, p)
		o.deliver(key, p.Raw, 0, "")
		if e.WantNotice {
			o.notifyBalancer(now, key, e, false)
		}
		return
	}

	if (known == nil || known.mayPredate) && o.shouldOffer(now, key) {
		if tag, ok := o.offers.add(now, key, e); ok {
			o.deliver(key, p.Raw, tag, Offered)
			return
		}
	}
	e.Uncertain = e.Uncertain || !o.knowsAllFlows(now)
	o.forwardOrReturn(key, e, p.Raw, NotHeld)
}

// shouldOffer reports whether a packet of a flow that is unknown here, or may be older than
// known here, is to be offered to the upstream, which may hold flows from before the
// agent's start. Their routes may be newer than the configuration in force.
func (o *Owner) shouldOffer(now time.Time, key flow.Key) bool {
	return o.upstream != nil && o.mayHoldEarlierFlows && now.Sub(o.startedAt) < offerPeriod
}

// forwardOrReturn sends a packet of an unknown flow to the next agent, or back to the
// balancer if there is none.
func (o *Owner) forwardOrReturn(key flow.Key, e *fwdmsg.Envelope, packet []byte, reason Reason) {
	to, ok := e.PopRank()
	if !ok {
		to = e.Balancer
		e.Kind = fwdmsg.ReturnedPacket
		e.Agent = o.settings.Self
	}
	o.actions = append(o.actions, Action{Kind: Forward, Reason: reason, Key: key, To: to, Envelope: *e, Packet: packet})
}

// HandleUpstreamPacket handles a packet that the upstream sent or bounced. The actions
// are valid until the next call.
func (o *Owner) HandleUpstreamPacket(now time.Time, p *flow.Packet) []Action {
	o.actions = o.actions[:0]
	o.pause.Resumed(now)
	if p.Bounced {
		o.handleBounce(now, p)
		return o.actions
	}

	key := p.KeyFromUpstream()
	known := o.flows[key]
	if known != nil && known.mayPredate && !known.open && !p.Open {
		o.removeFlow(key, known) // the flow was open before its opening packet came here
		known = nil
	}
	if known == nil || !p.Open {
		if e, ok := o.offers.takeByKey(key); ok && e.WantNotice {
			o.notifyBalancer(now, key, &e, false)
		}
	}
	if known == nil && len(o.flows) < maxFlows {
		known = &entry{openedAt: now, lastPacketAt: now, open: true, predatesAgent: true}
		o.addFlow(key, known)
	}
	if known != nil {
		o.trackUpstreamPacket(now, key, known, p)
	}
	o.actions = append(o.actions, Action{Kind: Answer, Key: key, Packet: p.Raw})
	o.openWaiting(now)
	return o.actions
}

// handleBounce handles a caller's packet that the upstream did not accept.
func (o *Owner) handleBounce(now time.Time, p *flow.Packet) {
	key := p.KeyFromCaller()
	if e, ok := o.offers.takeByTag(p.Tag, key); ok {
		if known := o.flows[key]; known != nil {
			known.mayPredate = false
		}
		o.forwardOrReturn(key, &e, p.Raw, NotHeld)
		return
	}

	known := o.flows[key]
	if known == nil {
		o.actions = append(o.actions, Action{Kind: Drop, Reason: Bounced, Key: key})
		return
	}

	if p.IsOpening() {
		if known.answered {
			return // a late copy of an opening packet that was answered
		}
		e := known.envelope
		o.removeFlow(key, known)
		o.failedOpenings++
		o.forwardOrRefuse(now, key, &e, p.Raw, Bounced)
		return
	}
	if known.answered && known.matches(p) && !p.Reset {
		o.removeFlow(key, known)
		o.resetCaller(key, p.Acknowledged, Bounced)
	}
}

func (o *Owner) deliver(key flow.Key, packet []byte, tag uint32, reason Reason) {
	o.actions = append(o.actions, Action{Kind: Deliver, Reason: reason, Key: key, Packet: packet, Tag: tag, Load: o.load()})
}

// notifyBalancer sends the balancer, if it is known, a notice that says whether this
// agent has the flow or refused it, and the agent's load.
func (o *Owner) notifyBalancer(now time.Time, key flow.Key, e *fwdmsg.Envelope, refused bool) {
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
			ServiceHash:       o.serviceHash,
			Balancer:          e.Balancer,
			Agent:             o.settings.Self,
			Refused:           refused,
			Load:              uint16(min(o.load()+o.backlog.Len(), 1<<16-1)),
			RequestSize:       o.requestSize(key),
			Slots:             uint16(min(o.slots(), 1<<16-1)),
			MeanDuration:      uint16(min(o.serviceTimes.mean.Microseconds()/100, 1<<16-1)),
			UnansweredPercent: o.failureRate.percent(now),
		},
	})
}
