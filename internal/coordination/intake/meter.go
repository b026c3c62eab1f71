package intake

import (
	"math"
	"time"
)

// meterPeriod is the time constant of measured rates: longer than a round of packets of
// the feeds, shorter than a burst.
const meterPeriod = 500 * time.Millisecond

// meter measures a rate as an exponentially decaying sum.
type meter struct {
	sum       float64 // in bytes, at updatedAt
	updatedAt time.Time
}

func (m *meter) add(now time.Time, bytes float64) {
	m.sum = m.decayed(now) + bytes
	m.updatedAt = now
}

// rate returns the rate in bytes per second.
func (m *meter) rate(now time.Time) float64 {
	return m.decayed(now) / meterPeriod.Seconds()
}

func (m *meter) decayed(now time.Time) float64 {
	if m.sum == 0 {
		return 0
	}
	return m.sum * math.Exp(-now.Sub(m.updatedAt).Seconds()/meterPeriod.Seconds())
}
