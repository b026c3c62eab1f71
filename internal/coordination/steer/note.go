package steer

import (
	"time"

	"github.com/coriandershift/coriandershift/internal/protocol/fwdmsg"
	"github.com/coriandershift/coriandershift/internal/state/flow"
)

// HandleAgentMessage takes a note, or a packet that comes back.
func (s *Router) HandleAgentMessage(now time.Time, e *fwdmsg.Envelope, payload []byte, parse func([]byte) (flow.Packet, error)) []Action {
	s.out = s.out[:0]
	switch e.Kind {
	case fwdmsg.Notice:
		s.note(now, e, flow.DecodeKey(payload))
	case fwdmsg.ReturnedPacket:
		p, err := parse(payload)
		if err != nil {
			s.out = append(s.out, Action{Kind: Drop, Reason: Malformed})
			break
		}
		s.returned(now, e, &p)
	case fwdmsg.QueryReply:
		s.replied(now, e, payload)
	}
	return s.out
}

func (s *Router) note(now time.Time, e *fwdmsg.Envelope, key flow.Key) {
	if a := s.agents[e.Agent]; a != nil {
		a.report(now, e)
	}

	pending := s.opens[key]
	delete(s.opens, key)
	delete(s.searches, key)
	if e.Refused {
		delete(s.flows, key)
		return
	}

	known := s.flows[key]
	if known == nil {
		if len(s.flows) >= maxFlows {
			return
		}
		known = &entry{}
		s.flows[key] = known
	}
	if pending != nil {
		known.opened = true
		s.noted += (now.Sub(pending.at) - s.noted) / noteWeight
	}
	known.agent = e.Agent
	known.at = now
}

// returned handles a packet of a flow that the agents asked do not have.
func (s *Router) returned(now time.Time, e *fwdmsg.Envelope, p *flow.Packet) {
	key := p.KeyFromCaller()
	route := s.routes[key.Service]
	if route == nil {
		s.refuse(key, p, NoRoute)
		return
	}
	if p.IsOpening() {
		return
	}
	if e.WantNotice {
		s.passedOn(now, e, p)
		return
	}

	if known := s.flows[key]; known != nil && known.agent == e.Agent {
		delete(s.flows, key)
		s.lookup(now, key, p, route)
	}
}
