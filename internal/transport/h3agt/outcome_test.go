package h3agt_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// countingUpstream is an upstream that counts the requests with each
// idempotency key, and then responds as set.
type countingUpstream struct {
	mu      sync.Mutex
	runs    map[string]int
	respond http.HandlerFunc
}

func (c *countingUpstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if _, err := io.Copy(io.Discard, r.Body); err == nil {
		c.mu.Lock()
		if c.runs == nil {
			c.runs = map[string]int{}
		}
		c.runs[r.Header.Get("Idempotency-Key")]++
		c.mu.Unlock()
	}

	c.mu.Lock()
	respond := c.respond
	c.mu.Unlock()
	respond(w, r)
}

// respondWith changes how the upstream responds after it has counted.
func (c *countingUpstream) respondWith(respond http.HandlerFunc) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.respond = respond
}

func (c *countingUpstream) count(key string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.runs[key]
}

func hangUp(w http.ResponseWriter, _ *http.Request) {
	conn, _, err := w.(http.Hijacker).Hijack()
	if err == nil {
		conn.Close()
	}
}

func TestSubmissionRunsAtMostOnce(t *testing.T) {
	bodies := map[string]string{"with a body": "signed", "without a body": ""}
	for name, body := range bodies {
		t.Run(name, func(t *testing.T) {
			upstream := &countingUpstream{respond: greet}
			s := newSystem(t, upstream)
			client := s.client()

			// If connections were reused, the next request would get this one's, and
			// net/http could send it again when the upstream hangs up.
			s.do(client, s.request("POST", "/submissions", "warm", strings.NewReader(body)))

			upstream.respondWith(hangUp)
			status, outcome, _ := s.do(client, s.request("POST", "/submissions", "k", strings.NewReader(body)))
			if status != http.StatusBadGateway || outcome != "unknown" {
				t.Errorf("got status %d, outcome %q; want 502, unknown", status, outcome)
			}
			if runs := upstream.count("k"); runs != 1 {
				t.Errorf("the submission ran %d times", runs)
			}

			upstream.respondWith(greet)
			if status, _, _ := s.do(client, s.request("POST", "/submissions", "k", strings.NewReader(body))); status != http.StatusConflict {
				t.Errorf("a repeat after an unknown outcome got status %d, want 409", status)
			}
			if runs := upstream.count("k"); runs != 1 {
				t.Errorf("the submission ran %d times after it was sent again", runs)
			}
		})
	}
}

func TestRepeatGetsTheFirstAnswer(t *testing.T) {
	var serial atomic.Int32
	upstream := &countingUpstream{respond: func(w http.ResponseWriter, _ *http.Request) { fmt.Fprintf(w, "report %d", serial.Add(1)) }}
	s := newSystem(t, upstream)
	client := s.client()
	for range 3 {
		if _, _, body := s.do(client, s.request("POST", "/breakdowns", "k", strings.NewReader("x"))); body != "report 1" {
			t.Errorf("got %q, want the first report's number", body)
		}
	}
	if runs := upstream.count("k"); runs != 1 {
		t.Errorf("the report ran %d times", runs)
	}
}

func TestCallersDoNotShareKeys(t *testing.T) {
	var serial atomic.Int32
	upstream := &countingUpstream{respond: func(w http.ResponseWriter, _ *http.Request) { fmt.Fprintf(w, "report %d", serial.Add(1)) }}
	s := newSystem(t, upstream)
	client := s.client()
	seen := map[string]bool{}
	for _, caller := range []string{"Bearer a", "Bearer b", ""} {
		for _, path := range []string{"/breakdowns", "/breakdowns/other"} {
			r := s.request("POST", path, "k", strings.NewReader("x"))
			r.Header.Set("Authorization", caller)
			_, _, body := s.do(client, r)
			if seen[body] {
				t.Errorf("caller %q at %s got %q, the answer to another request", caller, path, body)
			}
			seen[body] = true
		}
	}
}

