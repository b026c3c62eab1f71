package main

import (
	"context"
	"log/slog"
	"net/netip"
	"os"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/coriandershift/coriandershift/internal/clitab"
	"github.com/coriandershift/coriandershift/internal/standin/fabric"
)

var fabricArgs struct {
	Services  []netip.AddrPort `arg:"--service,separate,required" help:"IP address and UDP port of a service; may be repeated"`
	Balancers []string         `arg:"--balancer,separate,required" help:"IP address of a balancer's frontend and its health URL, as IP=URL; may be repeated"`
	Loss      float64          `arg:"--loss" help:"share of datagrams lost, 0 to 1"`
	Duplicate float64          `arg:"--duplicate" help:"share of datagrams duplicated, 0 to 1"`
	Delay     time.Duration    `arg:"--delay" help:"longest delay of a datagram"`
}

var fabricCommand = clitab.Command{
	Name: "fabric",
	Help: "stand in for the network that sprays packets over the balancers",
	Args: &fabricArgs,
	Run:  runFabric,
}

func runFabric() error {
	var balancers []fabric.Balancer
	for _, text := range fabricArgs.Balancers {
		ip, health, _ := strings.Cut(text, "=")
		frontend, err := netip.ParseAddr(ip)
		if err != nil {
			return errors.Wrapf(err, "balancer %q", text)
		}
		balancers = append(balancers, fabric.Balancer{Frontend: frontend, HealthURL: health})
	}

	log := slog.New(slog.NewTextHandler(os.Stderr, nil))
	faults := fabric.Faults{Loss: fabricArgs.Loss, Duplicate: fabricArgs.Duplicate, Delay: fabricArgs.Delay}
	return fabric.New(log, balancers, faults).Serve(context.Background(), fabricArgs.Services)
}
