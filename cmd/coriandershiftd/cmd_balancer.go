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

	ctx, stop := signalContext()
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

// runBalancer serves until signalCtx ends. It then fails the fabric's probes and
// goes on forwarding for the withdraw time, so that no datagram in transit is lost.
func (d *daemon) runBalancer(signalCtx context.Context) error {
	ctx, stop := context.WithCancel(context.Background())
	defer stop()

	peerTLS, err := admin.MutualTLS(d.settings.Peers)
	if err != nil {
		return err
	}
	server := admin.NewServer(d.log, d.control, commit.New(d.store, commit.WithInForce(d.control.Config)), d.client)
	balancer := h3bal.New(h3bal.Options{
		Log:           d.log,
		Metrics:       d.metrics,
		Control:       d.control,
		Keys:          d.keys,
		ConnectionIDs: d.connectionIDs,
		Frontend:      d.settings.Balancer.Frontend,
	})

	errs := make(chan error, 2)
	go func() { errs <- server.Serve(ctx, d.settings.Balancer.Admin, peerTLS) }()
	go func() { errs <- balancer.Run(ctx, d.healthy.Store) }()
	go d.serveMetrics()
	go d.reloadKeys(ctx)
	go d.control.WatchConfig(ctx)
	go d.control.RefreshSeeds(ctx)
	go d.control.AnnounceSeed(ctx)
	d.log.Info("balancer started", "address", d.settings.Address, "admin", d.settings.Balancer.Admin)

	select {
	case err := <-errs:
		return err
	case <-signalCtx.Done():
	}

	d.log.Info("withdrawing", "for", time.Duration(d.settings.Balancer.Withdraw))
	d.healthy.Store(false)
	d.control.Leave()
	time.Sleep(time.Duration(d.settings.Balancer.Withdraw))
	d.log.Info("balancer stopped")
	return nil
}
