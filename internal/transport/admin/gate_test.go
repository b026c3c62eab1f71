package admin_test

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/coriandershift/coriandershift/internal/protocol/etcd"
)

// watchGate holds back the watches of a store while it is closed.
type watchGate struct {
	mu     sync.Mutex
	opened chan struct{}  // closed while the gate is open
	held   map[int64]bool // by the revision after which the watch reports changes
	passed map[int64]bool
}

func newWatchGate() *watchGate {
	g := &watchGate{opened: make(chan struct{}), held: map[int64]bool{}, passed: map[int64]bool{}}
	close(g.opened)
	return g
}

func (g *watchGate) guard(store http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == etcd.PathWatch {
			g.pass(r)
		}
		store.ServeHTTP(w, r)
	})
}

// pass waits until the gate is open or the request ends.
func (g *watchGate) pass(r *http.Request) {
	var request etcd.WatchRequest
	body, err := io.ReadAll(r.Body)
	if err != nil || json.Unmarshal(body, &request) != nil {
		return // the store refuses it
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	after := request.Create.StartRevision - 1

	g.mu.Lock()
	opened := g.opened
	g.held[after] = true
	g.mu.Unlock()
	select {
	case <-opened:
	case <-r.Context().Done():
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.held, after)
	g.passed[after] = true
}

func (g *watchGate) close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.opened = make(chan struct{})
}

func (g *watchGate) open() {
	g.mu.Lock()
	defer g.mu.Unlock()
	close(g.opened)
}

func (g *watchGate) waitForPassed(t *testing.T, after int64) {
	t.Helper()
	g.waitUntil(t, func() bool { return g.passed[after] })
}

func (g *watchGate) waitForHeld(t *testing.T, after int64) {
	t.Helper()
	g.waitUntil(t, func() bool { return g.held[after] })
}

func (g *watchGate) waitUntil(t *testing.T, reached func() bool) {
	t.Helper()
	for end := time.Now().Add(applyTimeout); time.Now().Before(end); time.Sleep(time.Millisecond) {
		g.mu.Lock()
		done := reached()
		g.mu.Unlock()
		if done {
			return
		}
	}
	t.Fatalf("no such watch of the store within %s", applyTimeout)
}
