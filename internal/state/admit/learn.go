package admit

import (
	"time"
)

func (g *Controller) recordOutcome(now time.Time, b *baseline, o Outcome) {
	if o.Cancelled {
		return
	}

	if o.Cold {
		g.restartRamp(now)
		return
	}

	if o.Failed || b.isSlow(o.ServiceDuration) {
		g.slowStreak++
		g.healthyCount = 0
		if g.slowStreak >= coldSlowStreak {
			g.restartRamp(now)
		}
		return
	}

	g.slowStreak = 0
	b.observe(o.ServiceDuration)
	g.meanDuration += time.Duration(meanSampleWeight * float64(o.ServiceDuration-g.meanDuration))
	if b.isHealthy(o.ServiceDuration) {
		g.healthyCount++
	}
}

func (g *Controller) baselineOf(class string) *baseline {
	b, ok := g.baselines[class]
	if !ok {
		b = &baseline{}
		g.baselines[class] = b
	}
	return b
}

// expectedDuration returns the service time to expect of a class.
func (g *Controller) expectedDuration(class string) time.Duration {
	return g.baselineOf(class).typical
}

// detectOverdue takes the upstream to be cold when running requests take too long,
// without waiting for their ends.
func (g *Controller) detectOverdue(now time.Time) {
	if g.slotLimit > g.limits.ColdSlots && g.countOverdue(now)+g.slowStreak >= coldSlowStreak {
		g.restartRamp(now)
	}
}

func (g *Controller) restartRamp(now time.Time) {
	if g.slotLimit == g.limits.ColdSlots && now.Sub(g.coldSince) < minRampRestart {
		g.healthyCount = 0
		return
	}
	g.MarkCold(now)
}

// raiseLimit opens one slot more, after the cold time, once as many healthy answers
// came in a row as there are slots.
func (g *Controller) raiseLimit(now time.Time) {
	if g.slotLimit >= g.limits.Slots || now.Sub(g.coldSince) < g.limits.WarmUp {
		return
	}

	if g.healthyCount >= g.slotLimit {
		g.slotLimit++
		g.healthyCount = 0
	}
}

// countOverdue counts the running requests that have taken too long already.
func (g *Controller) countOverdue(now time.Time) int {
	count := 0
	for _, r := range g.running {
		if g.baselineOf(r.class).isSlow(now.Sub(r.started)) {
			count++
		}
	}
	return count
}
