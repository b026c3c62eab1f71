package h3agt

import (
	"context"
	"log/slog"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/coriandershift/coriandershift/internal/state/admit"
	"github.com/coriandershift/coriandershift/internal/state/config"
	"github.com/coriandershift/coriandershift/internal/state/dedup"
	"github.com/coriandershift/coriandershift/internal/transport/metric"
)

const (
	headerIdempotencyKey = "Idempotency-Key"
	headerOutcome        = "Request-Outcome"
	headerDomain         = "Failure-Domain"

	// outcomeNotRun is the headerOutcome of a request of which no byte reached the upstream.
	outcomeNotRun = "not-run"
	// outcomeUnknown is the headerOutcome of a request that the upstream may have run.
	outcomeUnknown = "unknown"

	copyBufferSize  = 32 << 10 // bytes
	maxBufferedBody = 64 << 10 // bytes
	maxKeyLength    = 256      // bytes
)

// handler serves the requests that callers and peers send to one agent.
type handler struct {
	log       *slog.Logger
	metrics   *metric.Set
	domain    string
	maxBody   int64
	service   func() (config.Service, bool)
	admission *admission
	upstream  *upstream
	keys      *keyTable
	claimer   *keyClaimer
	passer    *passer
	health    *health
}

// ServeHTTP answers one request of a caller. It panics with
// http.ErrAbortHandler, which resets the stream, if the answer ends early.
func (h *handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(headerDomain, h.domain)
	h.serve(w, r, false)
}

// servePassed answers a request that a peer has passed on. The peer has claimed
// its idempotency key.
func (h *handler) servePassed(w http.ResponseWriter, r *http.Request) {
	h.serve(w, r, true)
}

func (h *handler) serve(w http.ResponseWriter, r *http.Request, fromPeer bool) {
	x, ok := h.newExchange(w, r)
	if !ok {
		return
	}
	defer h.recordMetrics(x)

	x.fromPeer = fromPeer
	if !h.bufferBody(x) {
		return
	}
	if !fromPeer {
		h.passer.earnBudget()
	}
	if !fromPeer && x.key != "" && !h.claim(x) {
		return
	}
	h.admit(x)
}

func (h *handler) recordMetrics(x *exchange) {
	h.metrics.ObserveRequest(x.service.Tenant, x.class.Name, x.outcome, time.Since(x.startedAt), x.bytesSent)
}

// claim claims the request's idempotency key and reports whether the request
// may run. If not, it is a repeat, and claim has answered it.
func (h *handler) claim(x *exchange) bool {
	grant, status, answer := h.claimer.claim(x.request.Context(), x.key)
	if status == dedup.NotSeen {
		x.grant = grant
		return true
	}

	x.outcome = "repeated"
	switch status {
	case dedup.Answered:
		h.replay(x, answer)
	case dedup.Running:
		writeConflict(x.writer, "a request with this idempotency key is running")
	case dedup.OutcomeUnknown:
		writeConflict(x.writer, "a request with this idempotency key started and its outcome is unknown")
	}
	return false
}

// replay answers a repeat with the answer to the first request, or with
// status 409 if that answer was not kept.
func (h *handler) replay(x *exchange, answer *dedup.Answer) {
	if answer == nil {
		writeConflict(x.writer, "a request with this idempotency key has run; its answer is not kept")
		return
	}
	copyHeader(x.writer.Header(), answer.Header)
	x.writer.WriteHeader(answer.Status)
	_, _ = x.writer.Write(answer.Body) // after an error, the caller notices the truncated answer
}

// admit runs the request once the upstream has room, or refuses it.
func (h *handler) admit(x *exchange) {
	id, action, err := h.admission.admit(x.request.Context(), admit.Request{
		Class:    x.class.Name,
		Priority: x.class.Priority,
		Feed:     x.class.Feed,
		Deadline: x.deadline,
	})
	if err != nil {
		x.outcome = "cancelled"
		h.claimer.settle(x.grant, dedup.NotSeen, nil)
		return
	}

	if action.Verdict == admit.Refuse {
		h.refuse(x, action)
		return
	}

	x.admissionID = id
	h.run(x)
}

