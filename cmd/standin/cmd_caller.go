package main

import (
	"context"
	"crypto/x509"
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/coriandershift/coriandershift/internal/clitab"
	"github.com/coriandershift/coriandershift/internal/standin/caller"
	"github.com/coriandershift/coriandershift/internal/standin/origin"
)

const progressInterval = time.Second

var callerArgs struct {
	Services    []string `arg:"--service,separate,required" help:"service to call, as NAME=IP:PORT, or NAME=IP:PORT,feeds for feeds and submissions; may be repeated"`
	Authority   string   `arg:"--authority,required" help:"certificate of the authority to trust"`
	Seconds     int      `arg:"--seconds" default:"10" help:"time in seconds in which users arrive"`
	Users       int      `arg:"--users" default:"24" help:"number of concurrent users"`
	Rate        float64  `arg:"--rate" help:"users that arrive each second, instead of a fixed number at once"`
	Download    int      `arg:"--download" default:"1048576" help:"length of a download in bytes"`
	Seed        uint64   `arg:"--seed" default:"1" help:"seed of the users' random choices"`
	Upstreams   []string `arg:"--upstream,separate" help:"URL of an upstream to ask for what it saw; may be repeated"`
	OutDomains  []string `arg:"--out-domain,separate" help:"failure domain that is taken out during the run; may be repeated"`
	ShowRefused bool     `arg:"--show-refused" help:"list refusals too"`
}

var callerCommand = clitab.Command{
	Name: "caller",
	Help: "stand in for the users, and report what they and the upstreams saw",
	Args: &callerArgs,
	Run:  runCaller,
}

var errRunFailed = errors.New("requests were broken, misrouted or repeated, or none completed")

func runCaller() error {
	services, err := parseServices(callerArgs.Services)
	if err != nil {
		return err
	}

	authority, err := os.ReadFile(callerArgs.Authority)
	if err != nil {
		return errors.Wrap(err, "read authority")
	}
	pool := x509.NewCertPool()
	pool.AppendCertsFromPEM(authority)

	generator := caller.New(caller.Options{
		Services: services,
		RootCAs:  pool,
		Users:    callerArgs.Users,
		Rate:     callerArgs.Rate,
		Download: callerArgs.Download,
		Seed:     callerArgs.Seed,
	})
	runGenerator(generator)

	stats, err := readStats(callerArgs.Upstreams)
	if err != nil {
		return err
	}

	report := caller.NewReport(generator.Results(), stats, callerArgs.OutDomains)
	for _, line := range report.Failures() {
		fmt.Fprintln(os.Stderr, line)
	}
	for _, line := range report.ByKind(time.Duration(callerArgs.Seconds) * time.Second) {
		fmt.Fprintln(os.Stderr, line)
	}
	fmt.Fprintf(os.Stderr, "whole/refused/other in each second:%s\n", caller.Timeline(generator.Results()))
	fmt.Println(report.String())
	if !report.OK() {
		return errRunFailed
	}
	return nil
}

func runGenerator(generator *caller.Generator) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(callerArgs.Seconds)*time.Second)
	defer cancel()

	done := make(chan struct{})
	go func() {
		generator.Run(ctx)
		close(done)
	}()

	started := time.Now()
	ticker := time.NewTicker(progressInterval)
	defer ticker.Stop()
	for {
		select {
		case <-done:
			return
		case <-ticker.C:
			fmt.Fprintf(os.Stderr, "%3.0fs requests=%d\n", time.Since(started).Seconds(), len(generator.Results()))
		}
	}
}

func parseServices(texts []string) ([]caller.Service, error) {
	var services []caller.Service
	for _, text := range texts {
		name, rest, _ := strings.Cut(text, "=")
		address, option, _ := strings.Cut(rest, ",")
		parsed, err := netip.ParseAddrPort(address)
		if err != nil {
			return nil, errors.Wrapf(err, "service %q", text)
		}
		services = append(services, caller.Service{Name: name, Address: parsed, Feeds: option == "feeds"})
	}
	return services, nil
}

func readStats(urls []string) ([]origin.Stats, error) {
	var all []origin.Stats
	for _, url := range urls {
		response, err := http.Get(url + "/standin/stats")
		if err != nil {
			return nil, errors.Wrapf(err, "get statistics of upstream %s", url)
		}

		var stats origin.Stats
		err = json.NewDecoder(response.Body).Decode(&stats)
		response.Body.Close()
		if err != nil {
			return nil, errors.Wrapf(err, "get statistics of upstream %s", url)
		}
		all = append(all, stats)
	}
	return all, nil
}
