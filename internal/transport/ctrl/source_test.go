package ctrl_test

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"github.com/pkg/errors"

	"github.com/coriandershift/coriandershift"
	"github.com/coriandershift/coriandershift/internal/standin/ports"
	"github.com/coriandershift/coriandershift/internal/state/config"
	"github.com/coriandershift/coriandershift/internal/state/keyset"
	"github.com/coriandershift/coriandershift/internal/state/roster"
	"github.com/coriandershift/coriandershift/internal/transport/ctrl"
	"github.com/coriandershift/coriandershift/internal/transport/metric"
)

// memory is a store in memory.
type memory struct {
	mu       sync.Mutex
	entries  map[string]coriandershift.Entry
	revision int64
	swapped  chan string
}

func newMemory() *memory {
	return &memory{entries: map[string]coriandershift.Entry{}, swapped: make(chan string, 100)}
}

func (m *memory) Get(_ context.Context, key string) (coriandershift.Entry, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	e, ok := m.entries[key]
	if !ok {
		return e, coriandershift.ErrNotFound
	}
	return e, nil
}

func (m *memory) List(context.Context, string) ([]coriandershift.Entry, error) { return nil, nil }

func (m *memory) CompareAndSwap(_ context.Context, key string, value []byte, revision int64, _ coriandershift.Lease) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.entries[key].Revision != revision {
		return coriandershift.ErrConflict
	}
	m.revision++
	m.entries[key] = coriandershift.Entry{Key: key, Value: value, Revision: m.revision}
	m.swapped <- key
	return nil
}

func (m *memory) Watch(ctx context.Context, _ string, _ int64) (coriandershift.Entry, error) {
	<-ctx.Done()
	return coriandershift.Entry{}, ctx.Err()
}

func (m *memory) GrantLease(context.Context, time.Duration) (coriandershift.Lease, error) {
	return 1, nil
}
func (m *memory) RenewLease(context.Context, coriandershift.Lease) error { return nil }

// script is Operators that do one step after the other; the last one stays.
type script struct {
	mu    sync.Mutex
	loads []func(context.Context) (*config.Config, error)
	waits []func(context.Context) (*config.Config, error)
}

func take[T any](mu *sync.Mutex, steps *[]T) T {
	mu.Lock()
	defer mu.Unlock()
	step := (*steps)[0]
	if len(*steps) > 1 {
		*steps = (*steps)[1:]
	}
	return step
}

func (s *script) Load(ctx context.Context) (*config.Config, error) {
	return take(&s.mu, &s.loads)(ctx)
}

func (s *script) Next(ctx context.Context, cfg *config.Config, after uint64) (*config.Config, uint64, error) {
	next, err := take(&s.mu, &s.waits)(ctx)
	if next == nil {
		next = cfg
	}
	return next, after, err
}

func loaded(revision uint64) func(context.Context) (*config.Config, error) {
	return func(context.Context) (*config.Config, error) { return &config.Config{Revision: revision}, nil }
}

func silentLoad(ctx context.Context) (*config.Config, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

func failedLoad(context.Context) (*config.Config, error) { return nil, errors.New("store is busy") }

func cutWatch(context.Context) (*config.Config, error) { return nil, errors.New("cut") }

func compacted(context.Context) (*config.Config, error) { return nil, coriandershift.ErrCompacted }

func unchanged(context.Context) (*config.Config, error) { return nil, nil }

func waitForever(ctx context.Context) (*config.Config, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

func newLink(t *testing.T, role roster.Role, store coriandershift.Store) *ctrl.Plane {
	t.Helper()
	address, err := ports.FreeUDP()
	if err != nil {
		t.Fatal(err)
	}
	l, err := ctrl.Listen(ctrl.Options{
		Self:          roster.Member{Address: address, Role: role, Domain: "a", Service: "svc", Admin: address, Incarnation: 1},
		Keys:          keyset.Set{ClusterKey: make([]byte, keyset.KeyLength)},
		Log:           slog.New(slog.NewTextHandler(io.Discard, nil)),
		Metrics:       metric.New(),
		Store:         store,
		ConfigFetcher: ctrl.NewHTTPFetcher(),
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Conn().Close() })
	return l
}

// reaches waits until a revision is in force.
func reaches(t *testing.T, l *ctrl.Plane, revision uint64) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); l.Config().Revision != revision; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("revision %d is in force, want %d", l.Config().Revision, revision)
		}
	}
}

func TestFollowingTheOperators(t *testing.T) {
	type steps = []func(context.Context) (*config.Config, error)
	tests := map[string]*script{
		"a change":           {loads: steps{loaded(1)}, waits: steps{unchanged, loaded(5), waitForever}},
		"a cut watch":        {loads: steps{loaded(1), loaded(5)}, waits: steps{cutWatch, waitForever}},
		"a lost history":     {loads: steps{loaded(1), loaded(5)}, waits: steps{compacted, waitForever}},
		"a silent store":     {loads: steps{silentLoad, silentLoad, loaded(5)}, waits: steps{waitForever}},
		"a busy store":       {loads: steps{failedLoad, failedLoad, loaded(5)}, waits: steps{waitForever}},
		"an old answer last": {loads: steps{loaded(5), loaded(3)}, waits: steps{compacted, loaded(3), waitForever}},
	}
	for name, steps := range tests {
		t.Run(name, func(t *testing.T) {
			ctx, stop := context.WithCancel(context.Background())
			defer stop()
			l := newLink(t, roster.Balancer, newMemory())
			go l.FollowConfigSource(ctx, steps)
			reaches(t, l, 5)
		})
	}
}

