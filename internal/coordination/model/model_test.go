package model_test

import (
	"testing"
	"time"

	"github.com/coriandershift/coriandershift/internal/coordination/owner"
	"github.com/coriandershift/coriandershift/internal/coordination/steer"
	"github.com/coriandershift/coriandershift/internal/protocol/fwdmsg"
	"github.com/coriandershift/coriandershift/internal/standin/envint"
	"github.com/coriandershift/coriandershift/internal/state/config"
	"github.com/coriandershift/coriandershift/internal/state/flow"
)

// runBalancerActions carries out what a balancer decided.
func (fs *faultSim) runBalancerActions(b *balancer, actions []steer.Action) {
	for _, a := range actions {
		switch a.Kind {
		case steer.Send:
			e, packet := clone(a.Envelope, a.Packet)
			to := a.To
			fs.transmit(func() { fs.deliverToAgent(to, e, packet) })
		case steer.Reset:
			fs.resetCallerFlow(a.Key, a.Sequence, string(a.Reason), b.endpoint)
		}
	}
}

func (fs *faultSim) deliverToAgent(to flow.Endpoint, e fwdmsg.Envelope, packet []byte) {
	for _, a := range fs.agents {
		if a.endpoint != to || a.down || a.pause.keeps(func() { fs.deliverToAgent(to, e, packet) }) {
			continue
		}
		if e.Kind != fwdmsg.CallerPacket {
			fs.deliverQuery(a, e, packet)
			continue
		}
		p, _ := unpack(packet)
		fs.runAgentActions(a, a.core.HandleBalancerPacket(fs.now, &e, &p))
	}
}

// runAgentActions carries out what an agent decided, and checks it.
func (fs *faultSim) runAgentActions(a *agent, actions []owner.Action) {
	for _, action := range actions {
		e, packet := clone(action.Envelope, action.Packet)
		to := action.To
		switch action.Kind {
		case owner.Deliver:
			p, _ := unpack(packet)
			p.Tag, p.Bounced = action.Tag, false
			fs.checkDelivery(a, &p)
			fs.checkRoute(a, &p)
			u := a.upstream
			fs.schedule(100*time.Microsecond, func() { fs.deliverToUpstream(a, u, p) })
		case owner.Answer:
			p, _ := unpack(packet)
			fs.transmit(func() { fs.deliverToCaller(a, p) })
		case owner.Forward:
			if e.Kind == fwdmsg.ReturnedPacket {
				fs.transmit(func() { fs.deliverToBalancer(to, e, packet) })
				continue
			}
			fs.transmit(func() { fs.deliverToAgent(to, e, packet) })
		case owner.Notify:
			payload := packet
			if action.Packet == nil {
				payload = action.Key.Append(nil)
			}
			fs.transmit(func() {
				fs.deliverToBalancer(to, e, payload)
				if e.Kind == fwdmsg.QueryReply {
					fs.deliverToAgent(to, e, payload) // if it asked for a balancer
				}
			})
		case owner.Reset:
			fs.resetCallerFlow(action.Key, action.Sequence, string(action.Reason), a.endpoint)
		}
	}
}

func (fs *faultSim) deliverToBalancer(to flow.Endpoint, e fwdmsg.Envelope, payload []byte) {
	for _, b := range fs.balancers {
		if b.endpoint == to && !b.down && !b.pause.keeps(func() { fs.deliverToBalancer(to, e, payload) }) {
			fs.runBalancerActions(b, b.core.HandleAgentMessage(fs.now, &e, payload, unpack))
		}
	}
}

