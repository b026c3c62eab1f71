package steer_test

import (
	"fmt"
	"testing"

	"github.com/coriandershift/coriandershift/internal/coordination/steer"
	"github.com/coriandershift/coriandershift/internal/state/flow"
	"github.com/coriandershift/coriandershift/internal/state/roster"
)

func routerWithAgents(count int) *steer.Router {
	var members []roster.Member
	for i := range count {
		m := agent(1, "svc")
		e := flow.Endpoint{IP: [4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)}, Port: 7000}
		m.Address = e.AddrPort()
		members = append(members, m)
	}
	return convergedRouter(members...)
}

func BenchmarkKnownFlow(b *testing.B) {
	for _, count := range []int{7, 50, 500} {
		b.Run(fmt.Sprintf("agents=%d", count), func(b *testing.B) {
			r := routerWithAgents(count)
			p := data(1)
			e, payload := notice(p, endpoint(1))
			r.HandleAgentMessage(start, e, payload, parse)
			b.ReportAllocs()
			for b.Loop() {
				r.HandleCallerPacket(start, p)
			}
		})
	}
}

func BenchmarkNewFlow(b *testing.B) {
	for _, count := range []int{7, 50, 500} {
		b.Run(fmt.Sprintf("agents=%d", count), func(b *testing.B) {
			r := routerWithAgents(count)
			port := uint16(0)
			b.ReportAllocs()
			for b.Loop() {
				port++
				p := opening(port)
				actions := r.HandleCallerPacket(start, p)
				if len(actions) == 0 {
					continue
				}
				e, payload := notice(p, actions[0].To)
				r.HandleAgentMessage(start, e, payload, parse)
			}
		})
	}
}

// BenchmarkChange applies one changed member record of 73,000 agents in 15,000 services.
func BenchmarkChange(b *testing.B) {
	const agentCount, serviceCount = 73000, 15000
	members := make([]roster.Member, agentCount)
	for i := range members {
		members[i] = agent(1, fmt.Sprint("svc", i%serviceCount))
		e := flow.Endpoint{IP: [4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)}, Port: 7000}
		members[i].Address = e.AddrPort()
	}
	r := convergedRouter(members...)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		m := &members[i%agentCount]
		m.Sequence++
		r.UpdateMembers(start, members[i%agentCount:i%agentCount+1])
	}
}
