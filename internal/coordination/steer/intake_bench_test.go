package steer_test

import (
	"testing"
	"time"

	"github.com/coriandershift/coriandershift/internal/coordination/steer"
)

// BenchmarkKnownFlowByLinkRate routes full packets of uploads that have not ended.
func BenchmarkKnownFlowByLinkRate(b *testing.B) {
	rates := map[string]int{"none": 0, "10Mbit": 1_250_000, "1000Mbit": 125_000_000}
	for name, rate := range rates {
		for waitingName, waiting := range map[string]bool{"": false, "/waiting": true} {
			if waiting && rate != 1_250_000 {
				continue
			}
			b.Run(name+waitingName, func(b *testing.B) {
				r := steer.New(self, "a", start.Add(-time.Minute), steer.WithLinkRate(rate))
				r.Configure(start, newConfig(1, "svc"))
				r.UpdateMembers(start, agents("svc", 10))
				r.Tick(start)
				if waiting {
					r = uploadRouter(agents("svc", 10)...)
					open(r, 1, steer.LinkQueued)
				}
				r.HandleCallerPacket(start, openingFrom(1))
				e, payload := notice(openingFrom(1), endpoint(10))
				r.HandleAgentMessage(start, e, payload, parse)
				p := uploadPacket(1, 0)
				now := start
				b.ReportAllocs()
				for b.Loop() {
					p.Sequence += 1200
					if !waiting {
						now = now.Add(time.Millisecond)
					}
					r.HandleCallerPacket(now, p)
				}
			})
		}
	}
}
