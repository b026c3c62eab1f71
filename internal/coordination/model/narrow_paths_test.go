package model_test

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/coriandershift/coriandershift/internal/coordination/fanout"
	"github.com/coriandershift/coriandershift/internal/coordination/owner"
	"github.com/coriandershift/coriandershift/internal/protocol/fwdmsg"
	"github.com/coriandershift/coriandershift/internal/state/flow"
)

// packNarrow is pack with the size that the packet has on the platform.
func packNarrow(p flow.Packet) []byte {
	return append(pack(p)[:headerLength], make([]byte, p.DataLength)...)
}

// unpackAged is unpack, but sets SinceFirstSent by the number of the retransmission.
func unpackAged(raw []byte) flow.Packet {
	p, _ := unpack(raw)
	if p.IsOpening() {
		p.SinceFirstSent = openingDelays[p.Acknowledged]
	}
	return p
}

// sendFromCaller sends a caller's packet to the balancer that the fabric assigns to its flow.
func (ns *narrowSim) sendFromCaller(f *narrowFlow, p flow.Packet) {
	p.Source, p.Destination = f.key.Caller, f.key.Service
	raw, size := packNarrow(p), packetSize(p.DataLength)
	b := ns.assigned(f.key)
	if b == nil {
		return
	}
	ns.travel(callerDelay, xxhash.Sum64(raw), func() {
		b.received.add(ns.elapsed(), size)
		delay, ok := b.in.send(ns.now, size)
		if !ok {
			return
		}
		ns.schedule(delay, func() {
			p := unpackAged(raw)
			if b.core != nil {
				ns.runBalancerActions(b, b.core.HandleCallerPacket(ns.now, &p))
			}
		})
	})
}

// assigned returns the balancer to which the fabric delivers the packets of a flow: the
// hash modulo the number of balancers in the rotation, so that nearly all flows move
// when it changes.
func (ns *narrowSim) assigned(key flow.Key) *narrowBalancer {
	if len(ns.rotation) == 0 {
		return nil
	}
	hash := key.Hash() * 0x9e3779b97f4a7c15 // unlike the hash by which agents are ranked
	return ns.balancers[ns.rotation[int(hash>>33)%len(ns.rotation)]]
}

// sendToAgent delivers a message to an agent after a delay of the sender's link.
func (ns *narrowSim) sendToAgent(delay time.Duration, a *narrowAgent, e fwdmsg.Envelope, payload []byte) {
	ns.travel(delay+vmDelay, messageID(&e, uint64(a.index), payload), func() {
		if a.cut {
			return
		}
		switch e.Kind {
		case fwdmsg.CallerPacket:
			p := unpackAged(payload)
			ns.runAgentActions(a, a.core.HandleBalancerPacket(ns.now, &e, &p))
		case fwdmsg.Query:
			if questions, err := fwdmsg.ParseQuestions(payload); err == nil {
				ns.runAgentActions(a, a.core.HandleQuery(ns.now, &e, questions))
			}
		case fwdmsg.DelegatedQuery:
			if asked, err := fwdmsg.ParseDelegation(payload); err == nil {
				messages, _ := a.collector.Start(ns.now, &e, asked)
				ns.sendForBalancer(a, messages)
			}
		case fwdmsg.QueryReply:
			ns.sendForBalancer(a, a.collector.HandleReply(&e, payload))
		}
	})
}

// runAgentActions carries out the actions of an agent, sorted like those of balancers.
func (ns *narrowSim) runAgentActions(a *narrowAgent, actions []owner.Action) {
	sorted := slices.Clone(actions)
	slices.SortStableFunc(sorted, func(x, y owner.Action) int { return cmp.Compare(x.Key.String(), y.Key.String()) })
	for i := range sorted {
		action := &sorted[i]
		e, packet := clone(action.Envelope, action.Packet)
		if action.Kind == owner.Deliver {
			ns.schedule(0, func() {
				p, _ := unpack(packet)
				ns.deliverToUpstream(a, &p)
			})
			continue
		}
		if a.cut {
			continue
		}
		switch action.Kind {
		case owner.Answer:
			ns.travel(callerDelay, xxhash.Sum64(packet), func() {
				p, _ := unpack(packet)
				ns.deliverToCaller(a, &p)
			})
		case owner.Forward:
			if e.Kind == fwdmsg.ReturnedPacket {
				ns.sendToBalancer(action.To, e, packet)
			} else {
				ns.sendToAgent(0, ns.agents[action.To.IP[3]], e, packet)
			}
		case owner.Notify:
			if e.Kind == fwdmsg.Notice {
				packet = action.Key.Append(nil)
			}
			if isAgent(action.To) {
				ns.sendToAgent(0, ns.agents[action.To.IP[3]], e, packet)
			} else {
				ns.sendToBalancer(action.To, e, packet)
			}
		case owner.Reset:
			key := action.Key
			ns.travel(callerDelay, key.Hash(), func() { ns.resetFlow(key) })
		}
	}
}

// isAgent reports whether an address is that of an agent, as a delegate's is.
func isAgent(e flow.Endpoint) bool { return e == agentAddress(int(e.IP[3])) }

// sendForBalancer sends the messages of a delegate.
func (ns *narrowSim) sendForBalancer(a *narrowAgent, messages []fanout.Message) {
	for _, m := range messages {
		e, payload := clone(m.Envelope, m.Payload)
		switch {
		case a.cut:
		case isAgent(m.To):
			ns.sendToAgent(0, ns.agents[m.To.IP[3]], e, payload)
		default:
			ns.sendToBalancer(m.To, e, payload)
		}
	}
}

func (ns *narrowSim) sendToBalancer(to flow.Endpoint, e fwdmsg.Envelope, payload []byte) {
	b := ns.balancers[to.IP[3]]
	size := messageSize(&e, len(payload))
	ns.travel(vmDelay, messageID(&e, uint64(b.index), payload), func() {
		b.received.add(ns.elapsed(), size)
		if e.Kind != fwdmsg.Notice && e.Kind != fwdmsg.ReturnedPacket {
			b.ownReceived.add(ns.elapsed(), size)
		}
		delay, ok := b.in.send(ns.now, size)
		if !ok {
			return
		}
		ns.schedule(delay, func() {
			if b.core != nil {
				ns.runBalancerActions(b, b.core.HandleAgentMessage(ns.now, &e, payload, unpack))
			}
		})
	})
}
