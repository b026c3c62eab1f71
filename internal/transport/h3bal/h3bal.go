// Package h3bal runs a balancer of HTTP/3 services: it keeps the routing table
// and the services' sockets in step with the configuration and the members.
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
	// tableEvery bounds how often the routing table is made anew.
	tableEvery = 50 * time.Millisecond

	listenRetry = time.Second
)

// Balancer is the data path of an entry VM.
type Balancer struct {
	log     *slog.Logger
	metrics *metric.Set
	link    *ctrl.Plane
	router  *route.Router
	relay   *relay.Relay

	// revision and alive are those of the last apply. listening says that it
	// left all service addresses open.
	revision  uint64
	listening bool
	alive     map[netip.AddrPort]bool
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

// New returns a Balancer on a link.
func New(o Options) *Balancer {
	router := route.New(o.Keys, o.ConnectionIDs)
	return &Balancer{
		log:     o.Log,
		metrics: o.Metrics,
		link:    o.Control,
		router:  router,
		alive:   map[netip.AddrPort]bool{},
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

// Run moves datagrams until the context ends or the socket fails. It reports
// to healthy whether the balancer can take traffic.
func (b *Balancer) Run(ctx context.Context, healthy func(bool)) error {
	go b.link.Run(ctx)
	go b.follow(ctx, healthy)
	return b.relay.Run(ctx)
}

// follow makes the routing table anew when the configuration or the members change.
func (b *Balancer) follow(ctx context.Context, healthy func(bool)) {
	retry := time.NewTicker(listenRetry)
	defer retry.Stop()

	for {
		select {
		case <-ctx.Done():
			return
		case <-b.link.Changed():
			b.apply(healthy)
			time.Sleep(tableEvery)
		case <-retry.C:
			if b.revision > 0 && !b.listening {
				b.apply(healthy)
			}
		}
	}
}

// apply takes the current configuration and members into use. The service
// addresses follow the configuration alone.
func (b *Balancer) apply(healthy func(bool)) {
	cfg := b.link.Config()
	changed := b.link.TakeChanged()
	b.count(changed)
	if cfg.Revision != b.revision {
		b.revision = cfg.Revision
		b.listening = false
		b.router.Configure(cfg, b.link.Members())
	} else {
		b.router.UpdateMembers(changed)
	}

	if !b.listening {
		b.listen(cfg)
	}
	healthy(b.listening && cfg.Revision > 0 && b.link.Self().State == roster.Alive)
}

func (b *Balancer) listen(cfg *config.Config) {
	err := b.relay.Update(cfg)
	if err != nil {
		b.log.Error("service address not opened", "error", err)
	}
	b.listening = err == nil
}

// count keeps the number of members that are not dead.
func (b *Balancer) count(changed []roster.Member) {
	for i := range changed {
		if changed[i].State == roster.Dead {
			delete(b.alive, changed[i].Address)
			continue
		}
		b.alive[changed[i].Address] = true
	}
	b.metrics.Members.Set(float64(len(b.alive)))
}
