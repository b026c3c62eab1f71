// Package origin is a small stand-in for an upstream: an HTTP/1.1 server with
// slots that starts cold and falls over when it gets too much.
package origin

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	feedEvery   = 200 * time.Millisecond
	chunk       = 32 << 10 // bytes
	overloadFor = 2 * time.Second
)

// Options say how the upstream behaves.
type Options struct {
	Name    string
	Service string
	Domain  string

	// Slots is how many requests it bears when warm, and ColdSlots when cold.
	Slots     int
	ColdSlots int

	// WarmUp is how long it stays cold.
	WarmUp time.Duration

	// ServiceTime is the service time of a request when warm; a cold one takes ColdFactor times as long.
	ServiceTime time.Duration
	ColdFactor  int
}

// Upstream is the stand-in. It is safe for concurrent use.
type Upstream struct {
	options Options

	mu         sync.Mutex
	started    time.Time
	running    int
	overloaded time.Time
	stats      Stats
}

// Stats are what the upstream has seen.
type Stats struct {
	Name    string `json:"name"`
	Service string `json:"service"`
	Domain  string `json:"domain"`

	// RequestIDs holds the request IDs that arrived.
	RequestIDs []string `json:"seen"`

	// Requests is the number of requests that began, feeds included.
	Requests int `json:"requests"`

	// RunsPerKey counts how often each idempotency key ran.
	RunsPerKey map[string]int `json:"runs"`

	// MaxConcurrent is the largest number of requests at once, feeds not counted.
	MaxConcurrent int `json:"mostRunning"`

	// Overloads counts the requests that came above what it bears.
	Overloads int `json:"overloads"`

	// Misrouted counts the requests for another service.
	Misrouted int `json:"misrouted"`
}

// New returns an Upstream that is cold.
func New(o Options) *Upstream {
	stats := Stats{Name: o.Name, Service: o.Service, Domain: o.Domain, RunsPerKey: map[string]int{}}
	return &Upstream{options: o, started: time.Now(), stats: stats}
}

// Handler serves the upstream's requests, and /standin/ for tests.
func (u *Upstream) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /feeds/", u.feed)
	mux.HandleFunc("GET /standin/stats", u.getStats)
	mux.HandleFunc("POST /standin/cold", u.postCold)
	mux.HandleFunc("GET /", u.slotted(u.download))
	mux.HandleFunc("POST /", u.slotted(u.submit))
	return mux
}

// Stats returns what the upstream has seen.
func (u *Upstream) Stats() Stats {
	u.mu.Lock()
	defer u.mu.Unlock()
	stats := u.stats
	stats.RunsPerKey = map[string]int{}
	for key, count := range u.stats.RunsPerKey {
		stats.RunsPerKey[key] = count
	}
	return stats
}

// MarkCold makes the upstream cold again, without a word to anybody.
func (u *Upstream) MarkCold() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.started = time.Now()
}

// slotted runs a handler while the upstream bears it, and fails it otherwise.
func (u *Upstream) slotted(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		work, ok := u.begin(r)
		defer u.end()
		if !ok {
			http.Error(w, "upstream is overloaded", http.StatusInternalServerError)
			return
		}

		if !sleep(r, work) {
			return
		}
		u.mark(w)
		next(w, r)
	}
}

func (u *Upstream) begin(r *http.Request) (time.Duration, bool) {
	u.mu.Lock()
	defer u.mu.Unlock()

	u.note(r)
	u.running++
	u.stats.MaxConcurrent = max(u.stats.MaxConcurrent, u.running)

	bears, work := u.options.Slots, u.options.ServiceTime
	if time.Since(u.started) < u.options.WarmUp {
		bears, work = u.options.ColdSlots, work*time.Duration(u.options.ColdFactor)
	}
	if u.running > bears {
		u.stats.Overloads++
		u.overloaded = time.Now()
	}
	if time.Since(u.overloaded) < overloadFor && u.running > bears {
		return 0, false
	}
	return work, true
}

// note must be called with the lock held.
func (u *Upstream) note(r *http.Request) {
	u.stats.Requests++
	u.stats.RequestIDs = append(u.stats.RequestIDs, r.Header.Get("Request-Id"))
	if r.Header.Get("Expected-Service") != "" && r.Header.Get("Expected-Service") != u.options.Service {
		u.stats.Misrouted++
	}
	if key := r.Header.Get("Idempotency-Key"); key != "" && r.Method == http.MethodPost {
		u.stats.RunsPerKey[key]++
	}
}

func (u *Upstream) end() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.running--
}

func (u *Upstream) mark(w http.ResponseWriter) {
	w.Header().Set("Service-Name", u.options.Service)
	w.Header().Set("Upstream-Name", u.options.Name)
}

// submit answers a signed entry with its number.
func (u *Upstream) submit(w http.ResponseWriter, r *http.Request) {
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	fmt.Fprintf(w, "accepted %s\n", r.Header.Get("Idempotency-Key"))
}

// download answers with as many bytes as the query asks for.
func (u *Upstream) download(w http.ResponseWriter, r *http.Request) {
	bytes, err := strconv.Atoi(r.URL.Query().Get("bytes"))
	if err != nil || bytes < 0 {
		bytes = chunk
	}
	w.Header().Set("Content-Length", strconv.Itoa(bytes))

	block := make([]byte, chunk)
	for bytes > 0 {
		count := min(bytes, chunk)
		if _, err := w.Write(block[:count]); err != nil {
			return
		}
		bytes -= count
	}
}

// feed sends a line again and again for as many seconds as the query asks for.
func (u *Upstream) feed(w http.ResponseWriter, r *http.Request) {
	u.mu.Lock()
	u.note(r)
	u.mu.Unlock()

	seconds, err := strconv.ParseFloat(r.URL.Query().Get("seconds"), 64)
	if err != nil {
		seconds = 1
	}

	u.mark(w)
	lines := int(seconds * float64(time.Second) / float64(feedEvery))
	for i := range lines {
		if _, err := fmt.Fprintf(w, "data: task %d of %d\n", i+1, lines); err != nil {
			return
		}
		w.(http.Flusher).Flush()
		if !sleep(r, feedEvery) {
			return
		}
	}
}

func (u *Upstream) getStats(w http.ResponseWriter, _ *http.Request) {
	_ = json.NewEncoder(w).Encode(u.Stats()) // the client sees a cut answer
}

func (u *Upstream) postCold(http.ResponseWriter, *http.Request) {
	u.MarkCold()
}

func sleep(r *http.Request, d time.Duration) bool {
	select {
	case <-r.Context().Done():
		return false
	case <-time.After(d):
		return true
	}
}
