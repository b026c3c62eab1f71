package main

import (
	"time"

	"github.com/coriandershift/coriandershift/internal/clitab"
	"github.com/coriandershift/coriandershift/internal/standin/origin"
)

var upstreamArgs struct {
	Listen     string        `arg:"--listen,required" help:"IP address and TCP port"`
	Name       string        `arg:"--name,required" help:"name of the upstream"`
	Service    string        `arg:"--service,required" help:"name of the service"`
	Domain     string        `arg:"--domain" help:"name of the failure domain"`
	Slots      int           `arg:"--slots" default:"5" help:"requests it can run at once when warm"`
	ColdSlots  int           `arg:"--cold-slots" default:"2" help:"requests it can run at once when cold"`
	WarmUp     time.Duration `arg:"--warm-up" default:"2s" help:"time for which it stays cold"`
	Work       time.Duration `arg:"--work" default:"5ms" help:"service time of a request when warm"`
	ColdFactor int           `arg:"--cold-factor" default:"5" help:"factor by which a request takes longer when cold"`
}

var upstreamCommand = clitab.Command{
	Name: "upstream",
	Help: "stand in for an upstream that starts cold",
	Args: &upstreamArgs,
	Run:  runUpstream,
}

func runUpstream() error {
	u := origin.New(origin.Options{
		Name:        upstreamArgs.Name,
		Service:     upstreamArgs.Service,
		Domain:      upstreamArgs.Domain,
		Slots:       upstreamArgs.Slots,
		ColdSlots:   upstreamArgs.ColdSlots,
		WarmUp:      upstreamArgs.WarmUp,
		ServiceTime: upstreamArgs.Work,
		ColdFactor:  upstreamArgs.ColdFactor,
	})
	return serveHTTP(upstreamArgs.Listen, u.Handler())
}
