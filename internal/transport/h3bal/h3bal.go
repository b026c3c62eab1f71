// Package h3bal runs a balancer of HTTP/3 services: it updates the routing table
// and the services' sockets when the configuration or the members change.
package h3bal

import (
	"context"
	"log/slog"
	"net/netip"
	"time"

	"github.com/coriandershift/coriandershift/internal/coordination/route"
	"github.com/coriandershift/coriandershift/internal/state/config"
	"github.com/coriandershift/coriandershift/internal/state/connid"
	"github.com/coriandershift/coriandershift/internal/state/keyset"
	"github.com/coriandershift/coriandershift/internal/state/roster"
	"github.com/coriandershift/coriandershift/internal/transport/ctrl"
	"github.com/coriandershift/coriandershift/internal/transport/metric"
	"github.com/coriandershift/coriandershift/internal/transport/relay"
)

const (
	// tableInterval is the minimum time between two updates of the routing table.
	tableInterval = 50 * time.Millisecond

	listenRetry = time.Second
)

// Balancer forwards the datagrams of all services on one VM.
type Balancer struct {
	log     *slog.Logger
	metrics *metric.Set
	control *ctrl.Plane
	router  *route.Router
	relay   *relay.Relay

	revision  uint64                  // of the configuration applied last
	listening bool                    // all service addresses of that configuration are open
	live      map[netip.AddrPort]bool // members that are not dead
}

// Options are what a Balancer needs.
type Options struct {
	Log           *slog.Logger
	Metrics       *metric.Set
	Control       *ctrl.Plane
	Keys          keyset.Set
	ConnectionIDs *connid.Codec

	// Frontend, if valid, replaces the IP address of the services' addresses.
	Frontend netip.Addr
}

// New returns a Balancer that does nothing until Run.
func New(o Options) *Balancer {
	router := route.New(o.Keys, o.ConnectionIDs)
	return &Balancer{
		log:     o.Log,
		metrics: o.Metrics,
		control: o.Control,
		router:  router,
		live:    map[netip.AddrPort]bool{},
		relay: relay.New(relay.Options{
			Log:           o.Log,
			Metrics:       o.Metrics,
			Router:        router,
			Keys:          o.Keys,
			InternalConn:  o.Control.Conn(),
			HandleControl: o.Control.HandleControl,
			Frontend:      o.Frontend,
		}),
	}
}

// Run forwards datagrams until the context ends or the socket fails. After each
// update it calls healthy with true if the balancer can take traffic.
func (b *Balancer) Run(ctx context.Context, healthy func(bool)) error {
	go b.control.Run(ctx)
	go b.watchChanges(ctx, healthy)
	return b.relay.Run(ctx)
}

// watchChanges applies changes of the configuration and of the members, and retries
// service addresses that could not be opened.
func (b *Balancer) watchChanges(ctx context.Context, healthy func(bool)) {
	retry := time.NewTicker(listenRetry)
	defer retry.Stop()

	for {
		select {
		case <-ctx.Done():
			return
		case <-b.control.Changed():
			b.apply(healthy)
			time.Sleep(tableInterval)
		case <-retry.C:
			if b.revision > 0 && !b.listening {
				b.apply(healthy)
			}
		}
	}
}

// apply updates the routing table to the current configuration and members. The
// service addresses depend on the configuration alone.
func (b *Balancer) apply(healthy func(bool)) {
	cfg := b.control.Config()
	changed := b.control.TakeChanged()
	b.countMembers(changed)
	if cfg.Revision != b.revision {
		b.revision = cfg.Revision
		b.listening = false
		b.router.Configure(cfg, b.control.Members())
	} else {
		b.router.UpdateMembers(changed)
	}

	if !b.listening {
		b.listen(cfg)
	}
	healthy(b.listening && cfg.Revision > 0 && b.control.Self().State == roster.Alive)
}

func (b *Balancer) listen(cfg *config.Config) {
	err := b.relay.Update(cfg)
	if err != nil {
		b.log.Error("cannot open service address", "error", err)
	}
	b.listening = err == nil
}

// countMembers updates the number of members that are not dead.
func (b *Balancer) countMembers(changed []roster.Member) {
	for i := range changed {
		if changed[i].State == roster.Dead {
			delete(b.live, changed[i].Address)
			continue
		}
		b.live[changed[i].Address] = true
	}
	b.metrics.Members.Set(float64(len(b.live)))
}
