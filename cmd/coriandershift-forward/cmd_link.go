package main

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/coriandershift/coriandershift/internal/clitab"
	"github.com/coriandershift/coriandershift/internal/transport/scrape"
)

// answerTimeout limits one reading of a VM's metrics.
const answerTimeout = 3 * time.Second

var linkArgs struct {
	Interval  time.Duration `arg:"--interval" default:"1s" help:"time between the two readings that rates are made of"`
	JSON      bool          `arg:"--json" help:"print JSON"`
	Addresses []string      `arg:"positional,required" placeholder:"ADDRESS" help:"addresses of /metrics of balancers and agents, HOST:PORT"`
}

var linkCommand = clitab.Command{
	Name: "link",
	Help: "show what the links of VMs carry, and which datagrams are dropped",
	Args: &linkArgs,
	Run: func() error {
		if linkArgs.Interval <= 0 {
			return errors.WithMessage(clitab.ErrUsage, "--interval must be positive")
		}
		return showLinks(context.Background(), os.Stdout, linkArgs.Addresses, linkArgs.Interval, linkArgs.JSON)
	},
}

// vmLink is what is shown about one VM.
type vmLink struct {
	Address string `json:"address"`

	// Error says why nothing else is set.
	Error string `json:"error,omitempty"`

	// Rate is that of the link in bytes per second; 0 if the process does not know it.
	Rate       float64                  `json:"rate"`
	Directions map[string]linkDirection `json:"directions,omitempty"`

	// Dropped are the datagrams thrown away by reason, Decided all datagrams on which a
	// decision was made by verdict.
	Dropped map[string]count `json:"dropped,omitempty"`
	Decided map[string]count `json:"decided,omitempty"`
}

// linkDirection is what is shown about one direction of a link.
type linkDirection struct {
	Use            float64            `json:"use"` // share of the rate
	QueueSeconds   float64            `json:"queueSeconds"`
	Full           bool               `json:"full"`
	BytesPerSecond map[string]float64 `json:"bytesPerSecond"` // by kind
	Bytes          map[string]uint64  `json:"bytes"`          // since the process started, by kind
}

// count counts since the process started, and between the two readings.
type count struct {
	Total uint64 `json:"total"`
	New   uint64 `json:"new"`
}

// showLinks prints what the VMs at the addresses answer. Its error names those that do
// not; the others are printed all the same.
func showLinks(ctx context.Context, out io.Writer, addresses []string, interval time.Duration, asJSON bool) error {
	links := make([]vmLink, len(addresses))
	var wait sync.WaitGroup
	for i, address := range addresses {
		wait.Go(func() { links[i] = readLink(ctx, address, interval) })
	}
	wait.Wait()

	var failures []string
	for _, l := range links {
		if l.Error != "" {
			failures = append(failures, l.Error)
		}
	}
	if err := printLinks(out, links, asJSON); err != nil {
		return errors.Wrap(err, "print")
	}
	if len(failures) > 0 {
		return errors.New(strings.Join(failures, "; "))
	}
	return nil
}

func printLinks(out io.Writer, links []vmLink, asJSON bool) error {
	if asJSON {
		encoder := json.NewEncoder(out)
		encoder.SetIndent("", "  ")
		return encoder.Encode(links)
	}
	return printLinkTable(out, links)
}

// readLink reads the metrics of a VM twice.
func readLink(ctx context.Context, address string, interval time.Duration) vmLink {
	client := &http.Client{Timeout: answerTimeout}
	first, err := scrape.Fetch(ctx, client, address)
	if err != nil {
		return vmLink{Address: address, Error: err.Error()}
	}
	started := time.Now()
	time.Sleep(interval)
	second, err := scrape.Fetch(ctx, client, address)
	if err != nil {
		return vmLink{Address: address, Error: err.Error()}
	}
	return compare(address, first, second, time.Since(started))
}

// compare returns what has changed between two samples of a process.
func compare(address string, first, second *scrape.Sample, elapsed time.Duration) vmLink {
	l := vmLink{
		Address: address, Rate: second.Rate, Directions: map[string]linkDirection{},
		Dropped: countsSince(first.Dropped, second.Dropped), Decided: countsSince(first.Verdicts, second.Verdicts),
	}
	for name, d := range second.Directions {
		shown := linkDirection{Use: d.Use, QueueSeconds: d.Queue, Full: d.Full, Bytes: d.Bytes, BytesPerSecond: map[string]float64{}}
		for kind, bytes := range countsSince(first.Directions[name].Bytes, d.Bytes) {
			shown.BytesPerSecond[kind] = float64(bytes.New) / elapsed.Seconds()
		}
		l.Directions[name] = shown
	}
	return l
}

func countsSince(first, second map[string]uint64) map[string]count {
	counts := make(map[string]count, len(second))
	for name, total := range second {
		c := count{Total: total, New: total}
		if earlier := first[name]; earlier <= total { // otherwise the process was restarted
			c.New -= earlier
		}
		counts[name] = c
	}
	return counts
}
