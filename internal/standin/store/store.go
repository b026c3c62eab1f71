// Package store simulates the platform's key-value store. It serves the part of
// the etcd v3 JSON gateway that the system uses, from memory, and injects faults
// on demand.
package store

import (
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"sync"
	"time"

	"github.com/coriandershift/coriandershift/internal/protocol/etcd"
)

const (
	maxValue           = 1 << 20         // bytes
	maxRequest         = 4 << 20         // bytes
	droppedAnswerDelay = 5 * time.Second // before the connection is aborted
)

// Fault sets how the store fails.
type Fault struct {
	// Down makes every call fail, and ends the watches.
	Down bool `json:"down"`

	// DelayMs is added to every call, in milliseconds.
	DelayMs int64 `json:"delayMs"`

	// DropAnswers is the number of the next transactions that take effect but whose answers are lost.
	DropAnswers int `json:"loseAnswers"`
}

// Store is a simulated store. It is safe for concurrent use.
type Store struct {
	mu        sync.Mutex
	entries   map[string]etcd.KeyValue
	leases    map[int64]*lease
	revision  int64
	lastLease int64
	changed   chan struct{} // closed and replaced to wake the watches
	restored  chan struct{} // closed and replaced to end the watches
	fault     Fault
	calls     map[string]int // by path
	now       func() time.Time
}

// New returns an empty Store.
func New() *Store {
	return &Store{
		entries:  map[string]etcd.KeyValue{},
		leases:   map[int64]*lease{},
		revision: 1,
		changed:  make(chan struct{}),
		restored: make(chan struct{}),
		calls:    map[string]int{},
		now:      time.Now,
	}
}

// Handler serves the API, and the test endpoints /standin/fault and /standin/calls.
func (s *Store) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+etcd.PathRange, handle(s, s.getRange))
	mux.HandleFunc("POST "+etcd.PathTxn, handle(s, s.txn))
	mux.HandleFunc("POST "+etcd.PathGrant, handle(s, s.grant))
	mux.HandleFunc("POST "+etcd.PathKeepAlive, handle(s, s.keepAlive))
	mux.HandleFunc("POST "+etcd.PathWatch, s.watch)
	mux.HandleFunc("POST /standin/fault", s.postFault)
	mux.HandleFunc("GET /standin/calls", s.getCalls)
	return mux
}

// SetFault replaces the fault in force.
func (s *Store) SetFault(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
	s.wakeWatches()
}

// Calls returns the number of calls by path.
func (s *Store) Calls() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	calls := make(map[string]int, len(s.calls))
	for path, count := range s.calls {
		calls[path] = count
	}
	return calls
}

func handle[Request, Response any](s *Store, call func(Request) Response) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var request Request
		if !s.begin(w, r, &request) {
			return
		}

		response := call(request)
		if s.dropsAnswer(r.URL.Path) {
			time.Sleep(droppedAnswerDelay)
			panic(http.ErrAbortHandler)
		}
		writeJSON(w, response)
	}
}

// begin counts the call, applies the fault and decodes the request. If it returns
// false, it has sent an error.
func (s *Store) begin(w http.ResponseWriter, r *http.Request, request any) bool {
	s.mu.Lock()
	s.calls[r.URL.Path]++
	fault := s.fault
	s.expire()
	s.mu.Unlock()

	time.Sleep(time.Duration(fault.DelayMs) * time.Millisecond)
	if fault.Down {
		http.Error(w, "store is down", http.StatusServiceUnavailable)
		return false
	}

	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRequest))
	if err == nil {
		err = json.Unmarshal(body, request)
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

// dropsAnswer reports whether to lose the answer to this call, and decrements DropAnswers if so.
func (s *Store) dropsAnswer(path string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if path != etcd.PathTxn || s.fault.DropAnswers == 0 {
		return false
	}
	s.fault.DropAnswers--
	return true
}

func (s *Store) getRange(r etcd.RangeRequest) etcd.RangeResponse {
	s.mu.Lock()
	defer s.mu.Unlock()

	response := etcd.RangeResponse{Header: etcd.Header{Revision: s.revision}}
	for key, kv := range s.entries {
		if inRange(key, string(r.Key), string(r.RangeEnd)) {
			response.KVs = append(response.KVs, kv)
		}
	}
	sort.Slice(response.KVs, func(i, j int) bool {
		return string(response.KVs[i].Key) < string(response.KVs[j].Key)
	})
	return response
}

func (s *Store) txn(r etcd.TxnRequest) etcd.TxnResponse {
	s.mu.Lock()
	defer s.mu.Unlock()

	for _, c := range r.Compare {
		if s.entries[string(c.Key)].ModRevision != c.ModRevision {
			return etcd.TxnResponse{Header: etcd.Header{Revision: s.revision}}
		}
	}

	for _, operation := range r.Success {
		if operation.Put == nil || len(operation.Put.Value) > maxValue || !s.leaseExists(operation.Put.Lease) {
			return etcd.TxnResponse{Header: etcd.Header{Revision: s.revision}}
		}
	}

	s.revision++
	for _, operation := range r.Success {
		put := operation.Put
		s.entries[string(put.Key)] = etcd.KeyValue{Key: put.Key, Value: put.Value, ModRevision: s.revision, Lease: put.Lease}
	}
	s.wakeWatches()
	return etcd.TxnResponse{Header: etcd.Header{Revision: s.revision}, Succeeded: true}
}

func (s *Store) watch(w http.ResponseWriter, r *http.Request) {
	var request etcd.WatchRequest
	if !s.begin(w, r, &request) {
		return
	}

	s.mu.Lock()
	restored := s.restored
	s.mu.Unlock()
	writeJSON(w, etcd.WatchResponse{})
	flush(w)
	for {
		s.mu.Lock()
		changed := s.changed
		kv := s.entries[string(request.Create.Key)]
		down := s.fault.Down
		s.mu.Unlock()

		if down {
			return
		}
		if kv.ModRevision >= request.Create.StartRevision && kv.ModRevision > 0 {
			writeJSON(w, etcd.WatchResponse{Result: etcd.WatchResult{Events: []etcd.Event{{KV: kv}}}})
			flush(w)
			request.Create.StartRevision = kv.ModRevision + 1
			continue
		}

		select {
		case <-r.Context().Done():
			return
		case <-restored:
			return
		case <-changed:
		}
	}
}

func (s *Store) postFault(w http.ResponseWriter, r *http.Request) {
	var f Fault
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxRequest)).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFault(f)
}

func (s *Store) getCalls(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, s.Calls())
}

// wakeWatches makes every watch look for changes. It must be called with the lock held.
func (s *Store) wakeWatches() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func inRange(key, from, end string) bool {
	if end == "" {
		return key == from
	}
	return key >= from && (key < end || end == "\x00")
}

func writeJSON(w http.ResponseWriter, body any) {
	_ = json.NewEncoder(w).Encode(body) // the client sees a truncated answer
}

func flush(w http.ResponseWriter) {
	if f, ok := w.(http.Flusher); ok {
		f.Flush()
	}
}
