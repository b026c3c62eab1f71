package admin_test

import (
	"context"
	"crypto/tls"
	"errors"
	"log/slog"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"github.com/coriandershift/coriandershift/internal/coordination/commit"
	"github.com/coriandershift/coriandershift/internal/standin/certs"
	"github.com/coriandershift/coriandershift/internal/standin/ports"
	standin "github.com/coriandershift/coriandershift/internal/standin/store"
	"github.com/coriandershift/coriandershift/internal/state/config"
	"github.com/coriandershift/coriandershift/internal/state/keyset"
	"github.com/coriandershift/coriandershift/internal/state/roster"
	"github.com/coriandershift/coriandershift/internal/transport/admin"
	"github.com/coriandershift/coriandershift/internal/transport/ctrl"
	"github.com/coriandershift/coriandershift/internal/transport/metric"
	"github.com/coriandershift/coriandershift/internal/transport/store"
)

// applyTimeout bounds the time until a change is in force at every balancer.
const applyTimeout = 7 * time.Second

// balancer is a balancer without its data path.
type balancer struct {
	control *ctrl.Plane
	admin   netip.AddrPort
	address netip.AddrPort
	stop    context.CancelFunc
}

type fleet struct {
	t           *testing.T
	tls         *tls.Config
	storeServer *standin.Store
	watches     *watchGate
	store       *store.Client
	client      *admin.Client
}

func newFleet(t *testing.T) *fleet {
	f := &fleet{t: t, tls: newTLS(t), storeServer: standin.New(), watches: newWatchGate()}
	server := httptest.NewServer(f.watches.guard(f.storeServer.Handler()))
	t.Cleanup(server.Close)
	f.store = store.New(server.URL)
	f.client = f.newClient()
	return f
}

func (f *fleet) newClient() *admin.Client {
	client := admin.NewClient(f.tls)
	f.t.Cleanup(func() { client.Close() })
	return client
}

// start runs a balancer at the given addresses, or at free ones if they are zero.
// With peersOnly it gets its configuration from peers and does not watch the store.
func (f *fleet) start(address, adminAddress netip.AddrPort, peersOnly bool, seeds ...netip.AddrPort) *balancer {
	f.t.Helper()
	if !address.IsValid() {
		address, adminAddress = freeUDP(f.t), freeUDP(f.t)
	}
	b := &balancer{address: address, admin: adminAddress}
	client := f.newClient()
	log := slog.New(slog.DiscardHandler)
	control, err := ctrl.Listen(ctrl.Options{
		Self: roster.Member{
			Address: address, Admin: adminAddress, Role: roster.Balancer, Name: address.String(), Domain: "d1",
			Incarnation: uint64(time.Now().UnixMilli()),
		},
		Keys: keyset.Set{ClusterKey: make([]byte, keyset.KeyLength)}, Log: log, Metrics: metric.New(),
		Store: f.store, ConfigFetcher: client, Seeds: seeds,
	})
	if err != nil {
		f.t.Fatal(err)
	}
	b.control = control

	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	b.stop = func() {
		stop()
		control.Conn().Close()
		<-done
	}
	f.t.Cleanup(b.stop)
	server := admin.NewServer(log, control, commit.New(f.store, commit.WithInForce(control.Config)), client)
	go func() {
		defer close(done)
		if err := server.Serve(ctx, adminAddress, f.tls); err != nil {
			f.t.Error(err)
		}
	}()
	go control.Run(ctx)
	go readControl(control)
	if !peersOnly {
		go control.WatchConfig(ctx)
	}
	return b
}

// readControl reads the socket in place of the data path.
func readControl(control *ctrl.Plane) {
	buffer := make([]byte, 4096)
	for {
		length, _, err := control.Conn().ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		control.HandleControl(buffer[:length])
	}
}

func (f *fleet) waitForRevision(b *balancer, revision uint64) {
	f.t.Helper()
	for end := time.Now().Add(applyTimeout); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if b.control.Config().Revision >= revision {
			return
		}
	}
	f.t.Fatalf("revision %d is not in force after %s, but %d", revision, applyTimeout, b.control.Config().Revision)
}

func putDomain(id, name string, number uint8) config.Change {
	return config.Change{ID: id, Operations: []config.Operation{
		{Verb: config.PutDomain, Domain: &config.Domain{Name: name, Number: number}},
	}}
}

func (f *fleet) mustChange(b *balancer, change config.Change) uint64 {
	f.t.Helper()
	revision, err := f.client.Change(f.t.Context(), b.admin, change)
	if err != nil {
		f.t.Fatal(err)
	}
	return revision
}

