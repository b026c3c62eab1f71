package fwbal_test

import (
	"context"
	"encoding/binary"
	"fmt"
	"log/slog"
	"net"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/coriandershift/coriandershift"
	"github.com/coriandershift/coriandershift/internal/standin/ports"
	"github.com/coriandershift/coriandershift/internal/state/config"
	"github.com/coriandershift/coriandershift/internal/state/flow"
	"github.com/coriandershift/coriandershift/internal/state/keyset"
	"github.com/coriandershift/coriandershift/internal/state/roster"
	"github.com/coriandershift/coriandershift/internal/transport/ctrl"
	"github.com/coriandershift/coriandershift/internal/transport/fwbal"
	"github.com/coriandershift/coriandershift/internal/transport/metric"
)

const (
	waitTimeout = 10 * time.Second

	// holdTime is more than the time after its start for which a balancer holds packets.
	holdTime = 600 * time.Millisecond

	// maxUnrouted is the number of opening packets that wait for a route at a balancer.
	maxUnrouted = 512
)

// openings is a PacketCodec that takes every datagram for an opening packet of a caller
// at an address where nothing listens. Its first two bytes are the caller's port.
type openings struct{ coriandershift.PacketCodec }

func (openings) Parse(datagram []byte) (flow.Packet, error) {
	source := flow.Endpoint{IP: [4]byte{127, 0, 0, 2}, Port: binary.BigEndian.Uint16(datagram)}
	return flow.Packet{Source: source, Open: true, Raw: datagram}, nil
}

func (openings) AppendReset(dst []byte, _ flow.Key, _ uint32) []byte {
	return append(dst, make([]byte, 31)...)
}

// emptyStore is a Store without entries.
type emptyStore struct{ coriandershift.Store }

func (emptyStore) ObserveEra(uint64) uint64 { return 0 }

func (emptyStore) Get(context.Context, string) (coriandershift.Entry, error) {
	return coriandershift.Entry{}, coriandershift.ErrNotFound
}

func (emptyStore) GetStale(context.Context, string) (coriandershift.Entry, error) {
	return coriandershift.Entry{}, coriandershift.ErrNotFound
}

// linkSeries returns the series of datagrams over the link that are not 0 and not of the
// membership protocol.
func linkSeries(metrics *metric.Set) map[string]string {
	recorder := httptest.NewRecorder()
	metrics.Handler().ServeHTTP(recorder, httptest.NewRequest("GET", "/metrics", nil))
	series := map[string]string{}
	for line := range strings.Lines(recorder.Body.String()) {
		name, value, _ := strings.Cut(strings.TrimSpace(line), " ")
		name, found := strings.CutPrefix(name, "coriandershift_link_datagrams_total")
		if found && value != "0" && !strings.Contains(name, "membership") {
			series[name] = value
		}
	}
	return series
}

// No route leads to the destination of the packets. As many as may wait for one wait, and the
// last is answered with a reset.
func TestABalancerCountsWhatItsLinkCarries(t *testing.T) {
	tests := map[string]struct {
		linkRate int
		want     map[string]string
	}{
		"rate known":     {1_250_000, map[string]string{`{direction="in",kind="opening"}`: fmt.Sprint(maxUnrouted + 1), `{direction="out",kind="data"}`: "1"}},
		"rate not known": {0, map[string]string{}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var free [2]netip.AddrPort
			for i := range free {
				address, err := ports.FreeUDP()
				if err != nil {
					t.Fatal(err)
				}
				free[i] = address
			}
			keys := keyset.Set{ClusterKey: make([]byte, keyset.KeyLength)}
			log, metrics := slog.New(slog.DiscardHandler), metric.New()
			plane, err := ctrl.Listen(ctrl.Options{
				Self: roster.Member{Address: free[0], Role: roster.Balancer, Domain: "a", Incarnation: 1},
				Keys: keys, Log: log, Metrics: metrics, Store: emptyStore{},
			})
			if err != nil {
				t.Fatal(err)
			}
			balancer, err := fwbal.Listen(fwbal.Options{
				Log: log, Metrics: metrics, Control: plane, PacketCodec: openings{}, Keys: keys, LinkRate: test.linkRate,
				CallerAddress: free[1],
			})
			if err != nil {
				t.Fatal(err)
			}
			plane.Adopt(&config.Config{Revision: 1}, "test")
			ctx, stop := context.WithCancel(t.Context())
			t.Cleanup(stop)
			go func() { _ = balancer.Run(ctx) }()

			caller, err := net.DialUDP("udp4", nil, net.UDPAddrFromAddrPort(free[1]))
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { caller.Close() })
			time.Sleep(holdTime)
			for port := range uint16(maxUnrouted + 1) {
				if _, err := caller.Write(binary.BigEndian.AppendUint16(make([]byte, 0, 31), port)[:31]); err != nil {
					t.Fatal(err)
				}
				time.Sleep(100 * time.Microsecond) // the socket's buffer holds fewer
			}

			var diff string
			for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(time.Millisecond) {
				if diff = cmp.Diff(test.want, linkSeries(metrics)); diff == "" {
					return
				}
			}
			t.Error(diff)
		})
	}
}
