package h3agt

import (
	"context"
	"log/slog"
	"net"
	"net/netip"
	"sync/atomic"
	"time"
)

const (
	probeInterval = 250 * time.Millisecond
	probeTimeout  = time.Second
)

// health tracks whether the upstream accepts connections. It uses no health
// report of the upstream, since such reports lag or mislead.
type health struct {
	log     *slog.Logger
	address netip.AddrPort
	up      atomic.Bool

	// onUp is called when the upstream accepts connections for the first time or again.
	onUp func()
}

// markDown records that the upstream did not accept a connection.
func (h *health) markDown() {
	if h.up.CompareAndSwap(true, false) {
		h.log.Warn("upstream does not accept connections", "upstream", h.address)
	}
}

// run tries to connect to the upstream while it is down, until the context ends.
func (h *health) run(ctx context.Context) {
	ticker := time.NewTicker(probeInterval)
	defer ticker.Stop()

	for {
		if !h.up.Load() && h.probe(ctx) {
			h.log.Info("upstream accepts connections", "upstream", h.address)
			h.onUp()
			h.up.Store(true)
		}

		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (h *health) probe(ctx context.Context) bool {
	dialer := net.Dialer{Timeout: probeTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", h.address.String())
	if err != nil {
		return false
	}
	conn.Close()
	return true
}
