package main

import (
	"context"
	"time"

	"github.com/coriandershift/coriandershift/internal/clitab"
	"github.com/coriandershift/coriandershift/internal/state/roster"
	"github.com/coriandershift/coriandershift/internal/state/setup"
	"github.com/coriandershift/coriandershift/internal/transport/fwagt"
	"github.com/coriandershift/coriandershift/platform"
)

var agentArgs settingsArgs

var agentCommand = clitab.Command{
	Name: "agent",
	Help: "run the agent beside an upstream",
	Args: &agentArgs,
	Run:  runAgent,
}

func runAgent() error {
	d, err := newDaemon(agentArgs, agentMember)
	if err != nil {
		return err
	}
	defer d.logs.Flush()

	signalCtx, stop := signalContext()
	defer stop()
	return d.runAgent(signalCtx)
}

func agentMember(f *setup.Forward) roster.Member {
	m := roster.Member{Address: f.Address, Role: roster.Agent, Name: f.Name, Domain: f.Domain, Admin: f.Address}
	if f.Agent != nil {
		m.Service = f.Agent.Service
	}
	return m
}

func (d *daemon) runAgent(signalCtx context.Context) error {
	ctx, stop := context.WithCancel(context.Background())
	defer stop()

	settings := d.settings.Agent
	agent, err := fwagt.Listen(fwagt.Options{
		Log: d.log, Metrics: d.metrics, Control: d.control, PacketCodec: platform.PacketCodec{}, Keys: d.settings.Keys(),
		Service: settings.Service, Upstream: settings.Upstream, Outbound: settings.Outbound,
		CallerPort: settings.Callers.Port(), LinkRate: d.settings.LinkRate(),
	})
	if err != nil {
		return err
	}

	announcements := platform.AnnouncementHandler(d.log, settings.Service, settings.Upstream, agent)
	errs := make(chan error, 4)
	go func() { errs <- d.serve(settings.Announcements, announcements) }()
	go func() { errs <- agent.Run(ctx) }()
	d.start(ctx, errs)
	go d.control.SeedFromCensus(ctx)
	d.log.Info("agent started", "address", d.settings.Address, "service", settings.Service)

	select {
	case err := <-errs:
		return err
	case <-signalCtx.Done():
	}

	d.log.Info("stopping", "most", time.Duration(settings.Drain))
	agent.Stop(time.Duration(settings.Drain))
	d.log.Info("agent stopped")
	return nil
}
