package main

import (
	"context"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/coriandershift/coriandershift/internal/clitab"
	"github.com/coriandershift/coriandershift/internal/state/roster"
	"github.com/coriandershift/coriandershift/internal/state/setup"
	"github.com/coriandershift/coriandershift/internal/transport/fwbal"
	"github.com/coriandershift/coriandershift/platform"
)

var balancerArgs settingsArgs

var balancerCommand = clitab.Command{
	Name: "balancer",
	Help: "run a balancer on an entry VM",
	Args: &balancerArgs,
	Run:  runBalancer,
}

func runBalancer() error {
	d, err := newDaemon(balancerArgs, balancerMember)
	if err != nil {
		return err
	}
	defer d.logs.Flush()

	signalled, stop := untilSignal()
	defer stop()
	return d.runBalancer(signalled)
}

func balancerMember(f *setup.Forward) roster.Member {
	return roster.Member{Address: f.Address, Role: roster.Balancer, Name: f.Name, Domain: f.Domain, Admin: f.Address}
}

// runBalancer forwards until the signal, then withdraws from the fabric and goes
// on for a while, so that no packet on its way is lost.
func (d *daemon) runBalancer(signalled context.Context) error {
	ctx, stop := context.WithCancel(context.Background())
	defer stop()

	balancer, err := fwbal.Listen(fwbal.Options{
		Log: d.log, Metrics: d.metrics, Control: d.link, PacketCodec: platform.PacketCodec{}, Keys: d.settings.Keys(),
		CallerAddress: d.settings.Balancer.Callers,
	})
	if err != nil {
		return err
	}

	var withdrawn atomic.Bool
	ready := func() bool { return balancer.Ready() && !withdrawn.Load() }
	failed := make(chan error, 4)
	go func() { failed <- d.serve(d.settings.Balancer.Ready, platform.ReadinessHandler(ready)) }()
	go func() { failed <- balancer.Run(ctx) }()
	d.start(ctx, failed)
	go d.link.FollowConfigSource(ctx, platform.NewConfigSource(d.store))
	go d.link.SeedFromCensus(ctx)
	go d.link.PublishCensus(ctx)
	d.log.Info("balancer started", "address", d.settings.Address)

	select {
	case err := <-failed:
		return err
	case <-signalled.Done():
	}

	least, most := time.Duration(d.settings.Balancer.Withdraw), time.Duration(d.settings.Balancer.MaxWithdraw)
	d.log.Info("withdrawing", "least", least, "most", most)
	withdrawn.Store(true)
	d.link.Leave()
	balancer.Withdraw(least, most)
	d.log.Info("balancer stopped")
	return nil
}

// seedsOf returns the addresses of seeds, whose port is the daemon's own.
func seedsOf(f *setup.Forward) []netip.AddrPort {
	var seeds []netip.AddrPort
	for _, s := range f.Seeds {
		seeds = append(seeds, netip.AddrPortFrom(s.Addr(), f.Address.Port()))
	}
	return seeds
}
