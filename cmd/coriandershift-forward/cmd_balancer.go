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
	Help: "run a balancer",
	Args: &balancerArgs,
	Run:  runBalancer,
}

func runBalancer() error {
	d, err := newDaemon(balancerArgs, balancerMember)
	if err != nil {
		return err
	}
	defer d.logs.Flush()

	signalCtx, stop := signalContext()
	defer stop()
	return d.runBalancer(signalCtx)
}

func balancerMember(f *setup.Forward) roster.Member {
	return roster.Member{Address: f.Address, Role: roster.Balancer, Name: f.Name, Domain: f.Domain, Admin: f.Address}
}

// runBalancer forwards until signalCtx ends. It then fails the fabric's probes and
// goes on forwarding while the fabric may still deliver packets, so that none in
// transit is lost.
func (d *daemon) runBalancer(signalCtx context.Context) error {
	ctx, stop := context.WithCancel(context.Background())
	defer stop()

	balancer, err := fwbal.Listen(fwbal.Options{
		Log: d.log, Metrics: d.metrics, Control: d.control, PacketCodec: platform.PacketCodec{}, Keys: d.settings.Keys(),
		LinkRate: d.settings.LinkRate(), CallerAddress: d.settings.Balancer.Callers,
	})
	if err != nil {
		return err
	}

	var withdrawn atomic.Bool
	ready := func() bool { return balancer.Ready() && !withdrawn.Load() }
	errs := make(chan error, 4)
	go func() { errs <- d.serve(d.settings.Balancer.Ready, platform.ReadinessHandler(ready)) }()
	go func() { errs <- balancer.Run(ctx) }()
	d.start(ctx, errs)
	go d.control.FollowConfigSource(ctx, platform.NewConfigSource(d.store))
	go d.control.SeedFromCensus(ctx)
	go d.control.PublishCensus(ctx)
	d.log.Info("balancer started", "address", d.settings.Address)

	select {
	case err := <-errs:
		return err
	case <-signalCtx.Done():
	}

	minWithdraw, maxWithdraw := time.Duration(d.settings.Balancer.Withdraw), time.Duration(d.settings.Balancer.MaxWithdraw)
	d.log.Info("withdrawing", "least", minWithdraw, "most", maxWithdraw)
	withdrawn.Store(true)
	d.control.Leave()
	balancer.Withdraw(minWithdraw, maxWithdraw)
	d.log.Info("balancer stopped")
	return nil
}

// seedsOf returns the addresses of the seeds. The ports in the settings are ignored:
// all VMs use the same one.
func seedsOf(f *setup.Forward) []netip.AddrPort {
	var seeds []netip.AddrPort
	for _, s := range f.Seeds {
		seeds = append(seeds, netip.AddrPortFrom(s.Addr(), f.Address.Port()))
	}
	return seeds
}
