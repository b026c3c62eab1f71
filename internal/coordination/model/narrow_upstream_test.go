package model_test

import (
	"math"
	"time"

	"github.com/coriandershift/coriandershift/internal/state/flow"
)

// narrowServer is an upstream that runs one request in each slot and queues the others.
type narrowServer struct {
	busy  int
	queue []func()
	flows map[flow.Key]*serverFlow
}

// serverFlow is the upstream's end of a flow.
type serverFlow struct {
	key            flow.Key
	sequence       uint32 // initial sequence numbers of both ends
	callerSequence uint32
	sender         *streamSender
	receiver       streamReceiver
	arrived        int // requests that have arrived whole
}

// deliverToUpstream handles a caller's packet at an agent's upstream.
func (ns *narrowSim) deliverToUpstream(a *narrowAgent, p *flow.Packet) {
	key := p.KeyFromCaller()
	f := a.server.flows[key]
	if p.IsOpening() {
		if f == nil {
			f = ns.newServerFlow(a, key, p.Sequence)
			a.server.flows[key] = f
		}
		ns.sendFromUpstream(a, flow.Packet{Source: key.Service, Destination: key.Caller, Open: true, Ack: true, Sequence: f.sequence, Acknowledged: p.Sequence + 1})
		return
	}
	if f == nil {
		return
	}
	f.sender.acknowledge(int(int32(p.Acknowledged - f.sequence - 1)))
	if p.DataLength == 0 {
		return
	}
	acknowledgeNow := f.receiver.receive(int(int32(p.Sequence-f.callerSequence-1)), p.DataLength)
	requests := ns.flows[key].requests
	for f.arrived < len(requests) && f.receiver.received >= requests[f.arrived].requestEnd {
		r := requests[f.arrived]
		f.arrived++
		acknowledgeNow = true
		ns.enqueueWork(a, func() { ns.work(a, f, r) })
	}
	if acknowledgeNow {
		ns.sendFromUpstream(a, flow.Packet{Source: key.Service, Destination: key.Caller, Ack: true, Sequence: f.sequence + 1 + uint32(f.sender.sent), Acknowledged: f.acknowledgement()})
	}
}

func (f *serverFlow) acknowledgement() uint32 {
	return f.callerSequence + 1 + uint32(f.receiver.received)
}

func (ns *narrowSim) newServerFlow(a *narrowAgent, key flow.Key, callerSequence uint32) *serverFlow {
	f := &serverFlow{key: key, sequence: ns.flowsRandom.Uint32(), callerSequence: callerSequence}
	f.sender = &streamSender{schedule: ns.schedule, transmit: func(offset, length int) {
		caller := ns.flows[key]
		ns.sendFromUpstream(a, flow.Packet{
			Source: key.Service, Destination: key.Caller, Ack: true, Sequence: f.sequence + 1 + uint32(offset), Acknowledged: f.acknowledgement(),
			DataLength: length, Finish: !caller.route.keepsFlow && offset+length == f.sender.written,
		})
	}}
	return f
}

func (ns *narrowSim) sendFromUpstream(a *narrowAgent, p flow.Packet) {
	p, _ = unpack(packNarrow(p))
	ns.runAgentActions(a, a.core.HandleUpstreamPacket(ns.now, &p))
}

// enqueueWork runs a request at once if a slot is free.
func (ns *narrowSim) enqueueWork(a *narrowAgent, run func()) {
	s := a.server
	if s.busy == narrowSlots {
		s.queue = append(s.queue, run)
		return
	}
	s.busy++
	run()
}

// work runs a request, sends its response and continues with the next one in the queue.
func (ns *narrowSim) work(a *narrowAgent, f *serverFlow, r *narrowRequest) {
	ns.schedule(r.work, func() {
		f.sender.write(r.responseBytes)
		if s := a.server; len(s.queue) > 0 {
			next := s.queue[0]
			s.queue = s.queue[1:]
			next()
		} else {
			s.busy--
		}
	})
}

// lognormal returns a random value with a mean and the sigma of its logarithm.
func (ns *narrowSim) lognormal(mean, sigma float64) float64 {
	return mean * math.Exp(ns.callersRandom.NormFloat64()*sigma-sigma*sigma/2)
}

func (ns *narrowSim) exponential(mean time.Duration) time.Duration {
	return time.Duration(ns.callersRandom.ExpFloat64() * float64(mean))
}
