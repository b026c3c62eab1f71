package model_test

import (
	"github.com/coriandershift/coriandershift/internal/coordination/steer"
	"github.com/coriandershift/coriandershift/internal/protocol/fwdmsg"
	"github.com/coriandershift/coriandershift/internal/state/config"
	"github.com/coriandershift/coriandershift/internal/state/flow"
)

// idealRouting routes as balancers do that know all flows and the loads of all upstreams
// without any message. What callers get with it is possible on the same links.
type idealRouting struct {
	agents map[flow.Key]*narrowAgent
}

// action returns the only action for a caller's packet, and false if it has none.
func (ir *idealRouting) action(ns *narrowSim, p *flow.Packet) (steer.Action, bool) {
	key := p.KeyFromCaller()
	a := ir.agents[key]
	if a == nil {
		if !p.IsOpening() {
			return steer.Action{}, false
		}
		a = ns.leastLoaded(key)
		ir.agents[key] = a
	}
	service := a.core.Upstream().Service
	return steer.Action{
		Kind: steer.Send, Key: key, To: agentAddress(a.index), Packet: p.Raw,
		Envelope: fwdmsg.Envelope{Kind: fwdmsg.CallerPacket, Revision: ns.cfg.Revision, ServiceHash: config.ServiceHash(service)},
	}, true
}

// leastLoaded returns the agent with the fewest requests of those that serve a flow and
// can be reached.
func (ns *narrowSim) leastLoaded(key flow.Key) *narrowAgent {
	service := "desk"
	if key.Service == flow.EndpointOf(upload.Address) {
		service = "hub"
	}
	var best *narrowAgent
	for _, a := range ns.agents {
		if a.cut || a.core.Upstream().Service != service {
			continue
		}
		if best == nil || a.core.RequestCount() < best.core.RequestCount() {
			best = a
		}
	}
	return best
}
