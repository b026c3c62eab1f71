package main

import (
	"context"
	"time"

	"github.com/coriandershift/coriandershift/internal/clitab"
	"github.com/coriandershift/coriandershift/internal/coordination/commit"
	"github.com/coriandershift/coriandershift/internal/state/roster"
	"github.com/coriandershift/coriandershift/internal/state/setup"
	"github.com/coriandershift/coriandershift/internal/transport/admin"
	"github.com/coriandershift/coriandershift/internal/transport/h3bal"
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

func runBalancer() error {
	d, err := newDaemon(balancerArgs.Settings, balancerMember)
	if err != nil {
		return err
	}

	ctx, stop := untilSignal()
	defer stop()
	return d.runBalancer(ctx)
}

func balancerMember(s *setup.Settings) roster.Member {
	m := roster.Member{Address: s.Address, Role: roster.Balancer, Name: s.Name, Domain: s.Domain}
	if s.Balancer != nil {
		m.Admin = s.Balancer.Admin
	}
	return m
}

// runBalancer serves until the signal, then withdraws from the fabric and goes
// on forwarding for a while, so that no datagram on its way is lost.
func (d *daemon) runBalancer(signalled context.Context) error {
	ctx, stop := context.WithCancel(context.Background())
	defer stop()

	peers, err := admin.MutualTLS(d.settings.Peers)
	if err != nil {
		return err
	}
	server := admin.NewServer(d.log, d.link, commit.New(d.store), d.client)
	balancer := h3bal.New(h3bal.Options{
		Log:           d.log,
		Metrics:       d.metrics,
		Control:       d.link,
		Keys:          d.keys,
		ConnectionIDs: d.ids,
		Frontend:      d.settings.Balancer.Frontend,
	})

	failed := make(chan error, 2)
	go func() { failed <- server.Serve(ctx, d.settings.Balancer.Admin, peers) }()
	go func() { failed <- balancer.Run(ctx, d.healthy.Store) }()
	go d.serveMetrics()
	go d.reloadKeys(ctx)
	go d.link.WatchConfig(ctx)
	go d.link.RefreshSeeds(ctx)
	go d.link.AnnounceSeed(ctx)
	d.log.Info("balancer started", "address", d.settings.Address, "admin", d.settings.Balancer.Admin)

	select {
	case err := <-failed:
		return err
	case <-signalled.Done():
	}

	d.log.Info("withdrawing", "for", time.Duration(d.settings.Balancer.Withdraw))
	d.healthy.Store(false)
	d.link.Leave()
	time.Sleep(time.Duration(d.settings.Balancer.Withdraw))
	d.log.Info("balancer stopped")
	return nil
}
