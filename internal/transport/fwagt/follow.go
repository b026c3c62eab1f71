package fwagt

import (
	"context"
	"time"

	"github.com/coriandershift/coriandershift/internal/state/roster"
)

// follow applies each change of the configuration.
func (a *Agent) follow(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-a.control.Changed():
			a.apply()
		}
	}
}

// apply passes the configuration in force to the owner if it has changed.
func (a *Agent) apply() {
	cfg := a.control.Config()
	a.control.TakeChanged() // only empties the list, which an agent does not use

	a.mu.Lock()
	defer a.mu.Unlock()
	if cfg.Revision == a.revision {
		return
	}
	a.revision = cfg.Revision
	now := time.Now()
	a.perform(now, a.owner.Configure(now, cfg))
	a.updateWeight()
}

func (a *Agent) tick(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-a.timer.C:
		}
		a.mu.Lock()
		a.nextTick = time.Time{}
		now := time.Now()
		a.perform(now, a.owner.Tick(now))
		a.sendForBalancer(now, a.collector.Tick(now))
		a.metrics.Connections.Set(float64(a.owner.FlowCount()))
		a.metrics.SlotsUsed.Set(float64(a.owner.RequestCount() - a.owner.ArrivingCount()))
		a.metrics.Arriving.Set(float64(a.owner.ArrivingCount()))
		a.updateWeight()
		if a.nextTick.IsZero() {
			a.timer.Reset(idleTickInterval)
		}
		a.mu.Unlock()
	}
}

// updateWeight announces to the balancers whether the upstream accepts new flows and
// whether the agent has any flows, and starts a probe if the upstream is suspected to be
// gone. It must be called with the lock held.
func (a *Agent) updateWeight() {
	accepting, suspected := a.owner.Accepting(), a.owner.UpstreamSuspected(time.Now())
	if accepting != a.accepting {
		a.accepting = accepting
		a.log.Info("upstream started or stopped accepting new flows", "accepting", accepting, "revision", a.revision, "doubtful", suspected)
	}
	weight := uint8(0)
	if accepting {
		weight = roster.MaxWeight
	}
	a.control.SetWeight(weight)
	a.control.SetNoFlows(a.owner.NoFlows())
	if suspected && !a.probing {
		a.probing = true
		go a.probeUpstream()
	}
}
