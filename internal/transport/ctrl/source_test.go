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

// memoryStore is a Store in memory. It ignores leases, and its watches see no changes.
type memoryStore struct {
	mu       sync.Mutex
	entries  map[string]coriandershift.Entry
	revision int64
	swapped  chan string // keys of successful writes
}

func newMemoryStore() *memoryStore {
	return &memoryStore{entries: map[string]coriandershift.Entry{}, swapped: make(chan string, 100)}
}

func (m *memoryStore) Get(_ context.Context, key string) (coriandershift.Entry, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	e, ok := m.entries[key]
	if !ok {
		return e, coriandershift.ErrNotFound
	}
	return e, nil
}

func (m *memoryStore) ObserveEra(uint64) uint64 { return 0 }

func (m *memoryStore) GetStale(ctx context.Context, key string) (coriandershift.Entry, error) {
	return m.Get(ctx, key)
}

func (m *memoryStore) List(context.Context, string) ([]coriandershift.Entry, error) { return nil, nil }

func (m *memoryStore) CompareAndSwap(_ context.Context, key string, value []byte, revision int64, _ coriandershift.Lease) error {
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

func (m *memoryStore) Watch(ctx context.Context, _ string, _ int64) (coriandershift.Entry, error) {
	<-ctx.Done()
	return coriandershift.Entry{}, ctx.Err()
}

func (m *memoryStore) GrantLease(context.Context, time.Duration) (coriandershift.Lease, error) {
	return 1, nil
}
func (m *memoryStore) RenewLease(context.Context, coriandershift.Lease) error { return nil }

// scriptedSource is a ConfigSource. Each call of Load or Next runs the next step of its
// list; the last step is repeated.
type scriptedSource struct {
	mu    sync.Mutex
	loads []func(context.Context) (*config.Config, error)
	nexts []func(context.Context) (*config.Config, error)
}

func nextStep[T any](mu *sync.Mutex, steps *[]T) T {
	mu.Lock()
	defer mu.Unlock()
	step := (*steps)[0]
	if len(*steps) > 1 {
		*steps = (*steps)[1:]
	}
	return step
}

func (s *scriptedSource) Load(ctx context.Context) (*config.Config, error) {
	return nextStep(&s.mu, &s.loads)(ctx)
}

func (s *scriptedSource) Next(ctx context.Context, cfg *config.Config, after uint64) (*config.Config, uint64, error) {
	next, err := nextStep(&s.mu, &s.nexts)(ctx)
	if next == nil {
		next = cfg
	}
	return next, after, err
}

func returnRevision(revision uint64) func(context.Context) (*config.Config, error) {
	return func(context.Context) (*config.Config, error) { return &config.Config{Revision: revision}, nil }
}

func loadTimesOut(ctx context.Context) (*config.Config, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

func loadFails(context.Context) (*config.Config, error) { return nil, errors.New("store is busy") }

func waitFails(context.Context) (*config.Config, error) { return nil, errors.New("connection lost") }

func waitCompacted(context.Context) (*config.Config, error) { return nil, coriandershift.ErrCompacted }

func waitUnchanged(context.Context) (*config.Config, error) { return nil, nil }

func waitBlocks(ctx context.Context) (*config.Config, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

func newPlane(t *testing.T, role roster.Role, store coriandershift.Store) *ctrl.Plane {
	t.Helper()
	address, err := ports.FreeUDP()
	if err != nil {
		t.Fatal(err)
	}
	plane, err := ctrl.Listen(ctrl.Options{
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
	t.Cleanup(func() { plane.Conn().Close() })
	return plane
}

func waitForRevision(t *testing.T, plane *ctrl.Plane, revision uint64) {
	t.Helper()
	for deadline := time.Now().Add(20 * time.Second); plane.Config().Revision != revision; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("revision %d is in force, want %d", plane.Config().Revision, revision)
		}
	}
}

func TestFollowConfigSource(t *testing.T) {
	type steps = []func(context.Context) (*config.Config, error)
	tests := map[string]*scriptedSource{
		"a change":               {loads: steps{returnRevision(1)}, nexts: steps{waitUnchanged, returnRevision(5), waitBlocks}},
		"a failed wait":          {loads: steps{returnRevision(1), returnRevision(5)}, nexts: steps{waitFails, waitBlocks}},
		"a compacted history":    {loads: steps{returnRevision(1), returnRevision(5)}, nexts: steps{waitCompacted, waitBlocks}},
		"a silent store":         {loads: steps{loadTimesOut, loadTimesOut, returnRevision(5)}, nexts: steps{waitBlocks}},
		"a busy store":           {loads: steps{loadFails, loadFails, returnRevision(5)}, nexts: steps{waitBlocks}},
		"an older revision last": {loads: steps{returnRevision(5), returnRevision(3)}, nexts: steps{waitCompacted, returnRevision(3), waitBlocks}},
	}
	for name, steps := range tests {
		t.Run(name, func(t *testing.T) {
			ctx, stop := context.WithCancel(context.Background())
			defer stop()
			plane := newPlane(t, roster.Balancer, newMemoryStore())
			go plane.FollowConfigSource(ctx, steps)
			waitForRevision(t, plane, 5)
		})
	}
}

// countingSource is a ConfigSource that has no changes and counts the waits for one.
type countingSource struct {
	mu      sync.Mutex
	waiting int
}

func (s *countingSource) Load(context.Context) (*config.Config, error) {
	return &config.Config{Revision: 1}, nil
}

func (s *countingSource) Next(ctx context.Context, cfg *config.Config, after uint64) (*config.Config, uint64, error) {
	s.add(1)
	defer s.add(-1)
	<-ctx.Done()
	return nil, after, ctx.Err()
}

func (s *countingSource) add(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waiting += n
}

func (s *countingSource) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.waiting
}

// A balancer that starts knows no others, so it counts itself among the first of its
// failure domain. All balancers that had started together used to watch the store for
// good: 107 on the simulated deployment higi-sul-large, each charged for every change.
func TestOnlyTheFirstBalancersOfAFailureDomainWatch(t *testing.T) {
	const count, watchers = 6, 2
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	source := &countingSource{}
	var planes []*ctrl.Plane
	for range count {
		planes = append(planes, newPlane(t, roster.Balancer, newMemoryStore()))
	}
	for _, plane := range planes {
		go plane.FollowConfigSource(ctx, source)
	}
	for deadline := time.Now().Add(20 * time.Second); source.count() < count; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("%d of %d balancers that know no others watch", source.count(), count)
		}
	}

	for _, plane := range planes {
		plane.SetSeeds([]netip.AddrPort{planes[0].Self().Address})
		go plane.Run(ctx)
		go handleControl(plane)
	}
	for deadline := time.Now().Add(20 * time.Second); source.count() != watchers; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("%d balancers watch, want %d", source.count(), watchers)
		}
	}
}

