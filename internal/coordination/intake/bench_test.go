package intake_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/coriandershift/coriandershift/internal/coordination/intake"
	"github.com/coriandershift/coriandershift/internal/state/config"
)

// BenchmarkObserve records packets of 8,000 transfers on 50 routes, 100 µs apart.
func BenchmarkObserve(b *testing.B) {
	c := intake.New(100 * linkRate)
	var routes []*config.Route
	for i := range 50 {
		routes = append(routes, &config.Route{Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 18, 1, byte(i)}), 443), Priority: i % 3, Objective: 800})
	}
	now := start
	i := 0
	b.ReportAllocs()
	for b.Loop() {
		i++
		now = now.Add(100 * time.Microsecond)
		c.Observe(now, dataOf(routes[i%50], byte(i%50), uint16(i%8000), i, 0), routes[i%50])
	}
}

// BenchmarkNextWhileManyWait asks for the next of the flows that wait for a full link,
// as with each packet.
func BenchmarkNextWhileManyWait(b *testing.B) {
	c, now := learned()
	small := &config.Route{Address: netip.MustParseAddrPort("198.18.0.9:443"), Priority: 1, Objective: 800}
	for i := range 50 {
		r := &config.Route{Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 18, 1, byte(i)}), 443), Objective: 800}
		send(c, now, r, byte(i), 1, 5)
	}
	now = now.Add(time.Second)
	for i := range 200 {
		c.Admit(now, openingOf(small, byte(i), 2), small)
	}
	fill(c, now, uploads)
	b.ReportAllocs()
	for b.Loop() {
		c.Next(now)
	}
}
