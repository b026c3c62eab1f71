package h3agt_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"
)

// steps are where on a request's way a fault befalls the upstream.
var steps = []string{"headers", "body", "status", "middle", "end"}

// faults are what befalls it there.
var faults = map[string]func(http.ResponseWriter, *http.Request){
	"hangs up": func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) },
	"stalls":   stall,
}

const stallTime = 2 * time.Second // well over the class's timeout of 300 ms

// stall ends by itself: net/http does not notice that its client has left
// before the body is read.
func stall(_ http.ResponseWriter, r *http.Request) {
	select {
	case <-r.Context().Done():
	case <-time.After(stallTime):
	}
}

const wholeAnswer = "first half, second half"

// faulty is an upstream that goes wrong at the step and in the way that the request names.
type faulty struct {
	mu   sync.Mutex
	runs map[string]int
}

func (f *faulty) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	fault := faults[r.Header.Get("Fault")]
	at := func(step string) {
		if r.Header.Get("Step") == step {
			fault(w, r)
		}
	}

	f.mu.Lock()
	f.runs[r.Header.Get("Request-Id")]++
	f.mu.Unlock()

	at("headers")
	_, _ = io.Copy(io.Discard, r.Body)
	at("body")
	w.Header().Set("Content-Length", fmt.Sprint(len(wholeAnswer)))
	w.WriteHeader(http.StatusOK)
	w.(http.Flusher).Flush()
	at("status")
	fmt.Fprint(w, wholeAnswer[:11])
	w.(http.Flusher).Flush()
	at("middle")
	fmt.Fprint(w, wholeAnswer[11:len(wholeAnswer)-1])
	w.(http.Flusher).Flush()
	at("end")
	fmt.Fprint(w, wholeAnswer[len(wholeAnswer)-1:])
}

func (f *faulty) count(id string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.runs[id]
}

// TestFaultMatrix brings every fault about at every step, for every kind of
// request, and asks for the promises: an answer that ends as whole is whole, a
// request that is said not to have run did not, one that must not run twice
// runs once at most also when it is sent again, and an answer comes in time.
func TestFaultMatrix(t *testing.T) {
	upstream := &faulty{runs: map[string]int{}}
	s := newSystem(t, upstream, upstream)
	s.waitForPeers(2)

	var requests sync.WaitGroup
	for fault := range faults {
		for _, step := range steps {
			for _, method := range []string{http.MethodGet, http.MethodPost} {
				for _, body := range []string{"", "signed"} {
					name := fmt.Sprintf("%s at %s, %s %q", fault, step, method, body)
					requests.Go(func() { s.tryFault(name, upstream, fault, step, method, body) })
					time.Sleep(10 * time.Millisecond)
				}
			}
		}
	}
	requests.Wait()
}

func (s *system) tryFault(name string, upstream *faulty, fault, step, method, body string) {
	const tries = 2
	client := s.client()
	var ids, notRun []string
	for try := range tries {
		id := fmt.Sprintf("%s, try %d", name, try+1)
		started := time.Now()
		outcome, err := s.attempt(client, id, name, fault, step, method, body)
		if err == nil && outcome == "" {
			s.t.Errorf("%s: the answer ended as if it were whole", name)
		}
		if outcome == "not-run" {
			notRun = append(notRun, id)
		}
		if took := time.Since(started); took > bound {
			s.t.Errorf("%s: the caller waited %s", name, took)
		}
		ids = append(ids, id)
	}

	for _, id := range notRun {
		if upstream.count(id) > 0 {
			s.t.Errorf("%s: said not to have run, but ran", id)
		}
	}
	runs := 0
	for _, id := range ids {
		runs += upstream.count(id)
	}
	if method == http.MethodPost && runs > 1 {
		s.t.Errorf("%s: ran %d times", name, runs)
	}
}

// attempt returns what the caller was told: an outcome header or status, an
// error, or nothing for an answer that ended as whole.
func (s *system) attempt(client *http.Client, id, key, fault, step, method, body string) (string, error) {
	r := s.request(method, "/short", "", strings.NewReader(body))
	r.Header.Set("Request-Id", id)
	r.Header.Set("Fault", fault)
	r.Header.Set("Step", step)
	if method == http.MethodPost {
		r.Header.Set("Idempotency-Key", key)
	}

	response, err := client.Do(r)
	if err != nil {
		return "", err
	}
	defer response.Body.Close()
	if _, err := io.ReadAll(response.Body); err != nil {
		return "", err
	}
	if outcome := response.Header.Get("Request-Outcome"); outcome != "" {
		return outcome, nil
	}
	if response.StatusCode != http.StatusOK {
		return response.Status, nil
	}
	return "", nil
}
