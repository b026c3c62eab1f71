package logbuf_test

import (
	"io"
	"log/slog"
	"testing"
	"time"

	"github.com/coriandershift/coriandershift/internal/state/flow"
	"github.com/coriandershift/coriandershift/internal/transport/logbuf"
)

func BenchmarkLine(b *testing.B) {
	out := logbuf.New(io.Discard)
	log := slog.New(slog.NewTextHandler(out, &slog.HandlerOptions{ReplaceAttr: logbuf.ShortErrors})).With("name", "front-andina-a-1")
	key := flow.Key{Caller: flow.Endpoint{IP: [4]byte{100, 64, 0, 1}, Port: 1000}, Service: flow.Endpoint{IP: [4]byte{100, 64, 0, 1}, Port: 1000}}
	to := key.Caller
	b.ReportAllocs()
	for b.Loop() {
		log.Info("flow routed", "flow", key, "reason", "placed", "agent", to,
			"load", 1.25, "loadAge", 15*time.Millisecond, "revision", 35)
	}
}