// checkDelivery checks that an agent may deliver a packet to its upstream.
func (fs *faultSim) checkDelivery(a *agent, p *flow.Packet) {
	fs.delivered++
	if p.IsOpening() {
		if u := a.upstream; u != nil && u.flows[p.KeyFromCaller()] != nil {
			return // a copy for a flow that the upstream has accepted
		}
		if a.cfg.IsDomainOut(domainOf(a)) {
			fs.fatalf("agent %v opened a flow in a failure domain that it knows to be out", a.endpoint)
		}
		if u := a.core.Upstream(); u == nil || u.State != flow.Serving {
			fs.fatalf("agent %v opened a flow at an upstream that it knows to be leaving", a.endpoint)
		}
		return
	}
	c := fs.callerFlows[p.KeyFromCaller()]
	if c == nil || c.upstream == nil || c.agent == a || p.Tag != 0 {
		return // an upstream bounces a tagged packet if it does not hold the flow
	}
	if c.agent.upstream == c.upstream {
		fs.fatalf("agent %v delivered a packet of a flow that is open at %v", a.endpoint, c.agent.endpoint)
	}
}

func (fs *faultSim) deliverToUpstream(a *agent, u *upstream, p flow.Packet) {
	if u == nil || a.upstream != u {
		return
	}
	key := p.KeyFromCaller()
	f := u.flows[key]
	switch {
	case p.IsOpening():
		fs.acceptOpening(a, u, key, f, &p)
	case f == nil, p.Acknowledged != f.sequence+1: // not held, or open elsewhere
		bounce := p
		bounce.Bounced = true
		fs.sendFromUpstream(a, u, bounce)
	default:
		if !f.open {
			f.open, f.openedAt = true, fs.now
		}
		if p.DataLength > 0 {
			answer := flow.Packet{Source: key.Service, Destination: key.Caller, Ack: true, Sequence: f.sequence + 1, DataLength: 9}
			fs.schedule(time.Duration(5+fs.random.IntN(30))*time.Millisecond, func() { fs.sendFromUpstream(a, u, answer) })
		}
	}
}

func (fs *faultSim) acceptOpening(a *agent, u *upstream, key flow.Key, f *upstreamFlow, p *flow.Packet) {
	if f != nil && f.open {
		if fs.now.Sub(f.openedAt) > time.Second {
			fs.fatalf("agent %v delivered the opening packet of a flow that has been open for %v", a.endpoint, fs.now.Sub(f.openedAt))
		}
		f = nil
	}
	if f == nil {
		f = &upstreamFlow{sequence: fs.random.Uint32()}
		u.flows[key] = f
		fs.checkColdLimit(a, u)
	}
	fs.sendFromUpstream(a, u, flow.Packet{Source: key.Service, Destination: key.Caller, Open: true, Ack: true, Sequence: f.sequence, Acknowledged: p.Sequence + 1})
}

// checkColdLimit checks that a cold upstream gets at most coldPerSecond flows in any second.
func (fs *faultSim) checkColdLimit(a *agent, u *upstream) {
	if fs.now.After(u.coldUntil) {
		return
	}
	u.coldOpenings = append(u.coldOpenings, fs.now)
	if n := len(u.coldOpenings); n > coldPerSecond && fs.now.Sub(u.coldOpenings[n-1-coldPerSecond]) < time.Second {
		fs.fatalf("the cold upstream of %v got %d flows within a second", a.endpoint, coldPerSecond+1)
	}
}

func (fs *faultSim) sendFromUpstream(a *agent, u *upstream, p flow.Packet) {
	if a.down || a.upstream != u || a.pause.keeps(func() { fs.sendFromUpstream(a, u, p) }) {
		return
	}
	p, _ = unpack(pack(p))
	fs.runAgentActions(a, a.core.HandleUpstreamPacket(fs.now, &p))
}

// openFlow opens a caller's flow through random balancers.
func (fs *faultSim) openFlow() {
	fs.openFlowTo(address)
}

