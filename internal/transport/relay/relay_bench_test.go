package relay_test

import (
	"bytes"
	"log/slog"
	"net"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/net/ipv4"

	"github.com/coriandershift/coriandershift/internal/coordination/route"
	"github.com/coriandershift/coriandershift/internal/state/config"
	"github.com/coriandershift/coriandershift/internal/state/connid"
	"github.com/coriandershift/coriandershift/internal/state/keyset"
	"github.com/coriandershift/coriandershift/internal/state/roster"
	"github.com/coriandershift/coriandershift/internal/transport/metric"
	"github.com/coriandershift/coriandershift/internal/transport/relay"
)

const (
	benchPayload = 1200 // bytes
	benchBatch   = 32   // datagrams
	benchSenders = 2
	benchTime    = 300 * time.Millisecond
)

var keys = keyset.Set{
	ConnectionIDKeys: map[uint8][]byte{0: bytes.Repeat([]byte{1}, keyset.KeyLength)},
	ClusterKey:       bytes.Repeat([]byte{2}, keyset.KeyLength),
}

func listen(b testing.TB) *net.UDPConn {
	b.Helper()
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		b.Fatal(err)
	}
	_ = conn.SetReadBuffer(4 << 20)
	b.Cleanup(func() { conn.Close() })
	return conn
}

func addressOf(conn *net.UDPConn) netip.AddrPort {
	return conn.LocalAddr().(*net.UDPAddr).AddrPort()
}

// startBalancer starts a balancer whose only agent is the sink, and returns the
// address of its service.
func startBalancer(b testing.TB, sink *net.UDPConn) netip.AddrPort {
	b.Helper()
	front := listen(b)
	address := addressOf(front)
	front.Close()

	ids := connid.New(keys)
	router := route.New(keys, ids)
	cfg := &config.Config{
		Revision: 1,
		Domains:  []config.Domain{{Name: "d1", Number: 1}},
		Services: []config.Service{{Name: "s", Number: 1, Addresses: []string{address.String()}}},
	}
	router.Configure(cfg, []roster.Member{{
		Address: addressOf(sink), Role: roster.Agent, Name: "a", Domain: "d1", Service: "s",
		State: roster.Alive, Weight: roster.MaxWeight,
	}})

	r := relay.New(relay.Options{
		Log: slog.New(slog.DiscardHandler), Metrics: metric.New(), Router: router, Keys: keys,
		InternalConn: listen(b), HandleControl: func([]byte) {},
	})
	if err := r.Update(cfg); err != nil {
		b.Fatal(err)
	}
	go func() { _ = r.Run(b.Context()) }()
	return address
}

// startBareRelay starts a relay that sends all datagrams to the sink unparsed, and
// returns its address.
func startBareRelay(b testing.TB, sink *net.UDPConn) netip.AddrPort {
	b.Helper()
	front, back := listen(b), listen(b)
	target := net.UDPAddrFromAddrPort(addressOf(sink))
	in, out := ipv4.NewPacketConn(front), ipv4.NewPacketConn(back)
	go func() {
		messages := make([]ipv4.Message, benchBatch)
		for i := range messages {
			messages[i].Buffers = [][]byte{make([]byte, 2048)}
		}
		sends := make([]ipv4.Message, benchBatch)
		for {
			count, err := in.ReadBatch(messages, 0)
			if err != nil {
				return
			}
			for i := range count {
				sends[i].Buffers = [][]byte{messages[i].Buffers[0][:messages[i].N]}
				sends[i].Addr = target
			}
			for rest := sends[:count]; len(rest) > 0; {
				sent, err := out.WriteBatch(rest, 0)
				if err != nil {
					sent = 1
				}
				rest = rest[sent:]
			}
		}
	}()
	return addressOf(front)
}

// measureRate floods an address for benchTime and returns the datagrams per second
// that reach the sink.
func measureRate(b testing.TB, to netip.AddrPort, sink *net.UDPConn, datagram []byte) float64 {
	b.Helper()
	var stop atomic.Bool
	for range benchSenders {
		conn, err := net.DialUDP("udp4", nil, net.UDPAddrFromAddrPort(to))
		if err != nil {
			b.Fatal(err)
		}
		go func() {
			defer conn.Close()
			flood(conn, datagram, &stop)
		}()
	}
	defer stop.Store(true)

	count := 0
	in := ipv4.NewPacketConn(sink)
	messages := make([]ipv4.Message, benchBatch)
	for i := range messages {
		messages[i].Buffers = [][]byte{make([]byte, 2048)}
	}
	started := time.Now()
	_ = sink.SetReadDeadline(started.Add(benchTime))
	for time.Since(started) < benchTime {
		n, err := in.ReadBatch(messages, 0)
		if err != nil {
			break
		}
		count += n
	}
	return float64(count) / time.Since(started).Seconds()
}

func flood(conn *net.UDPConn, datagram []byte, stop *atomic.Bool) {
	out := ipv4.NewPacketConn(conn)
	messages := make([]ipv4.Message, benchBatch)
	for i := range messages {
		messages[i].Buffers = [][]byte{datagram}
	}
	for !stop.Load() {
		_, _ = out.WriteBatch(messages, 0)
	}
}

// BenchmarkRelay alternates between a balancer and a bare relay to compare them.
func BenchmarkRelay(b *testing.B) {
	sinks := [2]*net.UDPConn{listen(b), listen(b)}
	balancer, bare := startBalancer(b, sinks[0]), startBareRelay(b, sinks[1])

	id := connid.New(keys).Seal(connid.Target{DomainNumber: 1, ServiceNumber: 1, Agent: addressOf(sinks[0])}, 1)
	datagram := make([]byte, benchPayload)
	datagram[0] = 0x40
	copy(datagram[1:], id[:])

	var balancerRate, bareRate float64
	for b.Loop() {
		balancerRate += measureRate(b, balancer, sinks[0], datagram)
		bareRate += measureRate(b, bare, sinks[1], datagram)
	}
	b.ReportMetric(balancerRate/float64(b.N), "balancer-datagrams/s")
	b.ReportMetric(bareRate/float64(b.N), "bare-datagrams/s")
	b.ReportMetric(balancerRate/bareRate, "ratio")
}
