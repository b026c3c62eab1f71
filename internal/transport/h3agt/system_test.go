package h3agt_test

import (
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"path/filepath"
	"sync/atomic"
	"testing"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"
	"golang.org/x/time/rate"

	"github.com/coriandershift/coriandershift/internal/standin/certs"
	"github.com/coriandershift/coriandershift/internal/standin/fabric"
	"github.com/coriandershift/coriandershift/internal/standin/ports"
	standin "github.com/coriandershift/coriandershift/internal/standin/store"
	"github.com/coriandershift/coriandershift/internal/state/config"
	"github.com/coriandershift/coriandershift/internal/state/connid"
	"github.com/coriandershift/coriandershift/internal/state/keyset"
	"github.com/coriandershift/coriandershift/internal/state/roster"
	"github.com/coriandershift/coriandershift/internal/state/setup"
	"github.com/coriandershift/coriandershift/internal/transport/admin"
	"github.com/coriandershift/coriandershift/internal/transport/ctrl"
	"github.com/coriandershift/coriandershift/internal/transport/h3agt"
	"github.com/coriandershift/coriandershift/internal/transport/h3bal"
	"github.com/coriandershift/coriandershift/internal/transport/metric"
	"github.com/coriandershift/coriandershift/internal/transport/store"
)

// pollTimeout is how long a test waits for something to happen before it fails.
const pollTimeout = 20 * time.Second

var keys = keyset.Set{
	ConnectionIDKeys: map[uint8][]byte{0: bytes.Repeat([]byte{1}, keyset.KeyLength)},
	ClusterKey:       bytes.Repeat([]byte{2}, keyset.KeyLength),
}

// system is a whole deployment within the test process: two balancers behind a
// fabric, which stands in for the network, and an agent for each upstream.
type system struct {
	t         *testing.T
	cfg       *config.Config
	balancers []*process
	agents    []*process
	upstreams []*httptest.Server
	fabric    *fabric.Fabric

	unverifiedRate rate.Limit
	service        netip.AddrPort
	store          *store.Client
	public         setup.Certificate
	roots          *x509.CertPool
	peerTLS        *tls.Config
}

// process is a balancer or an agent, run by goroutines.
type process struct {
	control *ctrl.Plane
	metrics *metric.Set
	address netip.AddrPort
	stop    context.CancelFunc
	done    chan struct{}

	// frontend and healthy are set for a balancer.
	frontend netip.Addr
	healthy  atomic.Bool
}

// systemOptions are what a test may change of a system.
type systemOptions struct {
	limits func(*config.Limits)
	faults fabric.Faults

	// alwaysRetry has agents validate every caller's address by a QUIC Retry packet.
	alwaysRetry bool
}

func newSystem(t *testing.T, upstreams ...http.Handler) *system {
	t.Helper()
	return newSystemWith(t, systemOptions{}, upstreams...)
}

func newSystemWith(t *testing.T, o systemOptions, upstreams ...http.Handler) *system {
	t.Helper()
	s := &system{t: t, service: freeUDPAddress(t), unverifiedRate: h3agt.DefaultUnverifiedRate}
	if o.alwaysRetry {
		s.unverifiedRate = 0
	}
	s.makeCertificate()
	storeServer := httptest.NewServer(standin.New().Handler())
	t.Cleanup(storeServer.Close)
	s.store = store.New(storeServer.URL)
	s.cfg = &config.Config{
		Revision: 1,
		Domains:  []config.Domain{{Name: "d1", Number: 1}, {Name: "d2", Number: 2}, {Name: "d3", Number: 3}},
		Services: []config.Service{{
			Name: "checklists", Tenant: "higieniza", Number: 1, Addresses: []string{s.service.String()},
			Limits: config.Limits{Slots: 5, ColdSlots: 5, Connections: 100, Queue: 5, WarmUp: 0},
			Classes: []config.Class{
				{Name: "feed", Method: "GET", PathPrefix: "/feeds/", Priority: 2, Feed: true, Timeout: 10_000},
				{Name: "short", PathPrefix: "/short", Priority: 3, Timeout: 300},
				{Name: "other", PathPrefix: "/", Priority: 1, Timeout: 10_000},
			},
		}},
	}
	if o.limits != nil {
		o.limits(&s.cfg.Services[0].Limits)
	}

	var frontends []fabric.Balancer
	for _, frontend := range []string{"127.0.0.2", "127.0.0.3"} {
		frontends = append(frontends, s.addBalancer(netip.MustParseAddr(frontend)))
	}
	for i, handler := range upstreams {
		server := httptest.NewServer(handler)
		t.Cleanup(server.Close)
		s.upstreams = append(s.upstreams, server)
		s.addAgent(freeUDPAddress(t), netip.MustParseAddrPort(server.Listener.Addr().String()), []string{"d2", "d3"}[i%2])
	}
	s.startFabric(frontends, o.faults)
	s.waitForAgents(len(upstreams))
	return s
}