// refuse passes the request on to a peer if possible, and else refuses it.
func (h *handler) refuse(x *exchange, action admit.Action) {
	if !x.fromPeer && h.passOn(x) {
		return
	}

	x.outcome = "refused"
	h.claimer.settle(x.grant, dedup.NotSeen, nil)
	h.metrics.Refusals.WithLabelValues(x.service.Tenant, x.class.Name, string(action.Reason)).Inc()
	writeNotRun(x.writer, http.StatusServiceUnavailable, "upstream takes no more work: "+string(action.Reason), action.RetryAfter)
}

// passOn tries to have a peer run the request and reports whether the caller
// has been answered, also with the failure of a peer that may have run the
// request. If not, no peer ran it.
func (h *handler) passOn(x *exchange) bool {
	ctx, cancel := context.WithDeadline(x.request.Context(), x.deadline)
	defer cancel()

	response, err := h.passer.tryPeers(ctx, x)
	if err != nil {
		h.fail(x, attempt{err: err, mayHaveReached: true}, context.Cause(ctx))
		return true
	}
	if response == nil {
		return false
	}

	defer response.Body.Close()
	h.metrics.PassedRequests.WithLabelValues(x.service.Tenant, x.class.Name).Inc()
	h.relay(x, response)
	return true
}

// run sends the request to the upstream and its answer to the caller.
func (h *handler) run(x *exchange) {
	ctx, cancel := context.WithCancelCause(x.request.Context())
	defer cancel(nil)

	timer := time.AfterFunc(time.Until(x.deadline), func() { cancel(context.DeadlineExceeded) })
	defer timer.Stop()

	outcome := admit.Outcome{}
	defer func() { h.admission.finish(x.admissionID, outcome) }()

	h.setUpstreamBody(x)
	startedAt := time.Now()
	a := h.upstream.call(ctx, x.request, time.Until(x.deadline))
	outcome.ServiceDuration = time.Since(startedAt)
	outcome.Cold = a.cold
	outcome.Cancelled = a.err != nil && x.request.Context().Err() != nil

	if a.err != nil && !a.mayHaveReached && !outcome.Cancelled {
		h.health.markDown()
		if !x.fromPeer && h.passOn(x) {
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

// fail answers a request that got no answer from the upstream.
func (h *handler) fail(x *exchange, a attempt, cause error) {
	if x.request.Context().Err() != nil {
		x.outcome = "cancelled"
		h.settleUnanswered(x, a.mayHaveReached)
		return
	}

	h.log.Warn("request got no answer", "class", x.class.Name, "reached", a.mayHaveReached, "error", a.err)
	h.settleUnanswered(x, a.mayHaveReached)
	if !a.mayHaveReached {
		x.outcome = "refused"
		h.metrics.Refusals.WithLabelValues(x.service.Tenant, x.class.Name, "unreachable").Inc()
		writeNotRun(x.writer, http.StatusServiceUnavailable, "upstream cannot be reached", time.Second)
		return
	}

	x.outcome = "unknown"
	x.writer.Header().Set(headerOutcome, outcomeUnknown)
	if errors.Is(cause, context.DeadlineExceeded) {
		http.Error(x.writer, "upstream did not answer in time", http.StatusGatewayTimeout)
		return
	}
	http.Error(x.writer, "upstream failed during the request", http.StatusBadGateway)
}

// settleUnanswered settles the idempotency key of a request without an answer:
// it stays claimed if the request may have run, and is free again otherwise.
func (h *handler) settleUnanswered(x *exchange, mayHaveRun bool) {
	status := dedup.NotSeen
	if mayHaveRun {
		status = dedup.OutcomeUnknown
	}
	h.claimer.settle(x.grant, status, nil)
}
