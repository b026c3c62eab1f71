// Package relay is the data path of a balancer: it forwards datagrams between
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
	batchSize    = 32      // datagrams
	maxDatagram  = 2048    // bytes
	socketBuffer = 4 << 20 // bytes
)

// Relay forwards datagrams. Update and Run are safe for concurrent use.
type Relay struct {
	log           *slog.Logger
	metrics       *metric.Set
	router        *route.Router
	codec         *encap.Codec
	resets        *resetter
	internalConn  *net.UDPConn
	handleControl func(datagram []byte)
	frontend      netip.Addr
	counters      *counters

	mu        sync.RWMutex
	listeners map[listenerKey]*listener
}

// listenerKey identifies one address of one service.
type listenerKey struct {
	serviceNumber uint32
	addressIndex  uint8
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

// New returns a Relay that serves no addresses until Update.
func New(o Options) *Relay {
	return &Relay{
		log:           o.Log,
		metrics:       o.Metrics,
		router:        o.Router,
		codec:         encap.New(o.Keys),
		resets:        newResetter(o.Keys),
		internalConn:  o.InternalConn,
		handleControl: o.HandleControl,
		frontend:      o.Frontend,
		counters:      newCounters(o.Metrics),
		listeners:     map[listenerKey]*listener{},
	}
}

// Update opens and closes sockets to match the services' addresses. It tries all
// of them and returns the error of one that could not be opened.
func (r *Relay) Update(cfg *config.Config) error {
	wanted := r.serviceAddresses(cfg)

	r.mu.Lock()
	defer r.mu.Unlock()

	for key, l := range r.listeners {
		if wanted[key] != l.address {
			l.conn.Close()
			delete(r.listeners, key)
		}
	}

	var lastErr error
	for key, local := range wanted {
		if r.listeners[key] != nil {
			continue
		}
		l, err := r.open(key, local)
		if err != nil {
			lastErr = err
			continue
		}
		r.listeners[key] = l
		go r.readCallers(l)
	}
	return lastErr
}

// Run forwards datagrams from agents until the context ends or the socket fails.
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

func (r *Relay) serviceAddresses(cfg *config.Config) map[listenerKey]netip.AddrPort {
	addresses := map[listenerKey]netip.AddrPort{}
	for i := range cfg.Services {
		s := &cfg.Services[i]
		for index, text := range s.Addresses {
			local := netip.MustParseAddrPort(text) // the configuration was validated
			if r.frontend.IsValid() {
				local = netip.AddrPortFrom(r.frontend, local.Port())
			}
			addresses[listenerKey{serviceNumber: s.Number, addressIndex: uint8(index)}] = local
		}
	}
	return addresses
}

func (r *Relay) open(key listenerKey, local netip.AddrPort) (*listener, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(local))
	if err != nil {
		return nil, errors.Wrapf(err, "listen for service %d on %s", key.serviceNumber, local)
	}

	// The kernel may grant smaller buffers, which cost throughput but work.
	_ = conn.SetReadBuffer(socketBuffer)
	_ = conn.SetWriteBuffer(socketBuffer)
	r.log.Info("listening", "service", key.serviceNumber, "address", local)
	return &listener{key: key, address: local, conn: conn, packetConn: ipv4.NewPacketConn(conn)}, nil
}

func (r *Relay) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, l := range r.listeners {
		l.conn.Close()
	}
	r.internalConn.Close()
}

func (r *Relay) listener(key listenerKey) *listener {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.listeners[key]
}
