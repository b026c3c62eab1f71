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
)

const (
	idleTimeout    = 15 * time.Second
	keepAlive      = 2 * time.Second
	requestTimeout = 20 * time.Second
	mostRequests   = 4
	thinkTime      = 20 * time.Millisecond
	feedSeconds    = 2
)

// Verdict is how a request ended for its user.
type Verdict string

// The verdicts.
const (
	Whole     Verdict = "whole"
	Refused   Verdict = "refused"
	Broken    Verdict = "broken"
	Misrouted Verdict = "misrouted"
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
	ID      string
	Verdict Verdict
	Detail  string

	// Domain is the failure domain that the flow is known to end in; empty if no answer told it.
	Domain string

	// Began is when the request began, from the crowd's start.
	Began time.Duration
	Took  time.Duration
}

// Options say how many users come and what they ask for.
type Options struct {
	Services  []Service
	Authority *x509.CertPool

	// Users is how many are there at once.
	Users int

	// Download is the length of a download, in bytes.
	Download int

	// Seed makes the users' choices repeatable.
	Seed uint64
}

// Crowd is the users. It is safe for concurrent use.
type Crowd struct {
	options Options
	prefix  string
	started time.Time
	next    atomic.Uint64

	mu      sync.Mutex
	results []Result
}

// New returns a Crowd that has not come yet.
func New(o Options) *Crowd {
	return &Crowd{options: o, started: time.Now(), prefix: fmt.Sprintf("%x", rand.Uint64())}
}

// Run lets users come until the context ends, and returns once the last has left.
func (c *Crowd) Run(ctx context.Context) {
	var users sync.WaitGroup
	for i := range c.options.Users {
		random := rand.New(rand.NewPCG(c.options.Seed, uint64(i)))
		users.Go(func() {
			for ctx.Err() == nil {
				c.visit(ctx, random)
			}
		})
	}
	users.Wait()
}

// Results returns the requests that have ended.
func (c *Crowd) Results() []Result {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]Result(nil), c.results...)
}

// visit is one user from the first packet to the last.
func (c *Crowd) visit(ctx context.Context, random *rand.Rand) {
	transport := &http3.Transport{
		TLSClientConfig: &tls.Config{RootCAs: c.options.Authority, ServerName: "public.coriandershift"},
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

func (c *Crowd) request(transport *http3.Transport, service Service, random *rand.Rand) Result {
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()

	id := fmt.Sprintf("%s-%d", c.prefix, c.next.Add(1))
	request, want := c.newRequest(ctx, service, id, random)
	started := time.Now()
	result := Result{ID: id, Began: started.Sub(c.started)}
	result.Verdict, result.Detail, result.Domain = perform(transport, request, service, want)
	result.Took = time.Since(started)
	return result
}

// newRequest returns a request and what its answer must hold.
func (c *Crowd) newRequest(ctx context.Context, service Service, id string, random *rand.Rand) (*http.Request, expectation) {
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

func perform(transport *http3.Transport, request *http.Request, service Service, want expectation) (Verdict, string, string) {
	response, err := transport.RoundTrip(request)
	if err != nil {
		return Broken, errors.Cause(err).Error(), ""
	}
	defer response.Body.Close()

	domain := response.Header.Get("Failure-Domain")
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return Broken, err.Error(), domain
	}

	if response.Header.Get("Request-Outcome") == "not-run" {
		return Refused, strings.TrimSpace(string(body)), domain
	}
	if response.StatusCode != http.StatusOK {
		return Broken, response.Status + ": " + strings.TrimSpace(string(body)), domain
	}
	if name := response.Header.Get("Service-Name"); name != service.Name {
		return Misrouted, "answered by service " + name, domain
	}
	if !want.holds(body) {
		return Broken, fmt.Sprintf("answer of %d bytes is not whole", len(body)), domain
	}
	return Whole, "", domain
}
