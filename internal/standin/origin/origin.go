// Package origin simulates an upstream: an HTTP/1.1 server with a limited number of
// slots that starts cold and fails requests when it is overloaded.
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
	feedInterval   = 200 * time.Millisecond
	chunkSize      = 32 << 10 // bytes
	overloadPeriod = 2 * time.Second
)

// Options set how the upstream behaves.
type Options struct {
	Name    string
	Service string
	Domain  string

	// Slots is the number of requests that it can serve at once when warm, and ColdSlots when cold.
	Slots     int
	ColdSlots int

	// WarmUp is the time that it stays cold after New or MarkCold.
	WarmUp time.Duration

	// ServiceTime is the service time of a request when warm; when cold, a request takes ColdFactor times as long.
	ServiceTime time.Duration
	ColdFactor  int
}

// Upstream is a simulated upstream. It is safe for concurrent use.
type Upstream struct {
	options Options

	mu           sync.Mutex
	coldSince    time.Time
	running      int // feeds not counted
	lastOverload time.Time
	stats        Stats
}

// Stats are statistics of an upstream.
type Stats struct {
	Name    string `json:"name"`
	Service string `json:"service"`
	Domain  string `json:"domain"`

	// RequestIDs holds the IDs of the requests received, in order.
	RequestIDs []string `json:"seen"`

	// Requests is the number of requests received, feeds included.
	Requests int `json:"requests"`

	// RunsPerKey counts the submissions received with each idempotency key.
	RunsPerKey map[string]int `json:"runs"`

	// MaxConcurrent is the largest number of concurrent requests, feeds not counted.
	MaxConcurrent int `json:"mostRunning"`

	// Overloads counts the requests that arrived when no slot was free.
	Overloads int `json:"overloads"`

	// Misrouted counts the requests whose Expected-Service header names another service.
	Misrouted int `json:"misrouted"`
}

// New returns an Upstream that is cold.
func New(o Options) *Upstream {
	stats := Stats{Name: o.Name, Service: o.Service, Domain: o.Domain, RunsPerKey: map[string]int{}}
	return &Upstream{options: o, coldSince: time.Now(), stats: stats}
}

// Handler serves the upstream's requests, and test endpoints below /standin/.
func (u *Upstream) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /feeds/", u.feed)
	mux.HandleFunc("GET /standin/stats", u.getStats)
	mux.HandleFunc("POST /standin/cold", u.postCold)
	mux.HandleFunc("GET /", u.withSlot(u.download))
	mux.HandleFunc("POST /", u.withSlot(u.submit))
	return mux
}

// Stats returns a copy of the statistics so far.
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

// MarkCold makes the upstream cold again without notifying its agent.
func (u *Upstream) MarkCold() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.coldSince = time.Now()
}

// withSlot runs a handler after the service time if a slot is free, and answers with
// status 500 otherwise.
func (u *Upstream) withSlot(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		serviceTime, ok := u.begin(r)
		defer u.end()
		if !ok {
			http.Error(w, "upstream is overloaded", http.StatusInternalServerError)
			return
		}

		if !sleep(r, serviceTime) {
			return
		}
		u.identify(w)
		next(w, r)
	}
}

// begin records a request, and returns its service time and whether a slot is free.
// In either case the caller calls end when the request is over.
func (u *Upstream) begin(r *http.Request) (time.Duration, bool) {
	u.mu.Lock()
	defer u.mu.Unlock()

	u.recordRequest(r)
	u.running++
	u.stats.MaxConcurrent = max(u.stats.MaxConcurrent, u.running)

	slots, serviceTime := u.options.Slots, u.options.ServiceTime
	if time.Since(u.coldSince) < u.options.WarmUp {
		slots, serviceTime = u.options.ColdSlots, serviceTime*time.Duration(u.options.ColdFactor)
	}
	if u.running > slots {
		u.stats.Overloads++
		u.lastOverload = time.Now()
	}
	if time.Since(u.lastOverload) < overloadPeriod && u.running > slots {
		return 0, false
	}
	return serviceTime, true
}

// recordRequest must be called with the lock held.
func (u *Upstream) recordRequest(r *http.Request) {
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

// identify names the upstream in the response headers.
func (u *Upstream) identify(w http.ResponseWriter) {
	w.Header().Set("Service-Name", u.options.Service)
	w.Header().Set("Upstream-Name", u.options.Name)
}

// submit answers a submission with its idempotency key.
func (u *Upstream) submit(w http.ResponseWriter, r *http.Request) {
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	fmt.Fprintf(w, "accepted %s\n", r.Header.Get("Idempotency-Key"))
}

// download sends the number of bytes in the query parameter bytes.
func (u *Upstream) download(w http.ResponseWriter, r *http.Request) {
	bytes, err := strconv.Atoi(r.URL.Query().Get("bytes"))
	if err != nil || bytes < 0 {
		bytes = chunkSize
	}
	w.Header().Set("Content-Length", strconv.Itoa(bytes))

	block := make([]byte, chunkSize)
	for bytes > 0 {
		count := min(bytes, chunkSize)
		if _, err := w.Write(block[:count]); err != nil {
			return
		}
		bytes -= count
	}
}

// feed sends a line every feedInterval for the time in the query parameter seconds.
func (u *Upstream) feed(w http.ResponseWriter, r *http.Request) {
	u.mu.Lock()
	u.recordRequest(r)
	u.mu.Unlock()

	seconds, err := strconv.ParseFloat(r.URL.Query().Get("seconds"), 64)
	if err != nil {
		seconds = 1
	}

	u.identify(w)
	lines := int(seconds * float64(time.Second) / float64(feedInterval))
	for i := range lines {
		if _, err := fmt.Fprintf(w, "data: task %d of %d\n", i+1, lines); err != nil {
			return
		}
		w.(http.Flusher).Flush()
		if !sleep(r, feedInterval) {
			return
		}
	}
}

func (u *Upstream) getStats(w http.ResponseWriter, _ *http.Request) {
	_ = json.NewEncoder(w).Encode(u.Stats()) // the client sees a truncated answer
}

func (u *Upstream) postCold(http.ResponseWriter, *http.Request) {
	u.MarkCold()
}

// sleep waits for d, and returns false at once if the request is cancelled first.
func sleep(r *http.Request, d time.Duration) bool {
	select {
	case <-r.Context().Done():
		return false
	case <-time.After(d):
		return true
	}
}