func TestAPeerHandsOutItsConfiguration(t *testing.T) {
	l := newLink(t, roster.Balancer, newMemory())
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+ctrl.ConfigPath, l.ServeConfig)
	server := httptest.NewServer(mux)
	defer server.Close()
	at := netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://"))

	fetcher := ctrl.NewHTTPFetcher()
	if _, err := fetcher.Fetch(context.Background(), at, nil); !errors.Is(err, ctrl.ErrNoConfig) {
		t.Errorf("got %v", err)
	}

	want := &config.Config{
		Revision: 7, IdleTimeout: 15000,
		Domains:  []config.Domain{{Name: "a", Number: 1, Out: true}},
		Services: []config.Service{{Name: "svc", Number: 1, Limits: config.Limits{ColdPerSecond: 2.5}}},
		Routes: []config.Route{{
			Name: "r", Address: netip.MustParseAddrPort("198.18.0.1:443"), Kind: config.Download,
			Shares: []config.Share{{Service: "svc", Weight: 90}},
		}},
	}
	l.Adopt(want, "test")
	got, err := fetcher.Fetch(context.Background(), at, nil)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(want, got, cmpopts.EquateEmpty(), cmpopts.EquateComparable(netip.AddrPort{})); diff != "" {
		t.Error(diff)
	}
}

func TestCensus(t *testing.T) {
	store := newMemory()
	store.entries["coriandershift/census"] = coriandershift.Entry{Value: []byte("old and unreadable"), Revision: 40}
	l := newLink(t, roster.Balancer, store)
	if _, err := l.ReadCensus(context.Background()); err == nil {
		t.Error("an unreadable census is read")
	}

	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	l.SetWeight(roster.MaxWeight)
	go l.Run(ctx)
	go l.PublishCensus(ctx)
	<-store.swapped
	members, err := l.ReadCensus(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(ctrl.Census{Balancers: []netip.AddrPort{l.Self().Address}}, members, cmpopts.EquateComparable(netip.AddrPort{})); diff != "" {
		t.Error(diff)
	}
}

func TestAProcessThatHearsNobodyTurnsToTheCensus(t *testing.T) {
	store := newMemory()
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	balancer := newLink(t, roster.Balancer, store)
	balancer.SetWeight(roster.MaxWeight)
	agent := newLink(t, roster.Agent, store)
	for _, l := range []*ctrl.Plane{balancer, agent} {
		go l.Run(ctx)
		go read(l)
	}
	go balancer.PublishCensus(ctx)
	go agent.SeedFromCensus(ctx)
	balancer.Adopt(&config.Config{Revision: 3}, "test")

	for end := time.Now().Add(20 * time.Second); len(balancer.Members()) < 2; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the agent has not found the balancer")
		}
	}
}

// read passes on the control messages that arrive.
func read(l *ctrl.Plane) {
	buffer := make([]byte, 4096)
	for {
		count, _, err := l.Conn().ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		l.HandleControl(buffer[:count])
	}
}

func routed(revision uint64, count int) *config.Config {
	c := &config.Config{Revision: revision, Services: []config.Service{{Name: "svc"}}}
	for i := range count {
		c.Routes = append(c.Routes, config.Route{
			Name:    fmt.Sprintf("r%03d", i),
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 18, byte(i >> 8), byte(i)}), 443),
			Shares:  []config.Share{{Service: "svc", Weight: 1}},
		})
	}
	return c
}

// A peer's whole configuration was fetched at each change.
func TestAPeerHandsOutChangesOnly(t *testing.T) {
	l := newLink(t, roster.Balancer, newMemory())
	var asked []string
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+ctrl.ConfigPath, func(w http.ResponseWriter, r *http.Request) {
		asked = append(asked, r.URL.RawQuery)
		l.ServeConfig(w, r)
	})
	server := httptest.NewServer(mux)
	defer server.Close()
	at := netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://"))

	first := routed(3, 200)
	l.Adopt(first, "test")
	second := routed(5, 200)
	second.Routes[17].Priority = 9
	l.Adopt(second, "test")

	tests := map[string]struct {
		known *config.Config
		want  []string
	}{
		"the revision before":             {first, []string{"after=3"}},
		"one that the peer does not know": {routed(4, 200), []string{"after=4", ""}},
		"none":                            {&config.Config{}, []string{""}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			asked = nil
			got, err := ctrl.NewHTTPFetcher().Fetch(context.Background(), at, test.known)
			if err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff(test.want, asked); diff != "" {
				t.Error(diff)
			}
			if diff := cmp.Diff(second, got, cmpopts.EquateEmpty(), cmpopts.EquateComparable(netip.AddrPort{})); diff != "" {
				t.Error(diff)
			}
		})
	}
}
