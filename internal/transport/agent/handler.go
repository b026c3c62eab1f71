package agent

import (
	"bytes"
	"context"
	"io"
	"log/slog"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/coriandershift/coriandershift/internal/state/config"
	"github.com/coriandershift/coriandershift/internal/state/dedup"
	"github.com/coriandershift/coriandershift/internal/state/gate"
	"github.com/coriandershift/coriandershift/internal/transport/metric"
)

const (
	headerKey     = "Idempotency-Key"
	headerOutcome = "Request-Outcome"
	headerDomain  = "Failure-Domain"

	// outcomeNotRun says that no byte of the request reached the upstream.
	outcomeNotRun = "not-run"
	// outcomeUnknown says that the request may have run.
	outcomeUnknown = "unknown"

	copyBuffer  = 32 << 10 // bytes
	maxHeldBody = 64 << 10 // bytes
	maxKey      = 256      // bytes
)

// handler serves the callers' requests of one agent.
type handler struct {
	log       *slog.Logger
	metrics   *metric.Set
	domain    string
	maxBody   int64
	service   func() (config.Service, bool)
	admission *admission
	upstream  *upstream
	ledger    *ledger
	guard     *guard
	passing   *passing
	health    *health
}

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

// ServeHTTP answers one request, or resets its stream when the answer cannot be whole.
func (h *handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(headerDomain, h.domain)

	x, ok := h.newExchange(w, r)
	if !ok {
		return
	}
	defer h.observe(x)

	if !h.holdBody(x) {
		return
	}
	h.passing.earn()
	if x.key != "" && !h.claim(x) {
		return
	}
	h.admit(x)
}

