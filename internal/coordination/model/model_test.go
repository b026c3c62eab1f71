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

// fromBalancer carries out what a balancer decided.
func (w *world) fromBalancer(b *balancer, actions []steer.Action) {
	for _, a := range actions {
		switch a.Kind {
		case steer.Send:
			e, packet := clone(a.Envelope, a.Packet)
			to := a.To
			w.carry(func() { w.toAgent(to, e, packet) })
		case steer.Reset:
			w.toCallerReset(a.Key, a.Sequence, string(a.Reason), b.endpoint)
		}
	}
}

func (w *world) toAgent(to flow.Endpoint, e fwdmsg.Envelope, packet []byte) {
	for _, a := range w.agents {
		if a.endpoint != to || a.down {
			continue
		}
		if e.Kind == fwdmsg.Query {
			questions, err := fwdmsg.ParseQuestions(packet)
			if err != nil {
				w.fail("unreadable query: %v", err)
			}
			w.fromAgent(a, a.core.HandleQuery(&e, questions))
			continue
		}
		p, _ := unpack(packet)
		w.fromAgent(a, a.core.HandleBalancerPacket(w.now, &e, &p))
	}
}

// fromAgent carries out what an agent decided, and checks it.
func (w *world) fromAgent(a *agent, actions []owner.Action) {
	for _, action := range actions {
		e, packet := clone(action.Envelope, action.Packet)
		to := action.To
		switch action.Kind {
		case owner.Deliver:
			p, _ := unpack(packet)
			p.Tag, p.Bounced = action.Tag, false
			w.checkDelivery(a, &p)
			u := a.upstream
			w.after(100*time.Microsecond, func() { w.toUpstream(a, u, p) })
		case owner.Answer:
			p, _ := unpack(packet)
			w.carry(func() { w.toCaller(a, p) })
		case owner.Forward:
			if e.Kind == fwdmsg.ReturnedPacket {
				w.carry(func() { w.toBalancer(to, e, packet) })
				continue
			}
			w.carry(func() { w.toAgent(to, e, packet) })
		case owner.Notify:
			payload := packet
			if action.Packet == nil {
				payload = action.Key.Append(nil)
			}
			w.carry(func() { w.toBalancer(to, e, payload) })
		case owner.Reset:
			w.toCallerReset(action.Key, action.Sequence, string(action.Reason), a.endpoint)
		}
	}
}

func (w *world) toBalancer(to flow.Endpoint, e fwdmsg.Envelope, payload []byte) {
	for _, b := range w.balancers {
		if b.endpoint == to && !b.down {
			w.fromBalancer(b, b.core.HandleAgentMessage(w.now, &e, payload, unpack))
		}
	}
}

// checkDelivery checks what an agent may give to its upstream.
func (w *world) checkDelivery(a *agent, p *flow.Packet) {
	w.delivered++
	if p.IsOpening() {
		if u := a.upstream; u != nil && u.flows[p.KeyFromCaller()] != nil {
			return // a copy for a flow that the upstream has accepted
		}
		if a.cfg.IsDomainOut(domain(a)) {
			w.fail("agent %v opened a flow in a failure domain that it knows to be out", a.endpoint)
		}
		if u := a.core.Upstream(); u == nil || u.State != flow.Serving {
			w.fail("agent %v opened a flow at an upstream that it knows to leave", a.endpoint)
		}
		return
	}
	c := w.callers[p.KeyFromCaller()]
	if c == nil || c.holder == nil || c.at == a || p.Tag != 0 {
		return
	}
	if c.at.upstream == c.holder {
		w.fail("agent %v delivered a packet of a flow that is open at %v", a.endpoint, c.at.endpoint)
	}
}

