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

// relay streams the answer to the caller. If the answer ends early, relay
// panics with http.ErrAbortHandler, which resets the stream, so that the caller
// cannot take a truncated answer for a complete one.
func (h *handler) relay(x *exchange, response *http.Response) {
	for _, name := range hopHeaders {
		response.Header.Del(name)
	}
	copyHeader(x.writer.Header(), response.Header)
	if !x.fromPeer {
		x.writer.Header().Set(headerDomain, h.domain)
	}
	x.writer.WriteHeader(response.StatusCode)

	replayBody, err := h.stream(x, response.Body)
	if err != nil {
		x.outcome = "broken"
		h.claimer.settle(x.grant, dedup.OutcomeUnknown, nil)
		h.metrics.BrokenFlows.WithLabelValues("answerCut").Inc()
		h.log.Warn("answer ended early", "class", x.class.Name, "sent", x.bytesSent, "error", err)
		panic(http.ErrAbortHandler)
	}

	x.outcome = "whole"
	h.claimer.settle(x.grant, dedup.Answered, replayableAnswer(response, replayBody))
}

// stream copies the body to the caller and returns it for a later replay, or
// nil if it is longer than dedup.MaxAnswerBytes.
func (h *handler) stream(x *exchange, body io.Reader) ([]byte, error) {
	flusher, _ := x.writer.(http.Flusher)
	buffer := make([]byte, copyBufferSize)
	replayBody := []byte{}

	for {
		count, err := body.Read(buffer)
		if count > 0 {
			if _, err := x.writer.Write(buffer[:count]); err != nil {
				return nil, errors.Wrap(err, "send answer")
			}
			x.bytesSent += int64(count)
			replayBody = appendReplayBody(replayBody, buffer[:count])
			if x.class.Feed && flusher != nil {
				flusher.Flush()
			}
		}
		if err == io.EOF {
			return replayBody, nil
		}
		if err != nil {
			return nil, errors.Wrap(err, "read answer")
		}
	}
}

// appendReplayBody appends data to a body, or returns nil if the body is nil,
// and so too long already, or becomes longer than dedup.MaxAnswerBytes.
func appendReplayBody(body, data []byte) []byte {
	if body == nil || len(body)+len(data) > dedup.MaxAnswerBytes {
		return nil
	}
	return append(body, data...)
}

// replayableAnswer returns nil for a nil body, which is one that was too long to keep.
func replayableAnswer(response *http.Response, body []byte) *dedup.Answer {
	if body == nil {
		return nil
	}
	return &dedup.Answer{Status: response.StatusCode, Header: response.Header, Body: bytes.Clone(body)}
}

// writeNotRun answers a request of which no byte reached the upstream. A
// positive retryAfter becomes a Retry-After header, rounded up to seconds.
func writeNotRun(w http.ResponseWriter, status int, text string, retryAfter time.Duration) {
	w.Header().Set(headerOutcome, outcomeNotRun)
	if retryAfter > 0 {
		seconds := int64((retryAfter + time.Second - 1) / time.Second)
		w.Header().Set("Retry-After", strconv.FormatInt(seconds, 10))
	}
	http.Error(w, text, status)
}

func writeConflict(w http.ResponseWriter, text string) {
	http.Error(w, text, http.StatusConflict)
}

func copyHeader(dst, src http.Header) {
	for name, values := range src {
		dst[name] = append([]string(nil), values...)
	}
}
