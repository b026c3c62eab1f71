package h3agt

import (
	"context"
	"time"

	"github.com/coriandershift/coriandershift/internal/state/setup"
)

// startLeaving announces that no new work is taken and sends GOAWAY to open flows.
func (a *Agent) startLeaving() {
	a.link.Leave()
	a.admission.leave()

	a.mu.Lock()
	old := a.server
	a.server = a.newServer()
	a.mu.Unlock()

	go func() {
		// Shutdown waits for flows that callers may keep open for as long as they like.
		ctx, cancel := context.WithTimeout(context.Background(), drainBound(a.settings.Agent.Drain))
		defer cancel()
		_ = old.Shutdown(ctx)
	}()
}

// leave stops gracefully: it returns once no request is open or the bound on draining is over.
func (a *Agent) leave() {
	a.log.Info("leaving", "open", a.admission.open())
	if a.leaving.CompareAndSwap(false, true) {
		a.startLeaving()
	}

	deadline := time.Now().Add(drainBound(a.settings.Agent.Drain))
	for a.admission.open() > 0 && time.Now().Before(deadline) {
		time.Sleep(drainPoll)
	}

	if open := a.admission.open(); open > 0 {
		a.log.Warn("requests cut by the bound on draining", "open", open)
		a.metrics.BrokenFlows.WithLabelValues("drainBound").Add(float64(open))
	}
	time.Sleep(leaveLinger)
}

func drainBound(d setup.Duration) time.Duration {
	const unbounded = 365 * 24 * time.Hour
	if d == 0 {
		return unbounded
	}
	return time.Duration(d)
}