func (fs *faultSim) openFlowTo(service flow.Endpoint) {
	fs.lastPort++
	key := flow.Key{Caller: flow.Endpoint{IP: [4]byte{100, 64, 0, byte(fs.random.IntN(4))}, Port: fs.lastPort}, Service: service}
	c := &callerFlow{key: key, revision: fs.cfg.Revision, sequence: fs.random.Uint32(), started: fs.now}
	fs.callerFlows[key] = c
	// As on the platform, Acknowledged is the number of the retransmission in an opening packet.
	for i, d := range []time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond} {
		fs.schedule(d, func() {
			if c.upstream == nil && !c.done {
				fs.sendFromCaller(c, flow.Packet{Open: true, Sequence: c.sequence, Acknowledged: uint32(i)})
			}
		})
	}
	fs.schedule(1400*time.Millisecond, func() { c.done = c.done || c.upstream == nil })
}

// sendFromCaller sends a caller's packet to a random balancer, as the fabric may
// deliver any packet to any balancer.
func (fs *faultSim) sendFromCaller(c *callerFlow, p flow.Packet) {
	p.Source, p.Destination = c.key.Caller, c.key.Service
	raw := pack(p)
	b := fs.balancers[fs.random.IntN(len(fs.balancers))]
	fs.countUnexpected(c, b)
	fs.transmit(func() { fs.deliverFromCaller(b, raw) })
}

func (fs *faultSim) deliverFromCaller(b *balancer, raw []byte) {
	if b.down || b.pause.keeps(func() { fs.deliverFromCaller(b, raw) }) {
		return
	}
	p, _ := unpack(append([]byte(nil), raw...))
	fs.runBalancerActions(b, b.core.HandleCallerPacket(fs.now, &p))
}

func (fs *faultSim) deliverToCaller(a *agent, p flow.Packet) {
	c := fs.callerFlows[p.KeyFromUpstream()]
	if c == nil || c.done {
		return
	}
	if p.Open && p.Ack && c.upstream == nil {
		c.upstream, c.agent, c.upstreamSequence = a.upstream, a, p.Sequence
		fs.sendRequests(c, 0)
	}
	if p.DataLength > 0 {
		if p.Sequence != c.upstreamSequence+1 {
			fs.fatalf("a caller got an answer of another stream")
		}
		fs.answers++
	}
}

// sendRequests sends nine requests on an open flow with random pauses, then ends it.
func (fs *faultSim) sendRequests(c *callerFlow, count int) {
	if c.done || count > 8 {
		c.done = true
		return
	}
	fs.sendFromCaller(c, flow.Packet{Ack: true, Sequence: c.sequence + 1 + uint32(count), Acknowledged: c.upstreamSequence + 1, DataLength: 1})
	fs.schedule(time.Duration(50+fs.random.IntN(1500))*time.Millisecond, func() { fs.sendRequests(c, count+1) })
}

// resetCallerFlow checks a reset that reached a caller and ends the flow.
func (fs *faultSim) resetCallerFlow(key flow.Key, sequence uint32, reason string, by flow.Endpoint) {
	c := fs.callerFlows[key]
	if c == nil || c.done {
		return
	}
	if distance := int32(sequence - c.upstreamSequence - 1); c.upstream != nil && (distance > resetWindow || distance < -resetWindow) {
		return // callers ignore it
	}
	fs.resets++
	c.done = true
	if c.upstream == nil || c.agent.upstream != c.upstream || c.upstream.flows[key] == nil || !c.upstream.flows[key].open {
		return
	}
	if fs.now.Sub(c.agent.faultAt) < resetGrace || c.agent.down || fs.wasDropped(c) {
		return
	}
	fs.fatalf("%v reset flow %v for %q, open since %v at %v", by, key, reason, fs.now.Sub(c.started), c.agent.endpoint)
}

