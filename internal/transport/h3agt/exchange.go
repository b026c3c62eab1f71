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

// exchange is one request and the state of its handling.
type exchange struct {
	writer      http.ResponseWriter
	request     *http.Request
	service     config.Service
	class       config.Class
	startedAt   time.Time
	deadline    time.Time
	body        []byte    // the complete body if it is at most maxBufferedBody long; nil if it is streamed or empty
	key         string    // scoped idempotency key; empty if the request has none or its method is safe
	grant       *keyGrant // nil if no key has been claimed
	fromPeer    bool      // passed on by a peer, which has claimed the key and decides what is tried next
	admissionID uint64
	bytesSent   int64  // of the answer's body
	outcome     string // label of the request metrics
}

// bufferBody reads a short body before the request is admitted, so that a slow
// caller holds no slot and the request can still go to a peer. If the body
// cannot be read, it answers the request and returns false.
func (h *handler) bufferBody(x *exchange) bool {
	if x.request.ContentLength <= 0 || x.request.ContentLength > maxBufferedBody {
		return true
	}

	body := make([]byte, x.request.ContentLength)
	if _, err := io.ReadFull(x.request.Body, body); err != nil {
		x.outcome = "cancelled"
		writeNotRun(x.writer, http.StatusBadRequest, "request body is not whole", 0)
		return false
	}
	x.body = body
	return true
}

// newExchange returns the exchange of a request, or answers one that cannot be
// handled and returns false.
func (h *handler) newExchange(w http.ResponseWriter, r *http.Request) (*exchange, bool) {
	service, known := h.service()
	if !known {
		writeNotRun(w, http.StatusServiceUnavailable, "service is not configured", time.Second)
		return nil, false
	}

	class, known := service.Classify(r.Method, r.URL.Path)
	if !known {
		writeNotRun(w, http.StatusNotFound, "no request class covers this path", 0)
		return nil, false
	}

	if r.ContentLength > h.maxBody {
		writeNotRun(w, http.StatusRequestEntityTooLarge, "request body is too long", 0)
		return nil, false
	}

	key := r.Header.Get(headerIdempotencyKey)
	if len(key) > maxKeyLength {
		writeNotRun(w, http.StatusBadRequest, "idempotency key is too long", 0)
		return nil, false
	}

	now := time.Now()
	x := &exchange{writer: w, request: r, service: service, class: class, startedAt: now}
	x.deadline = now.Add(allowedTime(r, class.Timeout.Duration()))
	if key != "" && !isSafeMethod(r.Method) {
		x.key = scopedKey(r, key)
	}
	return x, true
}

// scopedKey returns a hash of the idempotency key with the request's method,
// path and credentials, so that no caller gets the answer to another caller's
// request.
func scopedKey(r *http.Request, key string) string {
	hash := sha256.New()
	for _, part := range []string{r.Method, r.URL.Path, r.Header.Get("Authorization"), r.Header.Get("Cookie"), key} {
		fmt.Fprintf(hash, "%d:%s", len(part), part)
	}
	return hex.EncodeToString(hash.Sum(nil))
}

// allowedTime returns the timeout that the request's header asks for, at most
// the limit, which also holds if the header is missing or malformed.
func allowedTime(r *http.Request, limit time.Duration) time.Duration {
	requested, err := strconv.ParseInt(r.Header.Get(headerTimeout), 10, 64)
	if err != nil || requested <= 0 {
		return limit
	}
	return min(limit, time.Duration(min(requested, limit.Milliseconds()))*time.Millisecond)
}

// setUpstreamBody sets the request's body to the one for the upstream. It sets
// no GetBody, so that the HTTP transport cannot send the body a second time.
func (h *handler) setUpstreamBody(x *exchange) {
	if x.body != nil {
		x.request.Body = io.NopCloser(bytes.NewReader(x.body))
		return
	}
	x.request.Body = http.MaxBytesReader(x.writer, x.request.Body, h.maxBody)
}
