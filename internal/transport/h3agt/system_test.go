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

// bound is how long polls wait before a test fails.
const bound = 20 * time.Second

var keys = keyset.Set{
	ConnectionIDKeys: map[uint8][]byte{0: bytes.Repeat([]byte{1}, keyset.KeyLength)},
	ClusterKey:       bytes.Repeat([]byte{2}, keyset.KeyLength),
}

// system is two balancers behind a fabric, with agents before upstreams, in this process.
type system struct {
	t         *testing.T
	cfg       *config.Config
	balancers []*process
	agents    []*process
	upstreams []*httptest.Server
	fabric    *fabric.Fabric

	unverified rate.Limit
	service    netip.AddrPort
	store      *store.Client
	public     setup.Certificate
	roots      *x509.CertPool
	peers      *tls.Config
}

// process is a balancer or an agent.
type process struct {
	link    *ctrl.Plane
	metrics *metric.Set
	address netip.AddrPort
	stop    context.CancelFunc
	done    chan struct{}

	// frontend and healthy are set for a balancer.
	frontend netip.Addr
	healthy  atomic.Bool
}

// conditions are what a test changes of the system.
type conditions struct {
	limits func(*config.Limits)
	faults fabric.Faults

	// suspicious has agents ask every caller to prove its address.
	suspicious bool
}

func newSystem(t *testing.T, upstreams ...http.Handler) *system {
	t.Helper()
	return newSystemWith(t, conditions{}, upstreams...)
}

func newSystemWith(t *testing.T, c conditions, upstreams ...http.Handler) *system {
	t.Helper()
	s := &system{t: t, service: freeUDP(t), unverified: h3agt.DefaultUnverifiedRate}
	if c.suspicious {
		s.unverified = 0
	}
	s.makeCertificate()
	platform := httptest.NewServer(standin.New().Handler())
	t.Cleanup(platform.Close)
	s.store = store.New(platform.URL)
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
	if c.limits != nil {
		c.limits(&s.cfg.Services[0].Limits)
	}

	var behind []fabric.Balancer
	for _, frontend := range []string{"127.0.0.2", "127.0.0.3"} {
		behind = append(behind, s.addBalancer(netip.MustParseAddr(frontend)))
	}
	for i, handler := range upstreams {
		server := httptest.NewServer(handler)
		t.Cleanup(server.Close)
		s.upstreams = append(s.upstreams, server)
		s.addAgent(freeUDP(t), netip.MustParseAddrPort(server.Listener.Addr().String()), []string{"d2", "d3"}[i%2])
	}
	s.startFabric(behind, c.faults)
	s.waitForAgents(len(upstreams))
	return s
}

func (s *system) startFabric(behind []fabric.Balancer, faults fabric.Faults) {
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	s.fabric = fabric.New(quiet(), behind, faults)
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

// addBalancer starts a balancer that takes the services' datagrams at an address of its own.
func (s *system) addBalancer(frontend netip.Addr) fabric.Balancer {
	p := s.newProcess(roster.Member{Role: roster.Balancer, Name: frontend.String(), Domain: "d1", Admin: freeUDP(s.t)})
	p.frontend = frontend
	s.balancers = append(s.balancers, p)
	balancer := h3bal.New(h3bal.Options{
		Log: quiet(), Metrics: p.metrics, Control: p.link, Keys: keys, ConnectionIDs: connid.New(keys), Frontend: frontend,
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

// adopt takes a new configuration into use at every process.
func (s *system) adopt(change func(*config.Config)) {
	next := s.cfg.Clone()
	next.Revision++
	change(next)
	s.cfg = next
	for _, p := range append(append([]*process{}, s.balancers...), s.agents...) {
		p.link.Adopt(next, "test")
	}
}

func (s *system) newProcess(self roster.Member) *process {
	if !self.Address.IsValid() {
		self.Address = freeUDP(s.t)
	}
	self.Incarnation = uint64(time.Now().UnixMilli())
	p := &process{address: self.Address, metrics: metric.New(), done: make(chan struct{})}

	options := ctrl.Options{Self: self, Keys: keys, Log: quiet(), Metrics: p.metrics, Store: s.store}
	for _, b := range s.balancers {
		options.Seeds = append(options.Seeds, b.address)
	}
	l, err := ctrl.Listen(options)
	if err != nil {
		s.t.Fatal(err)
	}
	l.Adopt(s.cfg, "test")
	p.link = l
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
	peer := freeUDP(s.t)
	p := s.newProcess(roster.Member{
		Address: address, Role: roster.Agent, Name: "a", Domain: domain, Service: "checklists", Weight: roster.MaxWeight, Admin: peer,
	})
	settings := &setup.Settings{Name: "a", Domain: domain, Address: address, Agent: &setup.AgentSettings{
		Service: "checklists", Upstream: upstream, Peer: peer, Public: s.public, MaxBody: 1 << 20, Drain: setup.Duration(5 * time.Second),
	}}
	a := h3agt.New(h3agt.Options{
		Settings: settings, Keys: keys, ConnectionIDs: connid.New(keys), Control: p.link, PeerTLS: s.peers, UnverifiedRate: s.unverified,
		Log: quiet(), Metrics: p.metrics,
	})
	s.run(p, func(ctx context.Context) { _ = a.Run(ctx) })
	s.agents = append(s.agents, p)
	return p
}

// waitForAgents waits until the fabric's balancers know agents that take new flows.
func (s *system) waitForAgents(count int) {
	s.t.Helper()
	s.waitFor("agents", func() bool {
		for _, b := range s.balancers {
			if !b.healthy.Load() || b.openAgents() != count {
				return false
			}
		}
		return true
	})
	time.Sleep(300 * time.Millisecond) // the routing table and the fabric's checks follow
}

func (p *process) openAgents() int {
	open := 0
	for _, m := range p.link.Members() {
		if m.Role == roster.Agent && m.State == roster.Alive && m.Weight > 0 {
			open++
		}
	}
	return open
}

// waitForPeers waits until every agent knows that all of them take new work.
func (s *system) waitForPeers(count int) {
	s.t.Helper()
	s.waitFor("peers", func() bool {
		for _, p := range s.agents {
			open := 0
			for _, m := range p.link.Peers() {
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

func (s *system) waitFor(what string, holds func() bool) {
	s.t.Helper()
	for end := time.Now().Add(bound); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if holds() {
			return
		}
	}
	s.t.Fatalf("waited in vain for %s", what)
}

// client returns an HTTP client with a flow of its own.
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

// answer carries a request out and returns its status, outcome header and body.
func (s *system) answer(client *http.Client, r *http.Request) (int, string, string) {
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

	s.peers, err = authority.MutualTLS(admin.PeerName)
	if err != nil {
		s.t.Fatal(err)
	}
}

func freeUDP(t *testing.T) netip.AddrPort {
	t.Helper()
	address, err := ports.FreeUDP()
	if err != nil {
		t.Fatal(err)
	}
	return address
}

func quiet() *slog.Logger {
	return slog.New(slog.DiscardHandler)
}
