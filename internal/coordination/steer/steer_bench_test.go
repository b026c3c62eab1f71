package steer_test

import (
	"fmt"
	"testing"

	"github.com/coriandershift/coriandershift/internal/coordination/steer"
	"github.com/coriandershift/coriandershift/internal/state/flow"
	"github.com/coriandershift/coriandershift/internal/state/roster"
)

func fleetOf(count int) *steer.Router {
	var members []roster.Member
	for i := range count {
		m := agent(1, "svc")
		e := flow.Endpoint{IP: [4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)}, Port: 7000}
		m.Address = e.AddrPort()
		members = append(members, m)
	}
	return settled(members...)
}

func BenchmarkKnownFlow(b *testing.B) {
	for _, count := range []int{7, 50, 500} {
		b.Run(fmt.Sprintf("agents=%d", count), func(b *testing.B) {
			s := fleetOf(count)
			p := data(1)
			e, payload := note(p, endpoint(1))
			s.HandleAgentMessage(start, e, payload, parse)
			b.ReportAllocs()
			for b.Loop() {
				s.HandleCallerPacket(start, p)
			}
		})
	}
}

func BenchmarkNewFlow(b *testing.B) {
	for _, count := range []int{7, 50, 500} {
		b.Run(fmt.Sprintf("agents=%d", count), func(b *testing.B) {
			s := fleetOf(count)
			port := uint16(0)
			b.ReportAllocs()
			for b.Loop() {
				port++
				p := opening(port)
				to := s.HandleCallerPacket(start, p)
				if len(to) == 0 {
					continue
				}
				e, payload := note(p, to[0].To)
				s.HandleAgentMessage(start, e, payload, parse)
			}
		})
	}
}

// BenchmarkChange takes one changed agent of 73,000 in 15,000 services into use.
func BenchmarkChange(b *testing.B) {
	const agentCount, serviceCount = 73000, 15000
	members := make([]roster.Member, agentCount)
	for i := range members {
		members[i] = agent(1, fmt.Sprint("svc", i%serviceCount))
		e := flow.Endpoint{IP: [4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)}, Port: 7000}
		members[i].Address = e.AddrPort()
	}
	s := settled(members...)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		m := &members[i%agentCount]
		m.Sequence++
		s.UpdateMembers(start, members[i%agentCount:i%agentCount+1])
	}
}
