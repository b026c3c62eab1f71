package h3agt

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/coriandershift/coriandershift/internal/state/config"
)

// exchange is one request on its way.
type exchange struct {
	w        http.ResponseWriter
	r        *http.Request
	service  config.Service
	class    config.Class
	started  time.Time
	deadline time.Time
	body     []byte // whole, if it is at most maxHeldBody long; nil if it is streamed
	key      string
	granted  *grant
	passed   bool // came from a peer, which holds the key and decides what is next
	id       uint64
	sent     int64
	outcome  string
}

// holdBody reads a short body before the request is admitted, so that a slow
// caller holds no slot and the request can still go to a peer.
func (h *handler) holdBody(x *exchange) bool {
	if x.r.ContentLength <= 0 || x.r.ContentLength > maxHeldBody {
		return true
	}

	body := make([]byte, x.r.ContentLength)
	if _, err := io.ReadFull(x.r.Body, body); err != nil {
		x.outcome = "cancelled"
		notRun(x.w, http.StatusBadRequest, "request body is not whole", 0)
		return false
	}
	x.body = body
	return true
}

func (h *handler) newExchange(w http.ResponseWriter, r *http.Request) (*exchange, bool) {
	service, known := h.service()
	if !known {
		notRun(w, http.StatusServiceUnavailable, "service is not configured", time.Second)
		return nil, false
	}

	class, known := service.Classify(r.Method, r.URL.Path)
	if !known {
		notRun(w, http.StatusNotFound, "no request class covers this path", 0)
		return nil, false
	}

	if r.ContentLength > h.maxBody {
		notRun(w, http.StatusRequestEntityTooLarge, "request body is too long", 0)
		return nil, false
	}

	key := r.Header.Get(headerKey)
	if len(key) > maxKey {
		notRun(w, http.StatusBadRequest, "idempotency key is too long", 0)
		return nil, false
	}

	now := time.Now()
	x := &exchange{w: w, r: r, service: service, class: class, started: now}
	x.deadline = now.Add(timeLeft(r, class.Timeout.Duration()))
	if key != "" && !safeMethod(r.Method) {
		x.key = scopedKey(r, key)
	}
	return x, true
}

// scopedKey ties an idempotency key to what it is used for and by whom, so that
// nobody is given the answer to another caller's request.
func scopedKey(r *http.Request, key string) string {
	hash := sha256.New()
	for _, part := range []string{r.Method, r.URL.Path, r.Header.Get("Authorization"), r.Header.Get("Cookie"), key} {
		fmt.Fprintf(hash, "%d:%s", len(part), part)
	}
	return hex.EncodeToString(hash.Sum(nil))
}

// timeLeft returns the time that the caller allows, at most that of the class.
func timeLeft(r *http.Request, most time.Duration) time.Duration {
	asked, err := strconv.ParseInt(r.Header.Get(headerTimeout), 10, 64)
	if err != nil || asked <= 0 {
		return most
	}
	return min(most, time.Duration(min(asked, most.Milliseconds()))*time.Millisecond)
}

// openBody gives the request the body that goes to the upstream. It has no
// GetBody: the transport must not send it a second time by itself.
func (h *handler) openBody(x *exchange) {
	if x.body != nil {
		x.r.Body = io.NopCloser(bytes.NewReader(x.body))
		return
	}
	x.r.Body = http.MaxBytesReader(x.w, x.r.Body, h.maxBody)
}
