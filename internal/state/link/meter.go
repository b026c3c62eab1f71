package link

import "time"

// Meter measures the link of a VM. Calls whose time is before that of an earlier call are
// taken as at the same time. It is not safe for concurrent use.
type Meter struct {
	rate  float64 // bytes per second in each direction
	start time.Time

	totals [directionCount][kindCount]Volume

	// step is the number of the current step since start, stepStart when it began and slot
	// its index in steps, a ring of the volume in bytes of the latest steps.
	step      int64
	stepStart time.Duration
	slot      int
	steps     [useSteps + 1][directionCount][kindCount]uint64

	backlog   backlog
	roundTrip roundTrips

	enterQueue, leaveQueue time.Duration
	states                 [directionCount]state
}

// Option configures a new Meter.
type Option func(*Meter)

// WithQueueLimits sets the queue from which on the link is full, and the one below which
// it can be free again.
func WithQueueLimits(enter, leave time.Duration) Option {
	return func(m *Meter) { m.enterQueue, m.leaveQueue = enter, leave }
}

// New returns a Meter that starts at now, of a link with a rate in bytes per second, in
// each direction. The rate must be positive.
func New(rate int, now time.Time, options ...Option) *Meter {
	m := &Meter{rate: float64(rate), start: now, enterQueue: defaultEnterQueue, leaveQueue: defaultLeaveQueue}
	m.backlog.perNanosecond = m.rate / float64(time.Second)
	for _, apply := range options {
		apply(m)
	}
	return m
}

// Rate returns the link's rate in bytes per second, in each direction.
func (m *Meter) Rate() float64 {
	return m.rate
}

// Count counts a datagram with a payload of a length in bytes.
func (m *Meter) Count(now time.Time, d Direction, k Kind, length int) {
	age := m.advance(now)
	size := uint64(length) + headerLength
	volume := &m.totals[d][k]
	volume.Bytes += size
	volume.Datagrams++
	m.steps[m.slot][d][k] += size
	if d == Out {
		m.backlog.add(age, float64(size))
	}
}

// ObserveRoundTrip records that a reply arrived at now to what was sent a duration ago.
func (m *Meter) ObserveRoundTrip(now time.Time, duration time.Duration) {
	age := m.advance(now)
	m.roundTrip.observe(m.step, max(0, duration-m.backlog.at(age-duration)))
}

// Total returns what the link has carried since the start, by kind.
func (m *Meter) Total(d Direction) [kindCount]Volume {
	return m.totals[d]
}

// LastSecond returns the bytes that the link carried in the last second, by kind.
func (m *Meter) LastSecond(now time.Time, d Direction) [kindCount]uint64 {
	age := m.advance(now)
	var sums [kindCount]uint64
	for i := range m.steps {
		share := 1.0
		if i == (m.slot+1)%len(m.steps) { // the oldest step
			share = 1 - float64(age-m.stepStart)/float64(stepLength)
		}
		for k, bytes := range m.steps[i][d] {
			sums[k] += uint64(share * float64(bytes))
		}
	}
	return sums
}

// Use returns the bytes of the last second as a share of what the link carries in a
// second. What was sent counts even if it still waits, so that the share can exceed 1.
func (m *Meter) Use(now time.Time, d Direction) float64 {
	var sum uint64
	for _, bytes := range m.LastSecond(now, d) {
		sum += bytes
	}
	return float64(sum) / m.rate
}

// Queue estimates how long a datagram waits at the link now.
func (m *Meter) Queue(now time.Time, d Direction) time.Duration {
	age := m.advance(now)
	if d == Out {
		return m.backlog.at(age)
	}
	return m.roundTrip.excess(m.step)
}

// advance clears the steps that begin up to now, and returns the time since the start.
func (m *Meter) advance(now time.Time) time.Duration {
	age := max(now.Sub(m.start), m.stepStart)
	if age < m.stepStart+stepLength {
		return age
	}
	step := int64(age / stepLength)
	for i := max(m.step+1, step-useSteps); i <= step; i++ {
		m.steps[i%int64(len(m.steps))] = [directionCount][kindCount]uint64{}
	}
	m.step, m.stepStart, m.slot = step, time.Duration(step)*stepLength, int(step%int64(len(m.steps)))
	m.backlog.advance(step)
	m.roundTrip.advance(step)
	return age
}