// toUpstream is what an upstream does with a packet.
func (w *world) toUpstream(a *agent, u *upstream, p flow.Packet) {
	if u == nil || a.upstream != u {
		return
	}
	key := p.KeyFromCaller()
	s := u.flows[key]
	switch {
	case p.IsOpening():
		w.accept(a, u, key, s, &p)
	case s == nil, p.Acknowledged != s.start+1: // not held, or open elsewhere
		back := p
		back.Bounced = true
		w.outbound(a, u, back)
	default:
		s.open = true
		if p.DataLength > 0 {
			answer := flow.Packet{Source: key.Service, Destination: key.Caller, Ack: true, Sequence: s.start + 1, DataLength: 9}
			w.after(time.Duration(5+w.random.IntN(30))*time.Millisecond, func() { w.outbound(a, u, answer) })
		}
	}
}

func (w *world) accept(a *agent, u *upstream, key flow.Key, s *served, p *flow.Packet) {
	if s == nil {
		s = &served{start: w.random.Uint32()}
		u.flows[key] = s
		w.checkRamp(a, u)
	}
	w.outbound(a, u, flow.Packet{Source: key.Service, Destination: key.Caller, Open: true, Ack: true, Sequence: s.start, Acknowledged: p.Sequence + 1})
}

// checkRamp checks the limit of a cold upstream in every second.
func (w *world) checkRamp(a *agent, u *upstream) {
	if w.now.After(u.coldTill) {
		return
	}
	u.opened = append(u.opened, w.now)
	if n := len(u.opened); n > coldPerSecond && w.now.Sub(u.opened[n-1-coldPerSecond]) < time.Second {
		w.fail("the cold upstream of %v got %d flows within a second", a.endpoint, coldPerSecond+1)
	}
}

func (w *world) outbound(a *agent, u *upstream, p flow.Packet) {
	if a.down || a.upstream != u {
		return
	}
	p, _ = unpack(pack(p))
	w.fromAgent(a, a.core.HandleUpstreamPacket(w.now, &p))
}

// open starts a flow through some balancer.
func (w *world) open() {
	w.lastPort++
	key := flow.Key{Caller: flow.Endpoint{IP: [4]byte{100, 64, 0, byte(w.random.IntN(4))}, Port: w.lastPort}, Service: address}
	c := &caller{key: key, sequence: w.random.Uint32(), started: w.now}
	w.callers[key] = c
	for i, d := range []time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond} {
		w.after(d, func() {
			if c.holder == nil && !c.over {
				w.write(c, flow.Packet{Open: true, Sequence: c.sequence, Acknowledged: uint32(i)})
			}
		})
	}
	w.after(1400*time.Millisecond, func() { c.over = c.over || c.holder == nil })
}

// write hands a packet to any balancer, as the fabric does.
func (w *world) write(c *caller, p flow.Packet) {
	p.Source, p.Destination = c.key.Caller, c.key.Service
	raw := pack(p)
	b := w.balancers[w.random.IntN(len(w.balancers))]
	w.carry(func() {
		if b.down {
			return
		}
		p, _ := unpack(append([]byte(nil), raw...))
		w.fromBalancer(b, b.core.HandleCallerPacket(w.now, &p))
	})
}

func (w *world) toCaller(a *agent, p flow.Packet) {
	c := w.callers[p.KeyFromUpstream()]
	if c == nil || c.over {
		return
	}
	if p.Open && p.Ack && c.holder == nil {
		c.holder, c.at, c.start = a.upstream, a, p.Sequence
		w.talk(c, 0)
	}
	if p.DataLength > 0 {
		if p.Sequence != c.start+1 {
			w.fail("a caller got an answer of another stream")
		}
		w.answers++
	}
}

// talk sends requests on an open flow now and then.
func (w *world) talk(c *caller, count int) {
	if c.over || count > 8 {
		c.over = true
		return
	}
	w.write(c, flow.Packet{Ack: true, Sequence: c.sequence + 1 + uint32(count), Acknowledged: c.start + 1, DataLength: 1})
	w.after(time.Duration(50+w.random.IntN(1500))*time.Millisecond, func() { w.talk(c, count+1) })
}

