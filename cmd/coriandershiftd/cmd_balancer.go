package main

import (
	"context"
	"time"

	"github.com/coriandershift/coriandershift/internal/clitab"
	"github.com/coriandershift/coriandershift/internal/coordination/commit"
	"github.com/coriandershift/coriandershift/internal/coordination/route"
	"github.com/coriandershift/coriandershift/internal/state/roster"
	"github.com/coriandershift/coriandershift/internal/state/setup"
	"github.com/coriandershift/coriandershift/internal/transport/admin"
	"github.com/coriandershift/coriandershift/internal/transport/relay"
)

const (
	// tableEvery bounds how often the routing table is made anew.
	tableEvery = 50 * time.Millisecond

	listenRetry = time.Second
)

var balancerArgs struct {
	Settings string `arg:"--settings,required" help:"settings file, JSON with comments"`
}

var balancerCommand = clitab.Command{
	Name: "balancer",
	Help: "run a balancer",
	Args: &balancerArgs,
	Run:  runBalancer,
}

// balancer is the daemon of an entry VM.
type balancer struct {
	*daemon
	router *route.Router
	relay  *relay.Relay
}

func runBalancer() error {
	d, err := newDaemon(balancerArgs.Settings, balancerMember)
	if err != nil {
		return err
	}

	b := &balancer{daemon: d, router: route.New(d.keys, d.ids)}
	b.relay = relay.New(relay.Options{
		Log:      d.log,
		Metrics:  d.metrics,
		Router:   b.router,
		Keys:     d.keys,
		Node:     d.link.Conn(),
		Control:  d.link.Control,
		Frontend: d.settings.Balancer.Frontend,
	})

	ctx, stop := untilSignal()
	defer stop()
	return b.run(ctx)
}

func balancerMember(s *setup.Settings) roster.Member {
	m := roster.Member{Address: s.Address, Role: roster.Balancer, Name: s.Name, Domain: s.Domain}
	if s.Balancer != nil {
		m.Admin = s.Balancer.Admin
	}
	return m
}

// run serves until the signal, then withdraws from the fabric and goes on
// forwarding for a while, so that no datagram on its way is lost.
func (b *balancer) run(signalled context.Context) error {
	ctx, stop := context.WithCancel(context.Background())
	defer stop()

	peers, err := admin.TLS(b.settings.Peers)
	if err != nil {
		return err
	}
	server := admin.NewServer(b.log, b.link, commit.New(b.store), b.client)

	failed := make(chan error, 2)
	go func() { failed <- server.Serve(ctx, b.settings.Balancer.Admin, peers) }()
	go func() { failed <- b.relay.Run(ctx) }()
	go b.serveMetrics()
	go b.reloadKeys(ctx)
	go b.link.Run(ctx)
	go b.link.Watch(ctx)
	go b.link.FollowSeeds(ctx)
	go b.link.AnnounceSeed(ctx)
	go b.follow(ctx)
	b.log.Info("balancer started", "address", b.settings.Address, "admin", b.settings.Balancer.Admin)

	select {
	case err := <-failed:
		return err
	case <-signalled.Done():
	}

	b.log.Info("withdrawing", "for", time.Duration(b.settings.Balancer.Withdraw))
	b.healthy.Store(false)
	b.link.Leave()
	time.Sleep(time.Duration(b.settings.Balancer.Withdraw))
	b.log.Info("balancer stopped")
	return nil
}

// follow makes the routing table anew when the configuration or the members change.
func (b *balancer) follow(ctx context.Context) {
	retry := time.NewTicker(listenRetry)
	defer retry.Stop()

	failed := false
	for {
		select {
		case <-ctx.Done():
			return
		case <-b.link.Changed():
			failed = !b.apply()
			time.Sleep(tableEvery)
		case <-retry.C:
			if failed {
				failed = !b.apply()
			}
		}
	}
}

// apply takes the current configuration and members into use, and reports
// whether all service addresses are open.
func (b *balancer) apply() bool {
	cfg := b.link.Config()
	members := b.link.Members()
	b.router.Update(cfg, members)
	b.metrics.Members.Set(float64(countAlive(members)))

	err := b.relay.Update(cfg)
	if err != nil {
		b.log.Error("service address not opened", "error", err)
	}
	b.healthy.Store(err == nil && cfg.Revision > 0 && b.link.Self().State == roster.Alive)
	return err == nil
}

func countAlive(members []roster.Member) int {
	alive := 0
	for i := range members {
		if members[i].State != roster.Dead {
			alive++
		}
	}
	return alive
}
