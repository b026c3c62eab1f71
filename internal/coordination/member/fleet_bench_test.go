package member_test

import (
	"bytes"
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/coriandershift/coriandershift/internal/coordination/member"
	"github.com/coriandershift/coriandershift/internal/protocol/gossip"
	"github.com/coriandershift/coriandershift/internal/state/keyset"
	"github.com/coriandershift/coriandershift/internal/state/roster"
)

const (
	udpHeaders = 28 // bytes of IPv4 and UDP headers
	quietTime  = 30 * time.Second
)

// BenchmarkFleet measures what the membership costs one balancer and one agent
// each second, in a quiet fleet of one balancer for six agents. The bytes are
// those of the sealed datagrams with their headers, sent and received.
func BenchmarkFleet(b *testing.B) {
	for _, balancers := range []int{3, 10, 30, 60, 100} {
		b.Run(fmt.Sprintf("balancers=%d", balancers), func(b *testing.B) {
			for b.Loop() {
				measureFleet(b, balancers, 6*balancers)
			}
		})
	}
}

func measureFleet(b *testing.B, balancers, agents int) {
	f := newFleet(b, 1, balancers, agents)
	f.run(60 * time.Second)

	f.size = sealedSize(b)
	f.sent = map[member.MessageKind]int{}
	f.traffic = map[roster.Role]int{}

	started := time.Now()
	f.run(quietTime)
	took := time.Since(started)

	seconds := quietTime.Seconds()
	b.ReportMetric(float64(f.traffic[roster.Balancer])/float64(balancers)/seconds, "B/s/balancer")
	b.ReportMetric(float64(f.traffic[roster.Agent])/float64(agents)/seconds, "B/s/agent")
	b.ReportMetric(took.Seconds()*1e6/float64(balancers+agents)/seconds, "us/s/node")
	b.ReportMetric(float64(heapOf(f))/float64(balancers)/float64(balancers+agents), "B/member/balancer")
}

// BenchmarkFleetChange measures what one change of an agent costs each balancer
// in bytes, sent and received, beyond what a quiet fleet costs.
func BenchmarkFleetChange(b *testing.B) {
	for _, balancers := range []int{10, 30, 100} {
		b.Run(fmt.Sprintf("balancers=%d", balancers), func(b *testing.B) {
			for b.Loop() {
				f := newFleet(b, 1, balancers, 6*balancers)
				f.run(60 * time.Second)
				f.size = sealedSize(b)
				quiet := f.balancerBytes(func() {})
				busy := f.balancerBytes(func() { f.nodes[len(f.nodes)-1].node.SetWeight(uint8(1 + f.random.IntN(99))) })
				b.ReportMetric(float64(busy-quiet)/float64(balancers)/changes, "B/change/balancer")
			}
		})
	}
}

// changes is how often something changes in a measurement, two seconds apart.
const changes = 10

func (f *fleet) balancerBytes(change func()) int {
	f.traffic = map[roster.Role]int{}
	for range changes {
		change()
		f.run(2 * time.Second)
	}
	return f.traffic[roster.Balancer]
}

func sealedSize(b *testing.B) func(member.Message) int {
	codec := gossip.New(keyset.Set{ClusterKey: bytes.Repeat([]byte{1}, keyset.KeyLength)})
	return func(m member.Message) int {
		datagram, err := codec.Seal(&m)
		if err != nil {
			b.Fatal(err)
		}
		return len(datagram) + udpHeaders
	}
}

func heapOf(f *fleet) uint64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&stats)
	runtime.KeepAlive(f)
	return stats.HeapAlloc
}
