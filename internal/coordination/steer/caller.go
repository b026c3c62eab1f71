package steer

import (
	"time"

	"github.com/coriandershift/coriandershift/internal/coordination/budget"
	"github.com/coriandershift/coriandershift/internal/protocol/fwdmsg"
	"github.com/coriandershift/coriandershift/internal/state/config"
	"github.com/coriandershift/coriandershift/internal/state/flow"
)

// HandleCallerPacket routes a packet that the fabric delivered. The actions are
// valid until the next call of a method that returns actions.
func (r *Router) HandleCallerPacket(now time.Time, p *flow.Packet) []Action {
	r.actions = r.actions[:0]
	r.use.countIn(now, budget.DatagramHeaders+len(p.Raw))
	key := p.KeyFromCaller()
	r.dropLateOpenings(now)
	switch {
	case p.IsOpening() && r.pause.Resuming(now):
		r.actions = append(r.actions, Action{Kind: Drop, Reason: Resuming, Key: key})
	case r.canPlaceFlows() || !r.hold(now, key, p):
		r.routeCallerPacket(now, key, p)
	}
	r.placeWaiting(now)
	return r.actions
}

func (r *Router) routeCallerPacket(now time.Time, key flow.Key, p *flow.Packet) {
	route := r.routes[key.Service]
	switch {
	case route == nil && p.IsOpening():
		r.awaitRoute(now, key, p)
	case route == nil && r.cfg.Revision == 0:
		r.reject(key, p, NoRoute)
	case route == nil:
		r.routeEstablished(now, key, p, r.routeOf(key.Service))
	case p.IsOpening():
		r.routeOpening(now, key, p, route)
	default:
		r.intake.Observe(now, p, route)
		r.routeEstablished(now, key, p, route)
	}
}

// routeEstablished routes a packet that is not an opening packet: its flow should exist.
func (r *Router) routeEstablished(now time.Time, key flow.Key, p *flow.Packet, route *config.Route) {
	e := r.flows[key]
	if e != nil {
		e.lastActive = now
		e.closing = e.closing || p.Finish || p.Reset
		r.send(Action{Key: key, To: e.agent, Envelope: r.envelope(route, key, false), Packet: p.Raw})
		return
	}
	r.performSearch(now, r.seeker.Seek(now, key, p, route))
}

func (r *Router) envelope(route *config.Route, key flow.Key, wantNotice bool) fwdmsg.Envelope {
	e := fwdmsg.Envelope{Kind: fwdmsg.CallerPacket, Revision: r.cfg.Revision, Balancer: r.self, WantNotice: wantNotice}
	if len(route.Shares) > 0 {
		e.ServiceHash = config.ServiceHash(route.PickService(key.Hash()))
	}
	return e
}

// reject answers a packet that cannot be routed with a reset. A reset packet itself
// gets no answer, nor does any packet before the first configuration.
func (r *Router) reject(key flow.Key, p *flow.Packet, reason Reason) {
	if p.Reset || r.cfg.Revision == 0 {
		r.actions = append(r.actions, Action{Kind: Drop, Reason: reason, Key: key})
		return
	}
	r.actions = append(r.actions, Action{Kind: Reset, Reason: reason, Key: key, Sequence: resetSequence(p)})
}

func resetSequence(p *flow.Packet) uint32 {
	if p.IsOpening() {
		return 0
	}
	return p.Acknowledged
}

func (r *Router) send(a Action) {
	a.Kind = Send
	r.use.out += budget.MessageLength + a.Envelope.RankCount*fwdmsg.EndpointLength + len(a.Packet)
	r.actions = append(r.actions, a)
}