func (s *system) startFabric(frontends []fabric.Balancer, faults fabric.Faults) {
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	s.fabric = fabric.New(discardLogger(), frontends, faults)
	go func() {
		defer close(done)
		if err := s.fabric.Serve(ctx, []netip.AddrPort{s.service}); err != nil {
			s.t.Error(err)
		}
	}()
	s.t.Cleanup(func() {
		stop()
		<-done
	})
}

// addBalancer starts a balancer that receives the services' datagrams at the frontend address.
func (s *system) addBalancer(frontend netip.Addr) fabric.Balancer {
	p := s.newProcess(roster.Member{Role: roster.Balancer, Name: frontend.String(), Domain: "d1", Admin: freeUDPAddress(s.t)})
	p.frontend = frontend
	s.balancers = append(s.balancers, p)
	balancer := h3bal.New(h3bal.Options{
		Log: discardLogger(), Metrics: p.metrics, Control: p.control, Keys: keys, ConnectionIDs: connid.New(keys), Frontend: frontend,
	})
	s.run(p, func(ctx context.Context) { _ = balancer.Run(ctx, p.healthy.Store) })

	health := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if !p.healthy.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	}))
	s.t.Cleanup(health.Close)
	return fabric.Balancer{Frontend: frontend, HealthURL: health.URL}
}

// applyConfig puts a changed configuration with the next revision in force at every process.
func (s *system) applyConfig(change func(*config.Config)) {
	next := s.cfg.Clone()
	next.Revision++
	change(next)
	s.cfg = next
	for _, p := range append(append([]*process{}, s.balancers...), s.agents...) {
		p.control.Adopt(next, "test")
	}
}

func (s *system) newProcess(self roster.Member) *process {
	if !self.Address.IsValid() {
		self.Address = freeUDPAddress(s.t)
	}
	self.Incarnation = uint64(time.Now().UnixMilli())
	p := &process{address: self.Address, metrics: metric.New(), done: make(chan struct{})}

	options := ctrl.Options{Self: self, Keys: keys, Log: discardLogger(), Metrics: p.metrics, Store: s.store}
	for _, b := range s.balancers {
		options.Seeds = append(options.Seeds, b.address)
	}
	control, err := ctrl.Listen(options)
	if err != nil {
		s.t.Fatal(err)
	}
	control.Adopt(s.cfg, "test")
	p.control = control
	return p
}

func (s *system) run(p *process, run func(context.Context)) {
	ctx, stop := context.WithCancel(context.Background())
	p.stop = stop
	go func() {
		run(ctx)
		close(p.done)
	}()
	s.t.Cleanup(func() {
		stop()
		<-p.done
	})
}

func (s *system) addAgent(address, upstream netip.AddrPort, domain string) *process {
	peer := freeUDPAddress(s.t)
	p := s.newProcess(roster.Member{
		Address: address, Role: roster.Agent, Name: "a", Domain: domain, Service: "checklists", Weight: roster.MaxWeight, Admin: peer,
	})
	settings := &setup.Settings{Name: "a", Domain: domain, Address: address, Agent: &setup.AgentSettings{
		Service: "checklists", Upstream: upstream, Peer: peer, Public: s.public, MaxBody: 1 << 20, Drain: setup.Duration(5 * time.Second),
	}}
	a := h3agt.New(h3agt.Options{
		Settings: settings, Keys: keys, ConnectionIDs: connid.New(keys), Control: p.control, PeerTLS: s.peerTLS, UnverifiedRate: s.unverifiedRate,
		Log: discardLogger(), Metrics: p.metrics,
	})
	s.run(p, func(ctx context.Context) { _ = a.Run(ctx) })
	s.agents = append(s.agents, p)
	return p
}

