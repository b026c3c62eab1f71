// Package h3agt is the agent of an HTTP/3 service. An agent runs beside one
// upstream: it terminates the callers' QUIC connections, called flows, admits
// their requests as the upstream has room, and sends them to the upstream or, if
// that cannot take them, to another agent of the service.
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

// DefaultUnverifiedRate is the default of Options.UnverifiedRate, in flows per second.
// It is far above the rate of new flows that one agent gets in normal operation.
const DefaultUnverifiedRate rate.Limit = 200

const (
	idleTimeout       = 30 * time.Second
	keepAliveInterval = 5 * time.Second
	weightInterval    = 500 * time.Millisecond
	drainPollInterval = 50 * time.Millisecond

	// lingerAfterDrain is how long a stopping agent still serves its flows after
	// the last request has ended, so that answers and GOAWAY reach the callers.
	lingerAfterDrain = time.Second
)

// Agent is an agent beside one upstream.
type Agent struct {
	log             *slog.Logger
	metrics         *metric.Set
	settings        *setup.Settings
	control         *ctrl.Plane
	connectionIDs   *connid.Codec
	keys            keyset.Set
	peerTLS         *tls.Config
	unverifiedFlows *rate.Limiter
	admission       *admission
	handler         *handler
	conn            *packetConn

	service   atomic.Pointer[config.Service] // nil while the configuration does not list it
	openFlows atomic.Int64
	draining  atomic.Bool // the agent is stopping or drained by the configuration

	mu     sync.Mutex
	server *http3.Server // serves new flows; guarded by mu
}

// Options are the dependencies and settings of an Agent.
type Options struct {
	Settings      *setup.Settings
	Keys          keyset.Set
	ConnectionIDs *connid.Codec
	Control       *ctrl.Plane

	// PeerTLS is the configuration of mutual TLS between the agents of the service.
	PeerTLS *tls.Config

	// UnverifiedRate is the number of flows per second that may start without
	// validation of the caller's address. Callers beyond it get a QUIC Retry packet.
	UnverifiedRate rate.Limit

	Log     *slog.Logger
	Metrics *metric.Set
}

// New returns an Agent that receives its datagrams from the control plane's socket.
func New(o Options) *Agent {
	settings, control := o.Settings, o.Control
	a := &Agent{
		log:             o.Log,
		metrics:         o.Metrics,
		settings:        settings,
		control:         control,
		connectionIDs:   o.ConnectionIDs,
		keys:            o.Keys,
		peerTLS:         o.PeerTLS,
		unverifiedFlows: rate.NewLimiter(o.UnverifiedRate, int(o.UnverifiedRate)),
		admission:       newAdmission(o.Metrics),
	}

	client := newPeerClient(o.PeerTLS)
	keys := newKeyTable()
	a.handler = &handler{
		log:       o.Log,
		metrics:   o.Metrics,
		domain:    settings.Domain,
		maxBody:   int64(settings.Agent.MaxBody),
		service:   a.currentService,
		admission: a.admission,
		upstream:  newUpstream(settings.Agent.Upstream),
		keys:      keys,
		claimer:   &keyClaimer{self: settings.Address, keys: keys, peers: control.Peers, client: client},
		passer:    &passer{self: settings.Address, peers: control.Peers, client: client, budget: maxPassBudget},
		health:    &health{log: o.Log, address: settings.Agent.Upstream, onUp: a.onUpstreamUp},
	}
	a.conn = newPacketConn(&packetConn{
		socket:        control.Conn(),
		codec:         encap.New(o.Keys),
		connectionIDs: o.ConnectionIDs,
		metrics:       o.Metrics,
		handleControl: control.HandleControl,
		acceptsFlows:  a.acceptsFlows,
		serviceNumber: a.serviceNumber,
	})
	a.server = a.newServer()
	return a
}