func TestRepeatThroughAnotherAgentRunsOnce(t *testing.T) {
	var serial atomic.Int32
	upstream := &countingUpstream{respond: func(w http.ResponseWriter, _ *http.Request) { fmt.Fprintf(w, "report %d", serial.Add(1)) }}
	s := newSystem(t, upstream, upstream, upstream)
	s.waitForPeers(3)

	for i := range 12 { // each flow goes to a random agent
		status, _, body := s.do(s.client(), s.request("POST", "/breakdowns", "k", strings.NewReader("x")))
		if i == 0 && body != "report 1" || i > 0 && body != "report 1" && status != http.StatusConflict {
			t.Errorf("request %d got status %d, %q", i, status, body)
		}
	}
	if runs := upstream.count("k"); runs != 1 {
		t.Errorf("the report ran %d times", runs)
	}
}

func TestRepeatsAtOnceRunOnce(t *testing.T) {
	upstream := &countingUpstream{respond: func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(50 * time.Millisecond)
		greet(w, r)
	}}
	s := newSystem(t, upstream, upstream, upstream)
	s.waitForPeers(3)

	var callers sync.WaitGroup
	var answered atomic.Int32
	for range 9 {
		client := s.client()
		callers.Go(func() {
			if status, _, _ := s.do(client, s.request("POST", "/breakdowns", "k", strings.NewReader("x"))); status == 200 {
				answered.Add(1)
			}
		})
	}
	callers.Wait()
	if runs := upstream.count("k"); runs != 1 || answered.Load() == 0 {
		t.Errorf("the report ran %d times, %d callers got its answer; want 1, at least 1", runs, answered.Load())
	}
}

func TestUnreachableUpstreamMeansNotRun(t *testing.T) {
	s := newSystem(t, http.HandlerFunc(greet))
	client := s.client()
	s.do(client, s.request("GET", "/x", "", nil))
	s.upstreams[0].Close()
	status, outcome, _ := s.do(client, s.request("POST", "/submissions", "k", strings.NewReader("x")))
	if status != http.StatusServiceUnavailable || outcome != "not-run" {
		t.Errorf("got status %d, outcome %q; want 503, not-run", status, outcome)
	}
}

func TestTruncatedAnswerReachesTheCallerAsAnError(t *testing.T) {
	paths := map[string]string{"with a length": "/reports/1", "feed without a length": "/feeds/1"}
	s := newSystem(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.HasPrefix(r.URL.Path, "/reports/") {
			w.Header().Set("Content-Length", "1000")
		}
		_, _ = w.Write(make([]byte, 500))
		w.(http.Flusher).Flush()
		panic(http.ErrAbortHandler)
	}))
	for name, path := range paths {
		t.Run(name, func(t *testing.T) {
			response, err := s.client().Do(s.request("GET", path, "", nil))
			if err == nil {
				_, err = io.ReadAll(response.Body)
			}
			if err == nil {
				t.Error("a truncated answer ended normally")
			}
		})
	}
}

func TestTimedOutRequestIsReportedUnknownAndCancelled(t *testing.T) {
	cancelled := make(chan struct{})
	s := newSystem(t, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		<-r.Context().Done()
		close(cancelled)
	}))
	status, outcome, _ := s.do(s.client(), s.request("GET", "/short", "", nil))
	if status != http.StatusGatewayTimeout || outcome != "unknown" {
		t.Errorf("got status %d, outcome %q; want 504, unknown", status, outcome)
	}
	select {
	case <-cancelled:
	case <-time.After(pollTimeout):
		t.Error("the request to the upstream was not cancelled in time")
	}
}

func TestCallerWhoLeavesCancelsTheRequest(t *testing.T) {
	started, cancelled := make(chan struct{}), make(chan struct{})
	s := newSystem(t, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		close(started)
		<-r.Context().Done()
		close(cancelled)
	}))
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		<-started
		cancel()
	}()
	_, err := s.client().Do(s.request("GET", "/x", "", nil).WithContext(ctx))
	if !errors.Is(err, context.Canceled) {
		t.Errorf("got %v, want context.Canceled", err)
	}
	select {
	case <-cancelled:
	case <-time.After(pollTimeout):
		t.Error("the request to the upstream was not cancelled in time")
	}
}
