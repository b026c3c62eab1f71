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

// faultSteps are the points of handling a request at which the upstream may fail.
var faultSteps = []string{"headers", "body", "status", "middle", "end"}

// faultActions are the ways in which the upstream may fail at a step.
var faultActions = map[string]func(http.ResponseWriter, *http.Request){
	"hangs up": func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) },
	"stalls":   stall,
}

const stallDuration = 2 * time.Second // well over the class's timeout of 300 ms

// stall also ends after stallDuration, because net/http does not notice that its
// client has gone before the handler has read the body.
func stall(_ http.ResponseWriter, r *http.Request) {
	select {
	case <-r.Context().Done():
	case <-time.After(stallDuration):
	}
}

const completeAnswer = "first half, second half"

// faultyUpstream is an upstream that fails at the step and in the way that the
// headers Step and Fault of the request name. It counts runs by Request-Id.
type faultyUpstream struct {
	mu   sync.Mutex
	runs map[string]int
}

func (f *faultyUpstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	fault := faultActions[r.Header.Get("Fault")]
	failAt := func(step string) {
		if r.Header.Get("Step") == step {
			fault(w, r)
		}
	}

	f.mu.Lock()
	f.runs[r.Header.Get("Request-Id")]++
	f.mu.Unlock()

	failAt("headers")
	_, _ = io.Copy(io.Discard, r.Body)
	failAt("body")
	w.Header().Set("Content-Length", fmt.Sprint(len(completeAnswer)))
	w.WriteHeader(http.StatusOK)
	w.(http.Flusher).Flush()
	failAt("status")
	fmt.Fprint(w, completeAnswer[:11])
	w.(http.Flusher).Flush()
	failAt("middle")
	fmt.Fprint(w, completeAnswer[11:len(completeAnswer)-1])
	w.(http.Flusher).Flush()
	failAt("end")
	fmt.Fprint(w, completeAnswer[len(completeAnswer)-1:])
}

func (f *faultyUpstream) count(id string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.runs[id]
}

// TestFaultMatrix causes every fault at every step, for every kind of request,
// and checks that an answer that ends normally is complete, that a request
// reported as not run did not run, that a request that must not run twice runs
// at most once even when it is sent again, and that the caller is answered in time.
func TestFaultMatrix(t *testing.T) {
	upstream := &faultyUpstream{runs: map[string]int{}}
	s := newSystem(t, upstream, upstream)
	s.waitForPeers(2)

	var requests sync.WaitGroup
	for fault := range faultActions {
		for _, step := range faultSteps {
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

func (s *system) tryFault(name string, upstream *faultyUpstream, fault, step, method, body string) {
	const tries = 2
	client := s.client()
	var ids, notRun []string
	for try := range tries {
		id := fmt.Sprintf("%s, try %d", name, try+1)
		started := time.Now()
		outcome, err := s.attempt(client, id, name, fault, step, method, body)
		if err == nil && outcome == "" {
			s.t.Errorf("%s: the truncated answer ended normally", name)
		}
		if outcome == "not-run" {
			notRun = append(notRun, id)
		}
		if elapsed := time.Since(started); elapsed > pollTimeout {
			s.t.Errorf("%s: the caller waited %s", name, elapsed)
		}
		ids = append(ids, id)
	}

	for _, id := range notRun {
		if upstream.count(id) > 0 {
			s.t.Errorf("%s: reported as not run, but ran", id)
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

// attempt sends a request. It returns an error if the answer ended early. Otherwise
// it returns the outcome header or, without one, the status; the empty string stands
// for status 200.
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
