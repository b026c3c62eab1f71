package fwagt

import (
	"context"
	"time"

	"github.com/coriandershift/coriandershift/internal/state/roster"
)

// follow takes changes of the configuration into use.
func (t *Agent) follow(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.link.Changed():
			t.apply()
		}
	}
}

func (t *Agent) apply() {
	cfg := t.link.Config()
	t.link.TakeChanged()

	t.mu.Lock()
	defer t.mu.Unlock()
	if cfg.Revision == t.revision {
		return
	}
	t.revision = cfg.Revision
	t.carryOut(t.core.Configure(time.Now(), cfg))
	t.weigh()
}

func (t *Agent) tick(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.timer.C:
		}
		t.mu.Lock()
		t.due = time.Time{}
		t.carryOut(t.core.Tick(time.Now()))
		t.metrics.Connections.Set(float64(t.core.FlowCount()))
		t.metrics.SlotsUsed.Set(float64(t.core.RequestCount()))
		t.weigh()
		if t.due.IsZero() {
			t.timer.Reset(sweepEvery)
		}
		t.mu.Unlock()
	}
}

// weigh tells the balancers whether the upstream takes new flows. It must be
// called with the lock held.
func (t *Agent) weigh() {
	accepting, doubtful := t.core.Accepting(), t.core.UpstreamSuspected(time.Now())
	if accepting != t.accepting {
		t.accepting = accepting
		t.log.Info("taking new flows", "accepting", accepting, "revision", t.revision, "doubtful", doubtful)
	}
	weight := uint8(0)
	if accepting {
		weight = roster.MaxWeight
	}
	t.link.SetWeight(weight)
	t.link.SetNoFlows(t.core.NoFlows())
	if doubtful && !t.probing {
		t.probing = true
		go t.probe()
	}
}