func TestChangeComesIntoForceThroughPeers(t *testing.T) {
	f := newFleet(t)
	first := f.start(netip.AddrPort{}, netip.AddrPort{}, false)
	second := f.start(netip.AddrPort{}, netip.AddrPort{}, true, first.address)
	f.waitForRevision(second, f.mustChange(first, putDomain("a", "south-1", 1)))
	f.waitForRevision(second, f.mustChange(first, putDomain("b", "south-2", 2)))
	if domains := second.control.Config().Domains; len(domains) != 2 {
		t.Errorf("got %d failure domains, want 2", len(domains))
	}
}

func TestJoinerGetsConfigurationWhileTheStoreIsDown(t *testing.T) {
	f := newFleet(t)
	first := f.start(netip.AddrPort{}, netip.AddrPort{}, false)
	revision := f.mustChange(first, putDomain("a", "south-1", 1))
	f.storeServer.SetFault(standin.Fault{Down: true})
	f.waitForRevision(f.start(netip.AddrPort{}, netip.AddrPort{}, false, first.address), revision)
	if first.control.Config().Revision != revision {
		t.Error("the first balancer lost its configuration while the store is down")
	}
}

func TestChangeWhileTheStoreIsDownIsRefused(t *testing.T) {
	f := newFleet(t)
	b := f.start(netip.AddrPort{}, netip.AddrPort{}, false)
	f.storeServer.SetFault(standin.Fault{Down: true})
	if _, err := f.client.Change(t.Context(), b.admin, putDomain("a", "south-1", 1)); err == nil {
		t.Error("a change was accepted while the store is down")
	}
}

func TestChangeSucceedsDespiteLostStoreResponses(t *testing.T) {
	f := newFleet(t)
	b := f.start(netip.AddrPort{}, netip.AddrPort{}, false)
	f.mustChange(b, putDomain("a", "south-1", 1))
	// The lost responses are those to the two transactions that write the changed part
	// of the configuration and its root key.
	f.storeServer.SetFault(standin.Fault{DropAnswers: 2})
	if revision := f.mustChange(b, putDomain("b", "south-2", 2)); revision != 2 {
		t.Errorf("got revision %d, want 2", revision)
	}
}

func TestClientReturnsSentinelErrors(t *testing.T) {
	f := newFleet(t)
	b := f.start(netip.AddrPort{}, netip.AddrPort{}, false)
	f.mustChange(b, putDomain("a", "south-1", 1))

	stale := putDomain("b", "south-2", 2)
	stale.BaseRevision = 9
	tests := map[string]struct {
		change config.Change
		want   error
	}{
		"invalid": {putDomain("c", "", 3), config.ErrInvalid},
		"stale":   {stale, commit.ErrStale},
		"refused": {config.Change{ID: "d", Operations: []config.Operation{{Verb: config.TakeOut, Name: "south-1"}}}, config.ErrRefused},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			if _, err := f.client.Change(t.Context(), b.admin, test.change); !errors.Is(err, test.want) {
				t.Errorf("got %v, want %v", err, test.want)
			}
		})
	}
}

func TestClientReconnectsToAReplacedBalancer(t *testing.T) {
	f := newFleet(t)
	b := f.start(netip.AddrPort{}, netip.AddrPort{}, false)
	f.mustChange(b, putDomain("a", "south-1", 1))
	if _, err := f.client.Config(t.Context(), b.admin); err != nil {
		t.Fatal(err)
	}

	b.stop()
	f.waitForRevision(f.start(b.address, b.admin, false), 1)
	ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
	defer cancel()
	if _, err := f.client.Config(ctx, b.admin); err != nil {
		t.Errorf("the client did not reconnect: %v", err)
	}
}

func TestCertificateOfAnotherAuthorityIsRejected(t *testing.T) {
	f := newFleet(t)
	b := f.start(netip.AddrPort{}, netip.AddrPort{}, false)
	otherAuthorityTLS := f.tls.Clone()
	otherAuthorityTLS.Certificates = newTLS(t).Certificates
	client := admin.NewClient(otherAuthorityTLS)
	defer client.Close()
	if _, err := client.Config(t.Context(), b.admin); err == nil {
		t.Error("a certificate of another authority was accepted")
	}
}

func newTLS(t *testing.T) *tls.Config {
	t.Helper()
	authority, err := certs.New()
	if err != nil {
		t.Fatal(err)
	}
	mutual, err := authority.MutualTLS(admin.PeerName)
	if err != nil {
		t.Fatal(err)
	}
	return mutual
}

func freeUDP(t *testing.T) netip.AddrPort {
	t.Helper()
	address, err := ports.FreeUDP()
	if err != nil {
		t.Fatal(err)
	}
	return address
}
