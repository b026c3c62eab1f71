package owner

import "time"

const (
	// minDurationWeight is the weight of a new service time in the moving average while
	// they follow closely on each other, maxDurationWeight that of one which follows after
	// a pause. An upstream that looks slow gets few requests, and is seen to be fast again
	// by these.
	minDurationWeight = 1.0 / 16
	maxDurationWeight = 1.0 / 4

	// durationPeriod is the time over which service times are averaged while there are
	// few: one that follows after a part of it has this part as its weight.
	durationPeriod = 500 * time.Millisecond

	// durationClip is the multiple of the mean at which longer service times are cut off.
	// Without it, one request that takes seven times as long raises the mean by a third.
	durationClip = 2.5

	// minDurationClip is the shortest time at which service times are cut off. Otherwise
	// the mean would stay near 0 after instant answers. Callers' objectives are far longer.
	minDurationClip = 5 * time.Millisecond

	// tailWeight is the weight of a new service time in the moving average of what is cut
	// off. It spans several requests of a tail of a few percent.
	tailWeight = 1.0 / 128
)

// durationMean is a moving average of service times that few long ones do not move. It
// follows an upstream that becomes slower or faster within a second. The zero value has
// no samples.
type durationMean struct {
	mean     time.Duration
	samples  int // up to 1/minDurationWeight
	sampleAt time.Time
	tail     float64 // moving average of what is cut off, as a part of mean
}

func (m *durationMean) record(now time.Time, sample time.Duration) {
	clipped := sample
	if m.samples > 0 {
		clipped = min(sample, max(minDurationClip, time.Duration(durationClip*float64(m.mean))))
		m.tail += (float64(sample-clipped)/float64(max(1, m.mean)) - m.tail) * tailWeight
	}
	weight := min(max(float64(now.Sub(m.sampleAt))/float64(durationPeriod), minDurationWeight), maxDurationWeight)
	if m.samples < 1/minDurationWeight {
		m.samples++
		weight = max(weight, 1/float64(m.samples))
	}
	m.sampleAt = now
	m.mean += time.Duration(weight * float64(clipped-m.mean))
}

// withTail returns the mean time that a slot is taken, long requests included.
func (m *durationMean) withTail() time.Duration {
	return time.Duration((1 + m.tail) * float64(m.mean))
}
