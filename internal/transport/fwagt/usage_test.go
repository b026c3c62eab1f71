package fwagt_test

import (
	"context"
	"log/slog"
	"net"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/coriandershift/coriandershift/internal/protocol/fwdmsg"
	"github.com/coriandershift/coriandershift/internal/standin/ports"
	"github.com/coriandershift/coriandershift/internal/state/flow"
	"github.com/coriandershift/coriandershift/internal/state/keyset"
	"github.com/coriandershift/coriandershift/internal/state/roster"
	"github.com/coriandershift/coriandershift/internal/transport/ctrl"
	"github.com/coriandershift/coriandershift/internal/transport/fwagt"
	"github.com/coriandershift/coriandershift/internal/transport/metric"
	"github.com/coriandershift/coriandershift/platform"
)

const waitTimeout = 5 * time.Second

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

func TestAnAgentCountsWhatItsLinkCarries(t *testing.T) {
	tests := map[string]struct {
		linkRate int
		want     map[string]string
	}{
		"rate known": {1_250_000, map[string]string{
			`{direction="in",kind="query"}`: "1", `{direction="in",kind="data"}`: "1", `{direction="out",kind="reply"}`: "1",
		}},
		"rate not known": {0, map[string]string{}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var free [3]netip.AddrPort
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
				Self: roster.Member{Address: free[0], Role: roster.Agent, Service: "svc", Domain: "a", Incarnation: 1},
				Keys: keys, Log: log, Metrics: metrics,
			})
			if err != nil {
				t.Fatal(err)
			}
			agent, err := fwagt.Listen(fwagt.Options{
				Log: log, Metrics: metrics, Control: plane, PacketCodec: platform.PacketCodec{}, Keys: keys, Service: "svc",
				Upstream: free[1], Outbound: free[2], CallerPort: 9, LinkRate: test.linkRate,
			})
			if err != nil {
				t.Fatal(err)
			}
			ctx, stop := context.WithCancel(t.Context())
			t.Cleanup(stop)
			go func() { _ = agent.Run(ctx) }()

			balancer, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { balancer.Close() })
			question := fwdmsg.AppendQuestions(nil, []fwdmsg.Question{{}})
			query := fwdmsg.New(keys).Append(nil, &fwdmsg.Envelope{
				Kind: fwdmsg.Query, QueryID: 1, Balancer: flow.EndpointOf(balancer.LocalAddr().(*net.UDPAddr).AddrPort()),
			}, question)
			for _, datagram := range [][]byte{{0}, query} {
				if _, err := balancer.WriteToUDPAddrPort(datagram, free[0]); err != nil {
					t.Fatal(err)
				}
			}
			if err := balancer.SetReadDeadline(time.Now().Add(waitTimeout)); err != nil {
				t.Fatal(err)
			}
			if _, err := balancer.Read(make([]byte, ctrl.MaxDatagram)); err != nil {
				t.Fatal(err)
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
