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

// An agent that was started and stopped beside an upstream that had ended left
// without saying so: for five seconds callers of lost flows heard nothing.
func TestAnAgentThatNeverHeardItsUpstreamLooksForItBeforeItLeaves(t *testing.T) {
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
	l, err := ctrl.Listen(ctrl.Options{Self: self, Keys: keys, Log: log, Metrics: metrics})
	if err != nil {
		t.Fatal(err)
	}
	o, err := fwagt.Listen(fwagt.Options{
		Log: log, Metrics: metrics, Control: l, PacketCodec: platform.PacketCodec{}, Keys: keys, Service: "svc",
		Upstream: free[1], Outbound: free[2], CallerPort: 9,
	})
	if err != nil {
		t.Fatal(err)
	}
	o.Stop(0)
	if got := l.Self(); got.State != roster.Dead || !got.NoFlows {
		t.Errorf("it leaves as %v, empty %v", got.State, got.NoFlows)
	}
}
