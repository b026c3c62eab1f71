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
	probeEvery   = 250 * time.Millisecond
	probeTimeout = time.Second
)

// health tells whether the upstream takes connections. It goes by connections
// alone: what the upstream says of itself lags or misleads.
type health struct {
	log     *slog.Logger
	address netip.AddrPort
	open    atomic.Bool

	// opened is called when the upstream takes connections again.
	opened func()
}

// refused tells that the upstream did not take a connection.
func (h *health) refused() {
	if h.open.CompareAndSwap(true, false) {
		h.log.Warn("upstream takes no connections", "upstream", h.address)
	}
}

// run tries to connect while the upstream takes no connections, until the context ends.
func (h *health) run(ctx context.Context) {
	ticker := time.NewTicker(probeEvery)
	defer ticker.Stop()

	for {
		if !h.open.Load() && h.probe(ctx) {
			h.log.Info("upstream takes connections", "upstream", h.address)
			h.opened()
			h.open.Store(true)
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
