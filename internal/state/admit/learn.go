package admit

import (
	"time"
)

func (c *Controller) recordOutcome(now time.Time, b *baseline, o Outcome) {
	if o.Cancelled {
		return
	}

	if o.Cold {
		c.restartRamp(now)
		return
	}

	if o.Failed || b.isSlow(o.ServiceDuration) {
		c.slowStreak++
		c.healthyCount = 0
		if c.slowStreak >= coldSlowStreak {
			c.restartRamp(now)
		}
		return
	}

	c.slowStreak = 0
	b.observe(o.ServiceDuration)
	c.meanDuration += time.Duration(meanSampleWeight * float64(o.ServiceDuration-c.meanDuration))
	if b.isHealthy(o.ServiceDuration) {
		c.healthyCount++
	}
}

func (c *Controller) baselineOf(class string) *baseline {
	b, ok := c.baselines[class]
	if !ok {
		b = &baseline{}
		c.baselines[class] = b
	}
	return b
}

// expectedDuration returns the typical service time of a class; 0 if none is known.
func (c *Controller) expectedDuration(class string) time.Duration {
	return c.baselineOf(class).typical
}

// detectOverdue restarts the ramp when running requests take too long, without
// waiting for them to end.
func (c *Controller) detectOverdue(now time.Time) {
	if c.slotLimit > c.limits.ColdSlots && c.countOverdue(now)+c.slowStreak >= coldSlowStreak {
		c.restartRamp(now)
	}
}

// restartRamp marks the upstream cold. If the limit is still ColdSlots and the ramp
// started less than minRampRestart ago, it only resets healthyCount.
func (c *Controller) restartRamp(now time.Time) {
	if c.slotLimit == c.limits.ColdSlots && now.Sub(c.coldSince) < minRampRestart {
		c.healthyCount = 0
		return
	}
	c.MarkCold(now)
}

// raiseLimit adds one slot, once WarmUp has passed and healthyCount has reached
// the current number of slots.
func (c *Controller) raiseLimit(now time.Time) {
	if c.slotLimit >= c.limits.Slots || now.Sub(c.coldSince) < c.limits.WarmUp {
		return
	}

	if c.healthyCount >= c.slotLimit {
		c.slotLimit++
		c.healthyCount = 0
	}
}

// countOverdue returns the number of running requests that are already slow.
func (c *Controller) countOverdue(now time.Time) int {
	count := 0
	for _, r := range c.running {
		if c.baselineOf(r.class).isSlow(now.Sub(r.started)) {
			count++
		}
	}
	return count
}
