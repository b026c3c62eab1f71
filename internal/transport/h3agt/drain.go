package h3agt

import (
	"context"
	"time"

	"github.com/coriandershift/coriandershift/internal/state/setup"
)

// startDraining announces that the agent takes no new work, has new requests
// refused and sends GOAWAY on the open flows.
func (a *Agent) startDraining() {
	a.control.Leave()
	a.admission.startClosing()

	a.mu.Lock()
	oldServer := a.server
	a.server = a.newServer()
	a.mu.Unlock()

	go func() {
		// The context bounds Shutdown, since callers may keep their flows open indefinitely.
		ctx, cancel := context.WithTimeout(context.Background(), drainLimit(a.settings.Agent.Drain))
		defer cancel()
		_ = oldServer.Shutdown(ctx)
	}()
}

// drain starts draining unless that has begun, and returns lingerAfterDrain
// after all requests have ended or the drain limit is over.
func (a *Agent) drain() {
	a.log.Info("leaving", "open", a.admission.openCount())
	if a.draining.CompareAndSwap(false, true) {
		a.startDraining()
	}

	deadline := time.Now().Add(drainLimit(a.settings.Agent.Drain))
	for a.admission.openCount() > 0 && time.Now().Before(deadline) {
		time.Sleep(drainPollInterval)
	}

	if open := a.admission.openCount(); open > 0 {
		a.log.Warn("drain limit reached, cutting open requests", "open", open)
		a.metrics.BrokenFlows.WithLabelValues("drainBound").Add(float64(open))
	}
	time.Sleep(lingerAfterDrain)
}

// drainLimit returns how long draining may last. A setting of 0 means no limit.
func drainLimit(d setup.Duration) time.Duration {
	const unbounded = 365 * 24 * time.Hour
	if d == 0 {
		return unbounded
	}
	return time.Duration(d)
}
