package h3agt

import (
	"bytes"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/coriandershift/coriandershift/internal/state/dedup"
)

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
		h.guard.settle(x.granted, dedup.OutcomeUnknown, nil)
		h.metrics.BrokenFlows.WithLabelValues("answerCut").Inc()
		h.log.Warn("answer broke off", "class", x.class.Name, "sent", x.sent, "error", err)
		panic(http.ErrAbortHandler)
	}

	x.outcome = "whole"
	h.guard.settle(x.granted, dedup.Answered, answerOf(response, kept))
}

// stream copies the body and returns its start, nil if it is longer than dedup.MaxAnswerBytes.
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
	if kept == nil || len(kept)+len(more) > dedup.MaxAnswerBytes {
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