// injectFault causes one random fault or planned change.
func (fs *faultSim) injectFault() {
	a := fs.agents[fs.random.IntN(len(fs.agents))]
	b := fs.balancers[fs.random.IntN(len(fs.balancers))]
	switch fs.random.IntN(11) {
	case 0: // a balancer restarts
		fs.startBalancer(b)
	case 1: // an agent restarts while its upstream stays
		fs.restartAgent(a)
	case 2: // an upstream restarts
		a.upstream = nil
		a.faultAt = fs.now
		fs.schedule(time.Duration(fs.random.IntN(500))*time.Millisecond, func() { fs.startUpstream(a) })
	case 3: // an upstream leaves and is replaced
		fs.drainUpstream(a)
	case 4, 5: // a failure domain is taken out or brought back
		fs.changeConfig(func(c *config.Config) {
			c.Domains = nil
			if !fs.cfg.IsDomainOut("a") {
				c.Domains = []config.Domain{{Name: "a", Number: 1, Out: true}}
			}
		})
	case 6: // a new revision without any change
		fs.changeConfig(func(*config.Config) {})
	case 7: // all balancers restart
		for _, b := range fs.balancers {
			fs.startBalancer(b)
		}
	case 8:
		fs.pauseAgent(a)
	case 9:
		fs.pauseBalancer(b)
	case 10:
		fs.restartBesideYoungUpstream(a)
	}
}

func (fs *faultSim) drainUpstream(a *agent) {
	u := a.upstream
	if u == nil || u.draining {
		return
	}
	u.draining = true
	fs.schedule(4*time.Second, func() {
		if a.upstream != u {
			return
		}
		a.upstream = nil
		a.faultAt = fs.now
		if !a.down {
			a.core.HandleDeparture(fs.now, u.id)
		}
		fs.schedule(300*time.Millisecond, func() {
			if a.upstream == nil {
				fs.startUpstream(a)
			}
		})
	})
}

// changeConfig gives a new configuration to each balancer and agent after a random delay.
func (fs *faultSim) changeConfig(edit func(*config.Config)) {
	next := fs.cfg.Clone()
	edit(next)
	next.Revision++
	fs.cfg = next
	for _, b := range fs.balancers {
		fs.schedule(time.Duration(fs.random.IntN(1500))*time.Millisecond, func() { fs.configureBalancer(b, next) })
	}
	for _, a := range fs.agents {
		fs.schedule(time.Duration(fs.random.IntN(1500))*time.Millisecond, func() { fs.configureAgent(a, next) })
	}
}

// TestModel simulates minutes of virtual time with random faults. The simulation
// checks each delivery to an upstream, reset and answer. MODEL_FIRST, MODEL_SEEDS
// and MODEL_MINUTES choose other seeds and longer runs.
func TestModel(t *testing.T) {
	first, seeds, minutes := envint.Get(t, "MODEL_FIRST", 1), envint.Get(t, "MODEL_SEEDS", 6), envint.Get(t, "MODEL_MINUTES", 2)
	for seed := first; seed < first+seeds; seed++ {
		sim := newFaultSim(t, uint64(seed))
		sim.run(5 * time.Second)
		for range minutes * 60 * 10 {
			for range 4 {
				sim.openFlow()
			}
			if sim.random.IntN(25) == 0 {
				sim.injectFault()
			}
			sim.run(100 * time.Millisecond)
			sim.dropFinishedFlows()
		}
		if sim.answers < sim.delivered/20 {
			sim.fatalf("%d answers for %d packets delivered", sim.answers, sim.delivered)
		}
		t.Logf("seed %d: %d packets delivered, %d answers, %d resets", sim.seed, sim.delivered, sim.answers, sim.resets)
	}
}

// dropFinishedFlows deletes flows that are done, at callers and upstreams, 30 s
// after their start.
func (fs *faultSim) dropFinishedFlows() {
	for key, c := range fs.callerFlows {
		if !c.done || fs.now.Sub(c.started) < 30*time.Second {
			continue
		}
		delete(fs.callerFlows, key)
		for _, a := range fs.agents {
			if a.upstream != nil {
				delete(a.upstream.flows, key)
			}
		}
	}
}
