package steer

import (
	"time"

	"github.com/coriandershift/coriandershift/internal/protocol/fwdmsg"
	"github.com/coriandershift/coriandershift/internal/state/config"
	"github.com/coriandershift/coriandershift/internal/state/flow"
)

// HandleCallerPacket decides on a packet that the fabric delivered. The actions are
// valid until the next call.
func (s *Router) HandleCallerPacket(now time.Time, p *flow.Packet) []Action {
	s.out = s.out[:0]
	key := p.KeyFromCaller()
	if s.oriented() || !s.hold(now, key, p) {
		s.fromCaller(now, key, p)
	}
	return s.out
}

func (s *Router) fromCaller(now time.Time, key flow.Key, p *flow.Packet) {
	route := s.routes[key.Service]
	switch {
	case route == nil:
		s.refuse(key, p, NoRoute)
	case p.IsOpening():
		s.opening(now, key, p, route)
	default:
		s.following(now, key, p, route)
	}
}

// following routes a packet of a flow that should be open.
func (s *Router) following(now time.Time, key flow.Key, p *flow.Packet, route *config.Route) {
	e := s.flows[key]
	if e != nil {
		e.at = now
		e.closing = e.closing || p.Finish || p.Reset
		s.send(Action{Key: key, To: e.agent, Envelope: s.envelope(route, key, false), Packet: p.Raw})
		return
	}
	s.lookup(now, key, p, route)
}

func (s *Router) envelope(route *config.Route, key flow.Key, wantNote bool) fwdmsg.Envelope {
	return fwdmsg.Envelope{
		Kind:        fwdmsg.CallerPacket,
		Revision:    s.cfg.Revision,
		ServiceHash: config.ServiceHash(route.PickService(key.Hash())),
		Balancer:    s.self,
		WantNotice:  wantNote,
	}
}

func (s *Router) refuse(key flow.Key, p *flow.Packet, reason Reason) {
	if p.Reset || s.cfg.Revision == 0 {
		s.out = append(s.out, Action{Kind: Drop, Reason: reason, Key: key})
		return
	}
	s.out = append(s.out, Action{Kind: Reset, Reason: reason, Key: key, Sequence: resetSequence(p)})
}

func resetSequence(p *flow.Packet) uint32 {
	if p.IsOpening() {
		return 0
	}
	return p.Acknowledged
}

func (s *Router) send(a Action) {
	a.Kind = Send
	s.out = append(s.out, a)
}
