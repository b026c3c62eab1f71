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

// ServeHTTP answers one request, or resets its stream when the answer cannot be whole.
func (h *handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(headerDomain, h.domain)
	h.serve(w, r, false)
}

// servePassed answers a request that a peer has passed on. The peer holds its
// idempotency key.
func (h *handler) servePassed(w http.ResponseWriter, r *http.Request) {
	h.serve(w, r, true)
}

func (h *handler) serve(w http.ResponseWriter, r *http.Request, passed bool) {
	x, ok := h.newExchange(w, r)
	if !ok {
		return
	}
	defer h.observe(x)

	x.passed = passed
	if !h.holdBody(x) {
		return
	}
	if !passed {
		h.passing.earn()
	}
	if !passed && x.key != "" && !h.claim(x) {
		return
	}
	h.admit(x)
}

func (h *handler) observe(x *exchange) {
	h.metrics.ObserveRequest(x.service.Tenant, x.class.Name, x.outcome, time.Since(x.started), x.sent)
}

// claim takes the idempotency key, or answers a repeat.
func (h *handler) claim(x *exchange) bool {
	granted, status, answer := h.guard.claim(x.r.Context(), x.key)
	if status == dedup.NotSeen {
		x.granted = granted
		return true
	}

	x.outcome = "repeated"
	switch status {
	case dedup.Answered:
		h.replay(x, answer)
	case dedup.Running:
		refuseRepeat(x.w, "a request with this idempotency key is running")
	case dedup.OutcomeUnknown:
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
	id, action, err := h.admission.admit(x.r.Context(), admit.Request{
		Class:    x.class.Name,
		Priority: x.class.Priority,
		Feed:     x.class.Feed,
		Deadline: x.deadline,
	})
	if err != nil {
		x.outcome = "cancelled"
		h.guard.settle(x.granted, dedup.NotSeen, nil)
		return
	}

	if action.Verdict == admit.Refuse {
		h.refuse(x, action)
		return
	}

	x.id = id
	h.run(x)
}

// refuse passes a request on that may not start here, or refuses it.
func (h *handler) refuse(x *exchange, action admit.Action) {
	if !x.passed && h.passOn(x) {
		return
	}

	x.outcome = "refused"
	h.guard.settle(x.granted, dedup.NotSeen, nil)
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
	h.metrics.PassedRequests.WithLabelValues(x.service.Tenant, x.class.Name).Inc()
	h.relay(x, response)
	return true
}

// run sends the request to the upstream and its answer to the caller.
func (h *handler) run(x *exchange) {
	ctx, cancel := context.WithCancelCause(x.r.Context())
	defer cancel(nil)

	timer := time.AfterFunc(time.Until(x.deadline), func() { cancel(context.DeadlineExceeded) })
	defer timer.Stop()

	outcome := admit.Outcome{}
	defer func() { h.admission.finish(x.id, outcome) }()

	h.openBody(x)
	started := time.Now()
	a := h.upstream.call(ctx, x.r, time.Until(x.deadline))
	outcome.ServiceDuration = time.Since(started)
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
	status := dedup.NotSeen
	if reached {
		status = dedup.OutcomeUnknown
	}
	h.guard.settle(x.granted, status, nil)
}
