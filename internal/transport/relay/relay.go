// Package relay is the data path of a balancer: it moves datagrams between
// callers and agents as the router decides.
package relay

import (
	"context"
	"log/slog"
	"net"
	"net/netip"
	"sync"

	"github.com/pkg/errors"
	"golang.org/x/net/ipv4"

	"github.com/coriandershift/coriandershift/internal/coordination/route"
	"github.com/coriandershift/coriandershift/internal/protocol/encap"
	"github.com/coriandershift/coriandershift/internal/state/config"
	"github.com/coriandershift/coriandershift/internal/state/keyset"
	"github.com/coriandershift/coriandershift/internal/transport/metric"
)

const (
	batch        = 32
	maxDatagram  = 2048    // bytes
	socketBuffer = 4 << 20 // bytes
)

// Relay moves datagrams. Update and Run are safe for concurrent use.
type Relay struct {
	log       *slog.Logger
	metrics   *metric.Set
	router    *route.Router
	codec     *encap.Codec
	resets    *resetter
	node      *net.UDPConn
	control   func(datagram []byte)
	frontend  netip.Addr
	counters  *counters
	mu        sync.RWMutex
	frontends map[frontKey]*front
}

// frontKey names one address of one service.
type frontKey struct {
	service uint32
	address uint8
}

// Options are what a Relay needs.
type Options struct {
	Log     *slog.Logger
	Metrics *metric.Set
	Router  *route.Router
	Keys    keyset.Set

	// InternalConn is the socket towards agents and other balancers.
	InternalConn *net.UDPConn

	// HandleControl handles the control datagrams that arrive at InternalConn.
	HandleControl func(datagram []byte)

	// Frontend, if valid, replaces the IP address of the services' addresses.
	Frontend netip.Addr
}

// New returns a Relay without any service address.
func New(o Options) *Relay {
	return &Relay{
		log:       o.Log,
		metrics:   o.Metrics,
		router:    o.Router,
		codec:     encap.New(o.Keys),
		resets:    newResetter(o.Keys),
		node:      o.InternalConn,
		control:   o.HandleControl,
		frontend:  o.Frontend,
		counters:  newCounters(o.Metrics),
		frontends: map[frontKey]*front{},
	}
}

// Update opens and closes sockets so that they match the services' addresses.
// It returns an error that names every address that could not be opened.
func (r *Relay) Update(cfg *config.Config) error {
	wanted := r.wanted(cfg)

	r.mu.Lock()
	defer r.mu.Unlock()

	for key, f := range r.frontends {
		if wanted[key] != f.local {
			f.conn.Close()
			delete(r.frontends, key)
		}
	}

	var failed error
	for key, local := range wanted {
		if r.frontends[key] != nil {
			continue
		}
		f, err := r.open(key, local)
		if err != nil {
			failed = err
			continue
		}
		r.frontends[key] = f
		go r.readCallers(f)
	}
	return failed
}

// Run moves datagrams from agents until the context ends or the socket fails.
func (r *Relay) Run(ctx context.Context) error {
	go func() {
		<-ctx.Done()
		r.close()
	}()

	err := r.readAgents()
	if ctx.Err() != nil {
		return nil
	}
	return err
}

func (r *Relay) wanted(cfg *config.Config) map[frontKey]netip.AddrPort {
	wanted := map[frontKey]netip.AddrPort{}
	for i := range cfg.Services {
		s := &cfg.Services[i]
		for index, text := range s.Addresses {
			local := netip.MustParseAddrPort(text) // the configuration was validated
			if r.frontend.IsValid() {
				local = netip.AddrPortFrom(r.frontend, local.Port())
			}
			wanted[frontKey{service: s.Number, address: uint8(index)}] = local
		}
	}
	return wanted
}

func (r *Relay) open(key frontKey, local netip.AddrPort) (*front, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(local))
	if err != nil {
		return nil, errors.Wrapf(err, "listen for service %d on %s", key.service, local)
	}

	// The kernel caps what it grants; a small buffer works, only worse.
	_ = conn.SetReadBuffer(socketBuffer)
	_ = conn.SetWriteBuffer(socketBuffer)
	r.log.Info("listening", "service", key.service, "address", local)
	return &front{key: key, local: local, conn: conn, batch: ipv4.NewPacketConn(conn)}, nil
}

func (r *Relay) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, f := range r.frontends {
		f.conn.Close()
	}
	r.node.Close()
}

func (r *Relay) front(key frontKey) *front {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.frontends[key]
}
