// Package h3agt runs an agent of HTTP/3 services beside one upstream: it ends
// the callers' QUIC flows, admits their requests and passes them on.
package h3agt

import (
	"context"
	"crypto/tls"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"
	"golang.org/x/time/rate"

	"github.com/coriandershift/coriandershift/internal/protocol/encap"
	"github.com/coriandershift/coriandershift/internal/state/admit"
	"github.com/coriandershift/coriandershift/internal/state/config"
	"github.com/coriandershift/coriandershift/internal/state/connid"
	"github.com/coriandershift/coriandershift/internal/state/keyset"
	"github.com/coriandershift/coriandershift/internal/state/roster"
	"github.com/coriandershift/coriandershift/internal/state/setup"
	"github.com/coriandershift/coriandershift/internal/transport/ctrl"
	"github.com/coriandershift/coriandershift/internal/transport/metric"
	"github.com/coriandershift/coriandershift/internal/transport/relay"
)

// DefaultUnverifiedRate is far above the new flows of one agent on a normal day.
const DefaultUnverifiedRate rate.Limit = 200

const (
	idleTimeout = 30 * time.Second
	keepAlive   = 5 * time.Second
	weightEvery = 500 * time.Millisecond
	drainPoll   = 50 * time.Millisecond

	// leaveLinger is how long after the last request a stopping agent still
	// serves its flows, so that answers and GOAWAY reach the callers.
	leaveLinger = time.Second
)

// Agent is the system's process beside one upstream.
type Agent struct {
	log        *slog.Logger
	metrics    *metric.Set
	settings   *setup.Settings
	link       *ctrl.Plane
	ids        *connid.Codec
	keys       keyset.Set
	peers      *tls.Config
	unverified *rate.Limiter
	admission  *admission
	handler    *handler
	conn       *packetConn

	service     atomic.Pointer[config.Service]
	connections atomic.Int64
	leaving     atomic.Bool

	mu     sync.Mutex
	server *http3.Server
}

// Options are what an Agent needs.
type Options struct {
	Settings      *setup.Settings
	Keys          keyset.Set
	ConnectionIDs *connid.Codec
	Control       *ctrl.Plane

	// PeerTLS is the mutual TLS configuration between agents.
	PeerTLS *tls.Config

	// UnverifiedRate bounds the flows per second that begin without a proof of the
	// caller's address; those beyond are asked for it by a Retry packet.
	UnverifiedRate rate.Limit

	Log     *slog.Logger
	Metrics *metric.Set
}

// New returns an Agent on a link.
func New(o Options) *Agent {
	settings, l := o.Settings, o.Control
	a := &Agent{
		log:        o.Log,
		metrics:    o.Metrics,
		settings:   settings,
		link:       l,
		ids:        o.ConnectionIDs,
		keys:       o.Keys,
		peers:      o.PeerTLS,
		unverified: rate.NewLimiter(o.UnverifiedRate, int(o.UnverifiedRate)),
		admission:  newAdmission(o.Metrics),
	}

	client := newPeerClient(o.PeerTLS)
	ledger := newLedger()
	a.handler = &handler{
		log:       o.Log,
		metrics:   o.Metrics,
		domain:    settings.Domain,
		maxBody:   int64(settings.Agent.MaxBody),
		service:   a.currentService,
		admission: a.admission,
		upstream:  newUpstream(settings.Agent.Upstream),
		ledger:    ledger,
		guard:     &guard{self: settings.Address, ledger: ledger, peers: l.Peers, client: client},
		passing:   &passing{self: settings.Address, peers: l.Peers, client: client, budget: passBurst},
		health:    &health{log: o.Log, address: settings.Agent.Upstream, opened: a.upstreamOpened},
	}
	a.conn = newPacketConn(&packetConn{
		socket:  l.Conn(),
		codec:   encap.New(o.Keys),
		ids:     o.ConnectionIDs,
		metrics: o.Metrics,
		control: l.HandleControl,
		mayTake: a.mayTake,
		service: a.serviceNumber,
	})
	a.server = a.newServer()
	return a
}

