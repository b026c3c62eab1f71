package ctrl_test

import (
	"context"
	"io"
	"log/slog"
	"net/netip"
	"testing"
	"time"

	"github.com/coriandershift/coriandershift/internal/coordination/member"
	"github.com/coriandershift/coriandershift/internal/protocol/gossip"
	"github.com/coriandershift/coriandershift/internal/standin/ports"
	"github.com/coriandershift/coriandershift/internal/state/config"
	"github.com/coriandershift/coriandershift/internal/state/keyset"
	"github.com/coriandershift/coriandershift/internal/state/roster"
	"github.com/coriandershift/coriandershift/internal/transport/ctrl"
	"github.com/coriandershift/coriandershift/internal/transport/metric"
)

// configBound is the platform's limit on the time until a change is in force.
const configBound = 3 * time.Second

// hangingFetcher is a ConfigFetcher to which one peer never answers.
type hangingFetcher struct{ unreachable netip.AddrPort }

func (f hangingFetcher) Fetch(ctx context.Context, admin netip.AddrPort, _ *config.Config) (*config.Config, error) {
	if admin == f.unreachable {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return &config.Config{Revision: 5}, nil
}

// Guards against a process that fetches a change again and again from a peer which it hears
// and cannot reach, while another peer offers it too (second review, case 8).
func TestAChangeIsInForceThoughAPeerThatIsHeardCannotBeReached(t *testing.T) {
	address, err := ports.FreeUDP()
	if err != nil {
		t.Fatal(err)
	}
	keys := keyset.Set{ClusterKey: make([]byte, keyset.KeyLength)}
	unreachable, reachable := netip.MustParseAddrPort("10.0.0.1:7721"), netip.MustParseAddrPort("10.0.0.2:7721")
	plane, err := ctrl.Listen(ctrl.Options{
		Self: roster.Member{Address: address, Role: roster.Agent, Domain: "a", Service: "svc", Admin: address, Incarnation: 1},
		Keys: keys, Log: slog.New(slog.NewTextHandler(io.Discard, nil)), Metrics: metric.New(), ConfigFetcher: hangingFetcher{unreachable},
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { plane.Conn().Close() })

	offer := func(admin netip.AddrPort) {
		datagram, err := gossip.New(keys).Seal(&member.Message{
			Kind: member.Ack, Revision: 5,
			From: roster.Member{Address: netip.AddrPortFrom(admin.Addr(), 7720), Admin: admin, Role: roster.Balancer, Domain: "b", Incarnation: 1},
		})
		if err != nil {
			t.Fatal(err)
		}
		plane.HandleControl(datagram)
	}
	// The reachable peer's offers come while a fetch from the other one runs.
	for start, step := time.Now(), 0; plane.Config().Revision != 5; step++ {
		if time.Since(start) >= configBound {
			t.Fatalf("not in force after %v", configBound)
		}
		offer(unreachable)
		if step%10 == 3 {
			offer(reachable)
		}
		time.Sleep(50 * time.Millisecond)
	}
}
