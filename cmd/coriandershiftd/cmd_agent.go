package main

import (
	"github.com/coriandershift/coriandershift/internal/clitab"
	"github.com/coriandershift/coriandershift/internal/state/roster"
	"github.com/coriandershift/coriandershift/internal/state/setup"
	"github.com/coriandershift/coriandershift/internal/transport/admin"
	"github.com/coriandershift/coriandershift/internal/transport/h3agt"
)

var agentArgs struct {
	Settings string `arg:"--settings,required" help:"settings file, JSON with comments"`
}

var agentCommand = clitab.Command{
	Name: "agent",
	Help: "run the agent beside an upstream",
	Args: &agentArgs,
	Run:  runAgent,
}

func runAgent() error {
	d, err := newDaemon(agentArgs.Settings, agentMember)
	if err != nil {
		return err
	}

	ctx, stop := signalContext()
	defer stop()

	go d.serveMetrics()
	go d.reloadKeys(ctx)
	d.healthy.Store(true)

	peerTLS, err := admin.MutualTLS(d.settings.Peers)
	if err != nil {
		return err
	}

	d.log.Info("agent started", "address", d.settings.Address, "service", d.settings.Agent.Service)
	err = h3agt.New(h3agt.Options{
		Settings:       d.settings,
		Keys:           d.keys,
		ConnectionIDs:  d.connectionIDs,
		Control:        d.control,
		PeerTLS:        peerTLS,
		UnverifiedRate: h3agt.DefaultUnverifiedRate,
		Log:            d.log,
		Metrics:        d.metrics,
	}).Run(ctx)
	d.log.Info("agent stopped")
	return ignoreCancelled(err)
}

func agentMember(s *setup.Settings) roster.Member {
	m := roster.Member{Address: s.Address, Role: roster.Agent, Name: s.Name, Domain: s.Domain}
	if s.Agent != nil {
		m.Service = s.Agent.Service
		m.Admin = s.Agent.Peer
	}
	return m
}
