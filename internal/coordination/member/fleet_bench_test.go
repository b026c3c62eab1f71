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
	udpHeaders  = 28               // bytes of IPv4 and UDP headers
	measureTime = 30 * time.Second // virtual time of one measurement
)

// BenchmarkFleet measures the cost of the membership protocol in a fleet in which
// nothing changes, with six agents for each balancer: bytes per second at one
// balancer and at one agent, processor time per second of virtual time and node,
// and heap per member and balancer. The bytes are those of the sealed datagrams with
// their headers, sent and received.
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

	f.messageSize = sealedSize(b)
	f.sent = map[member.MessageKind]int{}
	f.traffic = map[roster.Role]int{}

	started := time.Now()
	f.run(measureTime)
	elapsed := time.Since(started)

	seconds := measureTime.Seconds()
	b.ReportMetric(float64(f.traffic[roster.Balancer])/float64(balancers)/seconds, "B/s/balancer")
	b.ReportMetric(float64(f.traffic[roster.Agent])/float64(agents)/seconds, "B/s/agent")
	b.ReportMetric(elapsed.Seconds()*1e6/float64(balancers+agents)/seconds, "us/s/node")
	b.ReportMetric(float64(heapBytes(f))/float64(balancers)/float64(balancers+agents), "B/member/balancer")
}

// BenchmarkFleetChange measures the bytes that one change of an agent causes at
// each balancer, sent and received, beyond those of a fleet in which nothing changes.
func BenchmarkFleetChange(b *testing.B) {
	for _, balancers := range []int{10, 30, 100} {
		b.Run(fmt.Sprintf("balancers=%d", balancers), func(b *testing.B) {
			for b.Loop() {
				f := newFleet(b, 1, balancers, 6*balancers)
				f.run(60 * time.Second)
				f.messageSize = sealedSize(b)
				quiet := f.balancerBytes(func() {})
				busy := f.balancerBytes(func() { f.nodes[len(f.nodes)-1].node.SetWeight(uint8(1 + f.random.IntN(99))) })
				b.ReportMetric(float64(busy-quiet)/float64(balancers)/changes, "B/change/balancer")
			}
		})
	}
}

// changes is the number of changes in one measurement, two seconds apart.
const changes = 10

// balancerBytes calls change a number of times and returns the bytes that all
// balancers sent and received meanwhile.
func (f *fleet) balancerBytes(change func()) int {
	f.traffic = map[roster.Role]int{}
	for range changes {
		change()
		f.run(2 * time.Second)
	}
	return f.traffic[roster.Balancer]
}

// sealedSize returns a function that returns the length of a message's datagram
// with its headers, in bytes.
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

// heapBytes returns the size of the live heap while the fleet is in use.
func heapBytes(f *fleet) uint64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&stats)
	runtime.KeepAlive(f)
	return stats.HeapAlloc
}
