// Package caller is a small stand-in for the users: each opens a flow, makes a
// few requests, tries each of them once, and leaves.
package caller

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"

	"github.com/coriandershift/coriandershift/internal/standin/certs"
)

const (
	idleTimeout    = 15 * time.Second
	keepAlive      = 2 * time.Second
	requestTimeout = 20 * time.Second
	mostRequests   = 4
	thinkTime      = 20 * time.Millisecond
	feedSeconds    = 2
)

// Outcome is how a request ended for its user.
type Outcome string

// The verdicts.
const (
	Complete  Outcome = "whole"
	Refused   Outcome = "refused"
	Broken    Outcome = "broken"
	Misrouted Outcome = "misrouted"
)

// Service is what the users call.
type Service struct {
	Name    string
	Address netip.AddrPort

	// Feeds says that users open feeds and submit entries; otherwise they download.
	Feeds bool
}

// Result is one request with its end.
type Result struct {
	ID string

	// Kind is submission, feed or download.
	Kind    string
	Outcome Outcome
	Detail  string

	// Domain is the failure domain that the flow is known to end in; empty if no answer told it.
	Domain string

	// Upstream is the one that answered, if one did.
	Upstream string

	// Start is when the request began, from the generator's start.
	Start    time.Duration
	Duration time.Duration
}

// Options say how many users come and what they ask for.
type Options struct {
	Services []Service
	RootCAs  *x509.CertPool

	// Users is how many are there at once, if Rate is 0.
	Users int

	// Rate is how many users come each second, whatever happens to those before; 0 for a fixed number.
	Rate float64

	// Download is the length of a download, in bytes.
	Download int

	// Seed makes the users' choices repeatable.
	Seed uint64
}

// Generator makes the users' requests. It is safe for concurrent use.
type Generator struct {
	options Options
	prefix  string
	started time.Time
	next    atomic.Uint64

	mu      sync.Mutex
	results []Result
}

// New returns a Generator that has not started yet.
func New(o Options) *Generator {
	return &Generator{options: o, started: time.Now(), prefix: fmt.Sprintf("%x", rand.Uint64())}
}

// Run lets users come until the context ends, and returns once the last has left.
func (c *Generator) Run(ctx context.Context) {
	if c.options.Rate > 0 {
		c.runOpen(ctx)
		return
	}

	var users sync.WaitGroup
	for i := range c.options.Users {
		random := rand.New(rand.NewPCG(c.options.Seed, uint64(i)))
		users.Go(func() {
			for ctx.Err() == nil {
				c.session(ctx, random)
			}
		})
	}
	users.Wait()
}

// runOpen lets users come at random times with a given rate.
func (c *Generator) runOpen(ctx context.Context) {
	random := rand.New(rand.NewPCG(c.options.Seed, 0))
	var users sync.WaitGroup
	next := time.Now()
	for i := uint64(1); ctx.Err() == nil; i++ {
		next = next.Add(time.Duration(random.ExpFloat64() / c.options.Rate * float64(time.Second)))
		time.Sleep(time.Until(next))
		own := rand.New(rand.NewPCG(c.options.Seed, i))
		users.Go(func() { c.session(context.WithoutCancel(ctx), own) })
	}
	users.Wait()
}

// Results returns the requests that have ended.
func (c *Generator) Results() []Result {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]Result(nil), c.results...)
}

// session is one user from the first packet to the last.
func (c *Generator) session(ctx context.Context, random *rand.Rand) {
	transport := &http3.Transport{
		TLSClientConfig: &tls.Config{RootCAs: c.options.RootCAs, ServerName: certs.PublicName},
		QUICConfig:      &quic.Config{MaxIdleTimeout: idleTimeout, KeepAlivePeriod: keepAlive},
	}
	defer transport.Close()

	service := c.options.Services[random.IntN(len(c.options.Services))]
	domain := ""
	for range 1 + random.IntN(mostRequests) {
		if ctx.Err() != nil {
			return
		}
		result := c.request(transport, service, random)
		if result.Domain == "" {
			result.Domain = domain
		}
		domain = result.Domain

		c.mu.Lock()
		c.results = append(c.results, result)
		c.mu.Unlock()
		time.Sleep(thinkTime)
	}
}

func (c *Generator) request(transport *http3.Transport, service Service, random *rand.Rand) Result {
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()

	id := fmt.Sprintf("%s-%d", c.prefix, c.next.Add(1))
	request, want := c.newRequest(ctx, service, id, random)
	kind := want.kind()
	started := time.Now()
	result := Result{ID: id, Kind: kind, Start: started.Sub(c.started)}
	perform(transport, request, service, want, &result)
	result.Duration = time.Since(started)
	return result
}

// newRequest returns a request and what its answer must hold.
func (c *Generator) newRequest(ctx context.Context, service Service, id string, random *rand.Rand) (*http.Request, expectation) {
	base := "https://" + service.Address.String()
	method, path, body := http.MethodGet, fmt.Sprintf("/reports/%s?bytes=%d", id, c.options.Download), ""
	want := expectation{length: int64(c.options.Download)}
	if service.Feeds && random.IntN(4) == 0 {
		path, want = fmt.Sprintf("/feeds/%s?seconds=%d", id, feedSeconds), expectation{lastLine: true}
	} else if service.Feeds {
		method, path, body = http.MethodPost, "/submissions", strings.Repeat("signed entry ", 40)
		want = expectation{text: "accepted " + id + "\n"}
	}

	request, err := http.NewRequestWithContext(ctx, method, base+path, strings.NewReader(body))
	if err != nil {
		panic(err) // the parts are well formed
	}
	request.Header.Set("Request-Id", id)
	request.Header.Set("Expected-Service", service.Name)
	if method == http.MethodPost {
		request.Header.Set("Idempotency-Key", id)
	}
	return request, want
}

// expectation is what a whole answer holds.
type expectation struct {
	text     string
	length   int64
	lastLine bool
}

func (e expectation) kind() string {
	switch {
	case e.text != "":
		return "submission"
	case e.lastLine:
		return "feed"
	}
	return "download"
}

func (e expectation) holds(body []byte) bool {
	switch {
	case e.text != "":
		return string(body) == e.text
	case e.lastLine:
		var line, lines int
		text := strings.TrimSpace(string(body))
		last := text[strings.LastIndexByte(text, '\n')+1:]
		_, err := fmt.Sscanf(last, "data: task %d of %d", &line, &lines)
		return err == nil && line == lines
	}
	return int64(len(body)) == e.length
}

// perform makes the request once and fills in how it ended.
func perform(transport *http3.Transport, request *http.Request, service Service, want expectation, result *Result) {
	result.Outcome = Broken
	response, err := transport.RoundTrip(request)
	if err != nil {
		result.Detail = errors.Cause(err).Error()
		return
	}
	defer response.Body.Close()

	result.Domain = response.Header.Get("Failure-Domain")
	result.Upstream = response.Header.Get("Upstream-Name")
	body, err := io.ReadAll(response.Body)
	if err != nil {
		result.Detail = err.Error()
		return
	}

	name := response.Header.Get("Service-Name")
	text := strings.TrimSpace(string(body))
	switch {
	case response.Header.Get("Request-Outcome") == "not-run":
		result.Outcome, result.Detail = Refused, text
	case response.StatusCode != http.StatusOK:
		result.Detail = response.Status + ": " + text
	case name != service.Name:
		result.Outcome, result.Detail = Misrouted, "answered by service "+name
	case !want.holds(body):
		result.Detail = fmt.Sprintf("answer of %d bytes is not whole", len(body))
	default:
		result.Outcome = Complete
	}
}
