// Package caller generates load: each simulated user opens an HTTP/3 connection,
// makes a few requests without retries, and closes the connection.
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
	idleTimeout     = 15 * time.Second
	keepAlivePeriod = 2 * time.Second
	requestTimeout  = 20 * time.Second
	maxRequests     = 4 // of one user
	thinkTime       = 20 * time.Millisecond
	feedSeconds     = 2
)

// Outcome is how a request ended, as its user sees it.
type Outcome string

// The values of Outcome.
const (
	Complete  Outcome = "whole"
	Refused   Outcome = "refused"   // the answer says that the request was not run
	Broken    Outcome = "broken"    // no answer, an incomplete one, or an error status
	Misrouted Outcome = "misrouted" // answered by another service
)

// Service is a service that the users call.
type Service struct {
	Name    string
	Address netip.AddrPort

	// Feeds makes users open feeds and submit entries; otherwise they download.
	Feeds bool
}

// Result describes a request that has ended.
type Result struct {
	ID string

	// Kind is submission, feed or download.
	Kind    string
	Outcome Outcome
	Detail  string

	// Domain is the failure domain named by the last answer on the connection; empty if none named one.
	Domain string

	// Upstream is the name of the upstream that answered; empty if none did.
	Upstream string

	// Start is the time at which the request began, counted from the call of New.
	Start    time.Duration
	Duration time.Duration
}

// Options set how many users there are and what they request.
type Options struct {
	Services []Service
	RootCAs  *x509.CertPool

	// Users is the number of concurrent users if Rate is 0.
	Users int

	// Rate is the mean number of users that arrive per second, independent of how
	// many are still active (an open loop). With 0, the number of users is constant.
	Rate float64

	// Download is the length of a download in bytes.
	Download int

	// Seed makes the users' choices repeatable.
	Seed uint64
}

// Generator simulates the users. It is safe for concurrent use.
type Generator struct {
	options  Options
	idPrefix string
	started  time.Time
	lastID   atomic.Uint64

	mu      sync.Mutex
	results []Result
}

// New returns a Generator that has not started yet.
func New(o Options) *Generator {
	return &Generator{options: o, started: time.Now(), idPrefix: fmt.Sprintf("%x", rand.Uint64())}
}

// Run starts user sessions until the context ends, and returns once the last session has ended.
func (g *Generator) Run(ctx context.Context) {
	if g.options.Rate > 0 {
		g.runOpen(ctx)
		return
	}

	var users sync.WaitGroup
	for i := range g.options.Users {
		random := rand.New(rand.NewPCG(g.options.Seed, uint64(i)))
		users.Go(func() {
			for ctx.Err() == nil {
				g.session(ctx, random)
			}
		})
	}
	users.Wait()
}

// runOpen starts sessions as a Poisson process of the given rate. Sessions that
// are open when the context ends run to completion.
func (g *Generator) runOpen(ctx context.Context) {
	random := rand.New(rand.NewPCG(g.options.Seed, 0))
	var users sync.WaitGroup
	next := time.Now()
	for i := uint64(1); ctx.Err() == nil; i++ {
		next = next.Add(time.Duration(random.ExpFloat64() / g.options.Rate * float64(time.Second)))
		time.Sleep(time.Until(next))
		userRandom := rand.New(rand.NewPCG(g.options.Seed, i))
		users.Go(func() { g.session(context.WithoutCancel(ctx), userRandom) })
	}
	users.Wait()
}

// Results returns the results so far, in the order in which the requests ended.
func (g *Generator) Results() []Result {
	g.mu.Lock()
	defer g.mu.Unlock()
	return append([]Result(nil), g.results...)
}

// session makes one user's requests over one connection.
func (g *Generator) session(ctx context.Context, random *rand.Rand) {
	transport := &http3.Transport{
		TLSClientConfig: &tls.Config{RootCAs: g.options.RootCAs, ServerName: certs.PublicName},
		QUICConfig:      &quic.Config{MaxIdleTimeout: idleTimeout, KeepAlivePeriod: keepAlivePeriod},
	}
	defer transport.Close()

	service := g.options.Services[random.IntN(len(g.options.Services))]
	domain := ""
	for range 1 + random.IntN(maxRequests) {
		if ctx.Err() != nil {
			return
		}
		result := g.request(transport, service, random)
		if result.Domain == "" {
			result.Domain = domain
		}
		domain = result.Domain

		g.mu.Lock()
		g.results = append(g.results, result)
		g.mu.Unlock()
		time.Sleep(thinkTime)
	}
}

func (g *Generator) request(transport *http3.Transport, service Service, random *rand.Rand) Result {
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()

	id := fmt.Sprintf("%s-%d", g.idPrefix, g.lastID.Add(1))
	request, want := g.newRequest(ctx, service, id, random)
	kind := want.kind()
	started := time.Now()
	result := Result{ID: id, Kind: kind, Start: started.Sub(g.started)}
	perform(transport, request, service, want, &result)
	result.Duration = time.Since(started)
	return result
}

// newRequest returns a request and what a complete answer to it contains.
func (g *Generator) newRequest(ctx context.Context, service Service, id string, random *rand.Rand) (*http.Request, expectation) {
	base := "https://" + service.Address.String()
	method, path, body := http.MethodGet, fmt.Sprintf("/reports/%s?bytes=%d", id, g.options.Download), ""
	want := expectation{length: int64(g.options.Download)}
	if service.Feeds && random.IntN(4) == 0 {
		path, want = fmt.Sprintf("/feeds/%s?seconds=%d", id, feedSeconds), expectation{lastLine: true}
	} else if service.Feeds {
		method, path, body = http.MethodPost, "/submissions", strings.Repeat("signed entry ", 40)
		want = expectation{text: "accepted " + id + "\n"}
	}

	request, err := http.NewRequestWithContext(ctx, method, base+path, strings.NewReader(body))
	if err != nil {
		panic(err) // method and URL are always valid
	}
	request.Header.Set("Request-Id", id)
	request.Header.Set("Expected-Service", service.Name)
	if method == http.MethodPost {
		request.Header.Set("Idempotency-Key", id)
	}
	return request, want
}

// expectation is what a complete answer contains. It checks length only if the
// other fields are not set.
type expectation struct {
	text     string // the entire body
	length   int64  // of the body, in bytes
	lastLine bool   // the body ends with the last line of a feed
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

func (e expectation) matches(body []byte) bool {
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

// perform sends the request once and records in result how it ended.
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
	case !want.matches(body):
		result.Detail = fmt.Sprintf("incomplete answer of %d bytes", len(body))
	default:
		result.Outcome = Complete
	}
}