func TestFetchWholeConfigurationFromAPeer(t *testing.T) {
	plane := newPlane(t, roster.Balancer, newMemoryStore())
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+ctrl.ConfigPath, plane.ServeConfig)
	server := httptest.NewServer(mux)
	defer server.Close()
	peer := netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://"))

	fetcher := ctrl.NewHTTPFetcher()
	if _, err := fetcher.Fetch(context.Background(), peer, nil); !errors.Is(err, ctrl.ErrNoConfig) {
		t.Errorf("without a configuration: got error %v, want ErrNoConfig", err)
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
	plane.Adopt(want, "test")
	got, err := fetcher.Fetch(context.Background(), peer, nil)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(want, got, cmpopts.EquateEmpty(), cmpopts.EquateComparable(netip.AddrPort{})); diff != "" {
		t.Error(diff)
	}
}

func TestUnreadableCensusIsReplaced(t *testing.T) {
	store := newMemoryStore()
	store.entries["coriandershift/census"] = coriandershift.Entry{Value: []byte("old and unreadable"), Revision: 40}
	plane := newPlane(t, roster.Balancer, store)
	if _, err := plane.ReadCensus(context.Background()); err == nil {
		t.Error("no error for an unreadable census")
	}

	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	plane.SetWeight(roster.MaxWeight)
	go plane.Run(ctx)
	go plane.PublishCensus(ctx)
	<-store.swapped
	census, err := plane.ReadCensus(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(ctrl.Census{Balancers: []netip.AddrPort{plane.Self().Address}}, census, cmpopts.EquateComparable(netip.AddrPort{})); diff != "" {
		t.Error(diff)
	}
}

func TestAnIsolatedProcessFindsBalancersInTheCensus(t *testing.T) {
	store := newMemoryStore()
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	balancer := newPlane(t, roster.Balancer, store)
	balancer.SetWeight(roster.MaxWeight)
	agent := newPlane(t, roster.Agent, store)
	for _, plane := range []*ctrl.Plane{balancer, agent} {
		go plane.Run(ctx)
		go handleControl(plane)
	}
	go balancer.PublishCensus(ctx)
	go agent.SeedFromCensus(ctx)
	balancer.Adopt(&config.Config{Revision: 3}, "test")

	for deadline := time.Now().Add(20 * time.Second); len(balancer.Members()) < 2; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("the balancer has not heard from the agent within 20 s")
		}
	}
}

// handleControl passes the datagrams that arrive to HandleControl until the socket is
// closed.
func handleControl(plane *ctrl.Plane) {
	buffer := make([]byte, 4096)
	for {
		count, _, err := plane.Conn().ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		plane.HandleControl(buffer[:count])
	}
}

// configWithRoutes returns a configuration with count routes to one service.
func configWithRoutes(revision uint64, count int) *config.Config {
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

// Guards against fetching a peer's whole configuration at each change.
func TestFetchOnlyChangesFromAPeer(t *testing.T) {
	plane := newPlane(t, roster.Balancer, newMemoryStore())
	var queries []string
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+ctrl.ConfigPath, func(w http.ResponseWriter, r *http.Request) {
		queries = append(queries, r.URL.RawQuery)
		plane.ServeConfig(w, r)
	})
	server := httptest.NewServer(mux)
	defer server.Close()
	peer := netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://"))

	first := configWithRoutes(3, 200)
	plane.Adopt(first, "test")
	second := configWithRoutes(5, 200)
	second.Routes[17].Priority = 9
	plane.Adopt(second, "test")

	tests := map[string]struct {
		known *config.Config
		want  []string
	}{
		"the previous revision":          {first, []string{"after=3"}},
		"the same revision":              {second, []string{"after=5"}},
		"a revision unknown to the peer": {configWithRoutes(4, 200), []string{"after=4", ""}},
		"no configuration":               {&config.Config{}, []string{""}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			queries = nil
			got, err := ctrl.NewHTTPFetcher().Fetch(context.Background(), peer, test.known)
			if err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff(test.want, queries); diff != "" {
				t.Error(diff)
			}
			if diff := cmp.Diff(second, got, cmpopts.EquateEmpty(), cmpopts.EquateComparable(netip.AddrPort{})); diff != "" {
				t.Error(diff)
			}
		})
	}
}