// Run serves callers until the context ends, then drains the agent. It returns
// an error if it cannot load the certificate, start to listen or close the
// transport.
func (a *Agent) Run(ctx context.Context) error {
	certificate, err := tls.LoadX509KeyPair(a.settings.Agent.Public.CertFile, a.settings.Agent.Public.KeyFile)
	if err != nil {
		return errors.Wrapf(err, "load certificate %q", a.settings.Agent.Public.CertFile)
	}

	transport := &quic.Transport{
		Conn:                  a.conn,
		ConnectionIDGenerator: newConnIDGenerator(a),
		StatelessResetKey:     (*quic.StatelessResetKey)(relay.StatelessResetKey(a.keys)),
		VerifySourceAddress:   func(net.Addr) bool { return !a.unverifiedFlows.Allow() },
	}
	listener, err := transport.ListenEarly(
		http3.ConfigureTLSConfig(&tls.Config{Certificates: []tls.Certificate{certificate}, MinVersion: tls.VersionTLS13}),
		&quic.Config{MaxIdleTimeout: idleTimeout, KeepAlivePeriod: keepAliveInterval, MaxIncomingStreams: 1000},
	)
	if err != nil {
		return errors.Wrap(err, "listen for callers")
	}

	background, stop := context.WithCancel(context.Background())
	defer stop()
	go a.control.Run(background)
	go a.control.RefreshSeeds(background)
	go a.admission.run(background)
	go a.updateLoop(background)
	go a.acceptFlows(background, listener)
	go a.servePeers(background)
	go a.handler.health.run(background)

	<-ctx.Done()
	a.drain()
	listener.Close()
	return errors.Wrap(transport.Close(), "close transport")
}

// acceptFlows serves each new flow by the current server; startDraining
// replaces the server.
func (a *Agent) acceptFlows(ctx context.Context, listener *quic.EarlyListener) {
	for {
		conn, err := listener.Accept(ctx)
		if err != nil {
			return
		}

		a.mu.Lock()
		server := a.server
		a.mu.Unlock()
		go a.serveFlow(server, conn)
	}
}

func (a *Agent) servePeers(ctx context.Context) {
	server := &peerServer{handler: a.handler}
	if err := server.serve(ctx, a.settings.Agent.Peer, a.peerTLS, a.keys); err != nil {
		a.log.Error("cannot serve peers", "error", err)
	}
}

func (a *Agent) serveFlow(server *http3.Server, conn *quic.Conn) {
	a.metrics.Connections.Set(float64(a.openFlows.Add(1)))
	defer func() { a.metrics.Connections.Set(float64(a.openFlows.Add(-1))) }()

	if err := server.ServeQUICConn(conn); err != nil && !errors.Is(err, http.ErrServerClosed) {
		a.log.Debug("flow ended", "caller", conn.RemoteAddr(), "error", err)
	}
}

// updateLoop applies changes of the configuration and regularly reports the
// agent's weight, until the context ends.
func (a *Agent) updateLoop(ctx context.Context) {
	ticker := time.NewTicker(weightInterval)
	defer ticker.Stop()

	for {
		select {
		case <-ctx.Done():
			return
		case <-a.control.Changed():
			a.applyConfig(a.control.Config())
		case <-ticker.C:
			a.reportWeight()
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
	a.reportWeight()

	drained := cfg.IsUpstreamDrained(a.settings.Name)
	if drained && a.draining.CompareAndSwap(false, true) {
		a.log.Info("draining", "reason", "configuration")
		a.startDraining()
	}
	if !drained && a.draining.CompareAndSwap(true, false) {
		a.log.Info("returning", "reason", "configuration")
		a.admission.reopen()
		a.control.Rejoin()
	}
}

// onUpstreamUp treats an upstream as cold when it accepts connections again.
func (a *Agent) onUpstreamUp() {
	a.admission.markCold()
}

// reportWeight has the control plane tell the balancers what share of its full
// load the upstream can take now; 0 while it accepts no connections.
func (a *Agent) reportWeight() {
	_, share := a.admission.capacity()
	if !a.handler.health.up.Load() {
		share = 0
	}
	a.control.SetWeight(uint8(share * roster.MaxWeight))
}

func (a *Agent) newServer() *http3.Server {
	return &http3.Server{Handler: a.handler}
}

func (a *Agent) acceptsFlows() bool {
	s := a.service.Load()
	if s == nil || a.draining.Load() || !a.handler.health.up.Load() || a.openFlows.Load() >= int64(s.Limits.Connections) {
		return false
	}
	hasRoom, _ := a.admission.capacity()
	return hasRoom
}

func (a *Agent) currentService() (config.Service, bool) {
	s := a.service.Load()
	if s == nil {
		return config.Service{}, false
	}
	return *s, true
}

// serviceNumber returns the number of the service, 0 if it is not configured.
func (a *Agent) serviceNumber() uint32 {
	s := a.service.Load()
	if s == nil {
		return 0
	}
	return s.Number
}