// Run serves callers until the context ends, then leaves gracefully.
func (a *Agent) Run(ctx context.Context) error {
	certificate, err := tls.LoadX509KeyPair(a.settings.Agent.Public.CertFile, a.settings.Agent.Public.KeyFile)
	if err != nil {
		return errors.Wrapf(err, "load certificate %q", a.settings.Agent.Public.CertFile)
	}

	transport := &quic.Transport{
		Conn:                  a.conn,
		ConnectionIDGenerator: newGenerator(a),
		StatelessResetKey:     (*quic.StatelessResetKey)(relay.StatelessResetKey(a.keys)),
		VerifySourceAddress:   func(net.Addr) bool { return !a.unverified.Allow() },
	}
	listener, err := transport.ListenEarly(
		http3.ConfigureTLSConfig(&tls.Config{Certificates: []tls.Certificate{certificate}, MinVersion: tls.VersionTLS13}),
		&quic.Config{MaxIdleTimeout: idleTimeout, KeepAlivePeriod: keepAlive, MaxIncomingStreams: 1000},
	)
	if err != nil {
		return errors.Wrap(err, "listen for callers")
	}

	background, stop := context.WithCancel(context.Background())
	defer stop()
	go a.link.Run(background)
	go a.link.RefreshSeeds(background)
	go a.admission.run(background)
	go a.follow(background)
	go a.accept(background, listener)
	go a.servePeers(background)
	go a.handler.health.run(background)

	<-ctx.Done()
	a.leave()
	listener.Close()
	return errors.Wrap(transport.Close(), "close transport")
}

// accept serves each new flow with the server of the moment.
func (a *Agent) accept(ctx context.Context, listener *quic.EarlyListener) {
	for {
		conn, err := listener.Accept(ctx)
		if err != nil {
			return
		}

		a.mu.Lock()
		server := a.server
		a.mu.Unlock()
		go a.serve(server, conn)
	}
}

func (a *Agent) servePeers(ctx context.Context) {
	server := &peerServer{handler: a.handler}
	if err := server.serve(ctx, a.settings.Agent.Peer, a.peers, a.keys); err != nil {
		a.log.Error("peers are not served", "error", err)
	}
}

func (a *Agent) serve(server *http3.Server, conn *quic.Conn) {
	a.metrics.Connections.Set(float64(a.connections.Add(1)))
	defer func() { a.metrics.Connections.Set(float64(a.connections.Add(-1))) }()

	if err := server.ServeQUICConn(conn); err != nil && !errors.Is(err, http.ErrServerClosed) {
		a.log.Debug("flow ended", "caller", conn.RemoteAddr(), "error", err)
	}
}

// follow takes over what the configuration says and tells the balancers how
// much the upstream bears.
func (a *Agent) follow(ctx context.Context) {
	ticker := time.NewTicker(weightEvery)
	defer ticker.Stop()

	for {
		select {
		case <-ctx.Done():
			return
		case <-a.link.Changed():
			a.applyConfig(a.link.Config())
		case <-ticker.C:
			a.tellWeight()
		}
	}
}

func (a *Agent) applyConfig(cfg *config.Config) {
	service, known := cfg.Service(a.settings.Agent.Service)
	if !known {
		a.service.Store(nil)
		return
	}

	a.admission.setLimits(admit.Limits{
		Slots:     service.Limits.Slots,
		ColdSlots: service.Limits.ColdSlots,
		Feeds:     service.Limits.Connections,
		Queue:     service.Limits.Queue,
		WarmUp:    service.Limits.WarmUp.Duration(),
	})
	a.service.Store(&service)
	a.tellWeight()

	drained := cfg.IsUpstreamDrained(a.settings.Name)
	if drained && a.leaving.CompareAndSwap(false, true) {
		a.log.Info("draining", "reason", "configuration")
		a.startLeaving()
	}
	if !drained && a.leaving.CompareAndSwap(true, false) {
		a.log.Info("returning", "reason", "configuration")
		a.admission.comeBack()
		a.link.Rejoin()
	}
}

// upstreamOpened takes an upstream that takes connections again to be cold.
func (a *Agent) upstreamOpened() {
	a.admission.markCold()
}

func (a *Agent) tellWeight() {
	_, share := a.admission.room()
	if !a.handler.health.open.Load() {
		share = 0
	}
	a.link.SetWeight(uint8(share * roster.MaxWeight))
}

func (a *Agent) newServer() *http3.Server {
	return &http3.Server{Handler: a.handler}
}

func (a *Agent) mayTake() bool {
	s := a.service.Load()
	if s == nil || a.leaving.Load() || !a.handler.health.open.Load() || a.connections.Load() >= int64(s.Limits.Connections) {
		return false
	}
	room, _ := a.admission.room()
	return room
}

func (a *Agent) currentService() (config.Service, bool) {
	s := a.service.Load()
	if s == nil {
		return config.Service{}, false
	}
	return *s, true
}

func (a *Agent) serviceNumber() uint32 {
	s := a.service.Load()
	if s == nil {
		return 0
	}
	return s.Number
}
