package owner_test

import (
	"runtime"
	"testing"

	"github.com/coriandershift/coriandershift/internal/coordination/owner"
	"github.com/coriandershift/coriandershift/internal/state/flow"
)

// BenchmarkWholeFlow measures a flow with one request, from its opening to its end.
func BenchmarkWholeFlow(b *testing.B) {
	o := newServingOwner()
	port := uint16(0)
	b.ReportAllocs()
	for b.Loop() {
		port++
		runWholeFlow(o, port)
	}
}

func runWholeFlow(o *owner.Owner, port uint16) {
	o.HandleBalancerPacket(start, envelope(), opening(port))
	o.HandleUpstreamPacket(start, openingAnswer(port))
	o.HandleBalancerPacket(start, envelope(), requestData(port))
	o.HandleUpstreamPacket(start, responseData(port))
	o.HandleBalancerPacket(start, envelope(), packet(port, func(p *flow.Packet) {
		p.Finish, p.Ack, p.Acknowledged = true, true, upstreamStart+201
	}))
	o.HandleUpstreamPacket(start, fromUpstream(port, func(p *flow.Packet) { p.Finish = true }))
	o.TakeCompletions()
}

// BenchmarkOpenFlows measures the memory of an open, idle flow.
func BenchmarkOpenFlows(b *testing.B) {
	const flows = 10000
	for b.Loop() {
		before := heapBytes()
		o := newServingOwner()
		for port := range uint16(flows) {
			o.HandleBalancerPacket(start, envelope(), opening(port))
			o.HandleUpstreamPacket(start, openingAnswer(port))
			o.HandleBalancerPacket(start, envelope(), requestData(port))
			o.HandleUpstreamPacket(start, responseData(port))
		}
		o.TakeCompletions()
		b.ReportMetric(float64(heapBytes()-before)/flows, "B/flow")
		runtime.KeepAlive(o)
	}
}

func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