// servePassed answers a request that a peer has passed on.
func (h *handler) servePassed(w http.ResponseWriter, r *http.Request) {
	x, ok := h.newExchange(w, r)
	if !ok {
		return
	}
	defer h.observe(x)

	if !h.holdBody(x) {
		return
	}
	x.passed = true
	h.admit(x)
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

func (h *handler) observe(x *exchange) {
	h.metrics.ObserveRequest(x.service.Tenant, x.class.Name, x.outcome, time.Since(x.started), x.sent)
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

	now := time.Now()
	x := &exchange{w: w, r: r, service: service, class: class, started: now}
	x.deadline = now.Add(timeLeft(r, class.Timeout.Duration()))
	if !safeMethod(r.Method) {
		x.key = r.Header.Get(headerKey)
	}
	if len(x.key) > maxKey {
		notRun(w, http.StatusBadRequest, "idempotency key is too long", 0)
		return nil, false
	}
	return x, true
}

// timeLeft returns the time that the caller allows, at most that of the class.
func timeLeft(r *http.Request, most time.Duration) time.Duration {
	asked, err := strconv.ParseInt(r.Header.Get(headerTimeout), 10, 64)
	if err != nil || asked <= 0 {
		return most
	}
	return min(most, time.Duration(min(asked, most.Milliseconds()))*time.Millisecond)
}

// claim takes the idempotency key, or answers a repeat.
func (h *handler) claim(x *exchange) bool {
	granted, status, answer := h.guard.claim(x.r.Context(), x.key)
	if status == dedup.Unknown {
		x.granted = granted
		return true
	}

	x.outcome = "repeated"
	switch status {
	case dedup.Done:
		h.replay(x, answer)
	case dedup.Running:
		refuseRepeat(x.w, "a request with this idempotency key is running")
	case dedup.Lost:
		refuseRepeat(x.w, "a request with this idempotency key started and its outcome is unknown")
	}
	return false
}

func (h *handler) replay(x *exchange, answer *dedup.Answer) {
	if answer == nil {
		refuseRepeat(x.w, "a request with this idempotency key has run; its answer is not kept")
		return
	}
	copyHeader(x.w.Header(), answer.Header)
	x.w.WriteHeader(answer.Status)
	_, _ = x.w.Write(answer.Body) // the caller sees a cut answer
}

func (h *handler) admit(x *exchange) {
	id, action, err := h.admission.admit(x.r.Context(), gate.Request{
		Class:    x.class.Name,
		Priority: x.class.Priority,
		Feed:     x.class.Feed,
		Deadline: x.deadline,
	})
	if err != nil {
		x.outcome = "cancelled"
		h.guard.settle(x.granted, dedup.Unknown, nil)
		return
	}

	if action.Verdict == gate.Refuse {
		h.refuse(x, action)
		return
	}

	x.id = id
	h.run(x)
}

// refuse passes a request on that may not start here, or refuses it.
func (h *handler) refuse(x *exchange, action gate.Action) {
	if !x.passed && h.passOn(x) {
		return
	}

	x.outcome = "refused"
	h.guard.settle(x.granted, dedup.Unknown, nil)
	h.metrics.Refusals.WithLabelValues(x.service.Tenant, x.class.Name, string(action.Reason)).Inc()
	notRun(x.w, http.StatusServiceUnavailable, "upstream takes no more work: "+string(action.Reason), action.RetryAfter)
}

// passOn reports whether a peer has dealt with the request, for good or ill.
func (h *handler) passOn(x *exchange) bool {
	ctx, cancel := context.WithDeadline(x.r.Context(), x.deadline)
	defer cancel()

	response, err := h.passing.pass(ctx, x)
	if err != nil {
		h.fail(x, attempt{err: err, reached: true}, context.Cause(ctx))
		return true
	}
	if response == nil {
		return false
	}

	defer response.Body.Close()
	h.metrics.Passed.WithLabelValues(x.service.Tenant, x.class.Name).Inc()
	h.relay(x, response)
	return true
}

// run sends the request to the upstream and its answer to the caller.
func (h *handler) run(x *exchange) {
	ctx, cancel := context.WithCancelCause(x.r.Context())
	defer cancel(nil)

	timer := time.AfterFunc(time.Until(x.deadline), func() { cancel(context.DeadlineExceeded) })
	defer timer.Stop()

	outcome := gate.Outcome{}
	defer func() { h.admission.finish(x.id, outcome) }()

	h.openBody(x)
	started := time.Now()
	a := h.upstream.call(ctx, x.r, time.Until(x.deadline))
	outcome.Service = time.Since(started)
	outcome.Cold = a.cold
	outcome.Cancelled = a.err != nil && x.r.Context().Err() != nil

	if a.err != nil && !a.reached && !outcome.Cancelled {
		h.health.refused()
		if !x.passed && h.passOn(x) {
			return
		}
	}
	if a.err != nil {
		h.fail(x, a, context.Cause(ctx))
		return
	}
	defer a.response.Body.Close()
	outcome.Failed = a.response.StatusCode >= http.StatusInternalServerError

	if x.class.Feed {
		timer.Stop()
	}
	h.relay(x, a.response)
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

// fail answers a request that got no answer from the upstream.
func (h *handler) fail(x *exchange, a attempt, cause error) {
	if x.r.Context().Err() != nil {
		x.outcome = "cancelled"
		h.settleUnanswered(x, a.reached)
		return
	}

	h.log.Warn("upstream failed", "class", x.class.Name, "reached", a.reached, "error", a.err)
	h.settleUnanswered(x, a.reached)
	if !a.reached {
		x.outcome = "refused"
		h.metrics.Refusals.WithLabelValues(x.service.Tenant, x.class.Name, "unreachable").Inc()
		notRun(x.w, http.StatusServiceUnavailable, "upstream cannot be reached", time.Second)
		return
	}

	x.outcome = "unknown"
	x.w.Header().Set(headerOutcome, outcomeUnknown)
	if errors.Is(cause, context.DeadlineExceeded) {
		http.Error(x.w, "upstream did not answer in time", http.StatusGatewayTimeout)
		return
	}
	http.Error(x.w, "upstream failed during the request", http.StatusBadGateway)
}

func (h *handler) settleUnanswered(x *exchange, reached bool) {
	status := dedup.Unknown
	if reached {
		status = dedup.Lost
	}
	h.guard.settle(x.granted, status, nil)
}

// relay streams the answer. The stream ends only after the whole answer; an
// answer that breaks off resets it.
func (h *handler) relay(x *exchange, response *http.Response) {
	for _, name := range hopHeaders {
		response.Header.Del(name)
	}
	copyHeader(x.w.Header(), response.Header)
	if !x.passed {
		x.w.Header().Set(headerDomain, h.domain)
	}
	x.w.WriteHeader(response.StatusCode)

	kept, err := h.stream(x, response.Body)
	if err != nil {
		x.outcome = "broken"
		h.guard.settle(x.granted, dedup.Lost, nil)
		h.metrics.Broken.WithLabelValues("answerCut").Inc()
		h.log.Warn("answer broke off", "class", x.class.Name, "sent", x.sent, "error", err)
		panic(http.ErrAbortHandler)
	}

	x.outcome = "whole"
	h.guard.settle(x.granted, dedup.Done, answerOf(response, kept))
}

// stream copies the body and returns its start, nil if it is longer than dedup.MaxAnswer.
func (h *handler) stream(x *exchange, body io.Reader) ([]byte, error) {
	flusher, _ := x.w.(http.Flusher)
	buffer := make([]byte, copyBuffer)
	kept := []byte{}

	for {
		count, err := body.Read(buffer)
		if count > 0 {
			if _, err := x.w.Write(buffer[:count]); err != nil {
				return nil, errors.Wrap(err, "send answer")
			}
			x.sent += int64(count)
			kept = keep(kept, buffer[:count])
			if x.class.Feed && flusher != nil {
				flusher.Flush()
			}
		}
		if err == io.EOF {
			return kept, nil
		}
		if err != nil {
			return nil, errors.Wrap(err, "read answer")
		}
	}
}

func keep(kept, more []byte) []byte {
	if kept == nil || len(kept)+len(more) > dedup.MaxAnswer {
		return nil
	}
	return append(kept, more...)
}

func answerOf(response *http.Response, kept []byte) *dedup.Answer {
	if kept == nil {
		return nil
	}
	return &dedup.Answer{Status: response.StatusCode, Header: response.Header, Body: bytes.Clone(kept)}
}

func notRun(w http.ResponseWriter, status int, text string, retryAfter time.Duration) {
	w.Header().Set(headerOutcome, outcomeNotRun)
	if retryAfter > 0 {
		seconds := int64((retryAfter + time.Second - 1) / time.Second)
		w.Header().Set("Retry-After", strconv.FormatInt(seconds, 10))
	}
	http.Error(w, text, status)
}

func refuseRepeat(w http.ResponseWriter, text string) {
	http.Error(w, text, http.StatusConflict)
}

func copyHeader(to, from http.Header) {
	for name, values := range from {
		to[name] = append([]string(nil), values...)
	}
}