// waitForAgents waits until every balancer is healthy and knows count agents that take new flows.
func (s *system) waitForAgents(count int) {
	s.t.Helper()
	s.waitFor("agents", func() bool {
		for _, b := range s.balancers {
			if !b.healthy.Load() || b.countOpenAgents() != count {
				return false
			}
		}
		return true
	})
	time.Sleep(300 * time.Millisecond) // for the routing tables and the fabric's health checks to follow
}

// countOpenAgents returns the number of agents that take new flows, as known to the process.
func (p *process) countOpenAgents() int {
	open := 0
	for _, m := range p.control.Members() {
		if m.Role == roster.Agent && m.State == roster.Alive && m.Weight > 0 {
			open++
		}
	}
	return open
}

// waitForPeers waits until every agent knows count agents that take new work.
func (s *system) waitForPeers(count int) {
	s.t.Helper()
	s.waitFor("peers", func() bool {
		for _, p := range s.agents {
			open := 0
			for _, m := range p.control.Peers() {
				if m.Weight > 0 {
					open++
				}
			}
			if open != count {
				return false
			}
		}
		return true
	})
}

func (s *system) waitFor(description string, condition func() bool) {
	s.t.Helper()
	for end := time.Now().Add(pollTimeout); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if condition() {
			return
		}
	}
	s.t.Fatalf("timed out waiting for %s", description)
}

// client returns an HTTP client that opens a flow of its own.
func (s *system) client() *http.Client {
	transport := &http3.Transport{
		TLSClientConfig: &tls.Config{RootCAs: s.roots, ServerName: certs.PublicName},
		QUICConfig:      &quic.Config{MaxIdleTimeout: 10 * time.Second, KeepAlivePeriod: time.Second},
	}
	s.t.Cleanup(func() { transport.Close() })
	return &http.Client{Transport: transport}
}

func (s *system) request(method, path, key string, body io.Reader) *http.Request {
	s.t.Helper()
	r, err := http.NewRequestWithContext(s.t.Context(), method, "https://"+s.service.String()+path, body)
	if err != nil {
		s.t.Fatal(err)
	}
	if key != "" {
		r.Header.Set("Idempotency-Key", key)
	}
	return r
}

// do sends a request and returns its status, outcome header and body.
func (s *system) do(client *http.Client, r *http.Request) (int, string, string) {
	s.t.Helper()
	response, err := client.Do(r)
	if err != nil {
		s.t.Fatal(err)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		s.t.Fatal(err)
	}
	return response.StatusCode, response.Header.Get("Request-Outcome"), string(body)
}

func (s *system) makeCertificate() {
	authority, err := certs.New()
	if err != nil {
		s.t.Fatal(err)
	}
	pair, err := authority.Issue(certs.PublicName)
	if err != nil {
		s.t.Fatal(err)
	}
	dir := s.t.TempDir()
	if err := certs.WritePair(dir, "public", pair); err != nil {
		s.t.Fatal(err)
	}
	s.public = setup.Certificate{CertFile: filepath.Join(dir, "public.pem"), KeyFile: filepath.Join(dir, "public.key")}
	s.roots = authority.Pool()

	s.peerTLS, err = authority.MutualTLS(admin.PeerName)
	if err != nil {
		s.t.Fatal(err)
	}
}

func freeUDPAddress(t *testing.T) netip.AddrPort {
	t.Helper()
	address, err := ports.FreeUDP()
	if err != nil {
		t.Fatal(err)
	}
	return address
}

func discardLogger() *slog.Logger {
	return slog.New(slog.DiscardHandler)
}
