package fwagt_test

import (
	"io"
	"log/slog"
	"net/netip"
	"testing"

	"github.com/coriandershift/coriandershift/internal/standin/ports"
	"github.com/coriandershift/coriandershift/internal/state/keyset"
	"github.com/coriandershift/coriandershift/internal/state/roster"
	"github.com/coriandershift/coriandershift/internal/transport/ctrl"
	"github.com/coriandershift/coriandershift/internal/transport/fwagt"
	"github.com/coriandershift/coriandershift/internal/transport/metric"
	"github.com/coriandershift/coriandershift/platform"
)

// Guards against an agent that starts and stops while its upstream is gone, without
// announcing that it has no flows: callers of lost flows then got no answer for five
// seconds.
func TestAnAgentWhoseUpstreamNeverAnnouncedItselfProbesItBeforeExit(t *testing.T) {
	var free [3]netip.AddrPort
	for i := range free {
		address, err := ports.FreeUDP()
		if err != nil {
			t.Fatal(err)
		}
		free[i] = address
	}
	self := roster.Member{
		Address: free[0], Role: roster.Agent, Service: "svc", Domain: "a", Incarnation: 1,
	}
	keys := keyset.Set{ClusterKey: make([]byte, keyset.KeyLength)}
	log, metrics := slog.New(slog.NewTextHandler(io.Discard, nil)), metric.New()
	plane, err := ctrl.Listen(ctrl.Options{Self: self, Keys: keys, Log: log, Metrics: metrics})
	if err != nil {
		t.Fatal(err)
	}
	agent, err := fwagt.Listen(fwagt.Options{
		Log: log, Metrics: metrics, Control: plane, PacketCodec: platform.PacketCodec{}, Keys: keys, Service: "svc",
		Upstream: free[1], Outbound: free[2], CallerPort: 9,
	})
	if err != nil {
		t.Fatal(err)
	}
	agent.Stop(0)
	if got := plane.Self(); got.State != roster.Dead || !got.NoFlows {
		t.Errorf("state %v, without flows %v after Stop", got.State, got.NoFlows)
	}
}