// toCallerReset checks a reset and ends the flow.
func (w *world) toCallerReset(key flow.Key, sequence uint32, reason string, by flow.Endpoint) {
	c := w.callers[key]
	if c == nil || c.over {
		return
	}
	if off := int32(sequence - c.start - 1); c.holder != nil && (off > resetWindow || off < -resetWindow) {
		return // callers ignore it
	}
	w.resets++
	c.over = true
	if c.holder == nil || c.at.upstream != c.holder || c.holder.flows[key] == nil || !c.holder.flows[key].open {
		return
	}
	if w.now.Sub(c.at.faultAt) < contact || c.at.down {
		return
	}
	w.fail("%v reset flow %v for %q, open since %v at %v", by, key, reason, w.now.Sub(c.started), c.at.endpoint)
}

// trouble brings about one fault or planned change.
func (w *world) trouble() {
	a := w.agents[w.random.IntN(len(w.agents))]
	b := w.balancers[w.random.IntN(len(w.balancers))]
	switch w.random.IntN(8) {
	case 0: // a balancer starts anew
		w.startBalancer(b)
	case 1: // an agent starts anew beside its upstream
		a.down = true
		a.record.Incarnation++
		w.after(time.Duration(w.random.IntN(800))*time.Millisecond, func() { w.startAgent(a) })
	case 2: // an upstream starts anew
		a.upstream = nil
		a.faultAt = w.now
		w.after(time.Duration(w.random.IntN(500))*time.Millisecond, func() { w.startUpstream(a) })
	case 3: // an upstream leaves, another comes
		w.drain(a)
	case 4, 5: // a failure domain is taken out or back
		w.change(func(c *config.Config) {
			c.Domains = nil
			if !w.cfg.IsDomainOut("a") {
				c.Domains = []config.Domain{{Name: "a", Number: 1, Out: true}}
			}
		})
	case 6: // a change that concerns nobody here
		w.change(func(*config.Config) {})
	case 7: // all balancers start anew
		for _, b := range w.balancers {
			w.startBalancer(b)
		}
	}
}

func (w *world) drain(a *agent) {
	u := a.upstream
	if u == nil || u.draining {
		return
	}
	u.draining = true
	w.after(4*time.Second, func() {
		if a.upstream != u {
			return
		}
		a.upstream = nil
		a.faultAt = w.now
		if !a.down {
			a.core.HandleDeparture(u.id)
		}
		w.after(300*time.Millisecond, func() {
			if a.upstream == nil {
				w.startUpstream(a)
			}
		})
	})
}

// change spreads a new configuration, unevenly.
func (w *world) change(edit func(*config.Config)) {
	next := w.cfg.Clone()
	edit(next)
	next.Revision++
	w.cfg = next
	for _, b := range w.balancers {
		w.after(time.Duration(w.random.IntN(1500))*time.Millisecond, func() { w.configureBalancer(b, next) })
	}
	for _, a := range w.agents {
		w.after(time.Duration(w.random.IntN(1500))*time.Millisecond, func() { w.configureAgent(a, next) })
	}
}

// TestModel plays minutes of virtual time. MODEL_FIRST, MODEL_SEEDS and
// MODEL_MINUTES choose other seeds and longer runs.
func TestModel(t *testing.T) {
	first, seeds, minutes := envint.Get(t, "MODEL_FIRST", 1), envint.Get(t, "MODEL_SEEDS", 6), envint.Get(t, "MODEL_MINUTES", 2)
	for seed := first; seed < first+seeds; seed++ {
		w := newWorld(t, uint64(seed))
		w.run(5 * time.Second)
		for range minutes * 60 * 10 {
			for range 4 {
				w.open()
			}
			if w.random.IntN(25) == 0 {
				w.trouble()
			}
			w.run(100 * time.Millisecond)
			w.forget()
		}
		if w.answers < w.delivered/20 {
			w.fail("%d answers for %d packets delivered", w.answers, w.delivered)
		}
		t.Logf("seed %d: %d packets delivered, %d answers, %d resets", w.seed, w.delivered, w.answers, w.resets)
	}
}

// forget drops the callers that are done, and the upstreams' memory of them.
func (w *world) forget() {
	for key, c := range w.callers {
		if !c.over || w.now.Sub(c.started) < 30*time.Second {
			continue
		}
		delete(w.callers, key)
		for _, a := range w.agents {
			if a.upstream != nil {
				delete(a.upstream.flows, key)
			}
		}
	}
}
