package admit

import (
	"time"
)

func (g *Controller) learn(now time.Time, b *baseline, o Outcome) {
	if o.Cancelled {
		return
	}

	if o.Cold {
		g.markColdOnce(now)
		return
	}

	if o.Failed || b.slow(o.ServiceDuration) {
		g.slowRun++
		g.healthy = 0
		if g.slowRun >= slowRunOfCold {
			g.markColdOnce(now)
		}
		return
	}

	g.slowRun = 0
	b.observe(o.ServiceDuration)
	g.mean += time.Duration(meanWeight * float64(o.ServiceDuration-g.mean))
	if b.healthy(o.ServiceDuration) {
		g.healthy++
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

// usual returns the service time to expect of a class.
func (g *Controller) usual(class string) time.Duration {
	return g.baselineOf(class).usual
}

// suspect takes the upstream to be cold when running requests take too long,
// without waiting for their ends.
func (g *Controller) suspect(now time.Time) {
	if g.limit > g.limits.ColdSlots && g.overdue(now)+g.slowRun >= slowRunOfCold {
		g.markColdOnce(now)
	}
}

func (g *Controller) markColdOnce(now time.Time) {
	if g.limit == g.limits.ColdSlots && now.Sub(g.coldSince) < coldRestartGuard {
		g.healthy = 0
		return
	}
	g.MarkCold(now)
}

// grow opens one slot more, after the cold time, once as many healthy answers
// came in a row as there are slots.
func (g *Controller) grow(now time.Time) {
	if g.limit >= g.limits.Slots || now.Sub(g.coldSince) < g.limits.WarmUp {
		return
	}

	if g.healthy >= g.limit {
		g.limit++
		g.healthy = 0
	}
}

// overdue counts the running requests that have taken too long already.
func (g *Controller) overdue(now time.Time) int {
	count := 0
	for _, r := range g.running {
		if g.baselineOf(r.class).slow(now.Sub(r.started)) {
			count++
		}
	}
	return count
}
