package link

import "time"

// historySteps is the number of steps for which the backlog is remembered. Round trips
// that began earlier are compared with the oldest.
const historySteps = int64(maxQueue / stepLength)

// backlog is what was sent and has not left yet if the link drains it at its rate.
type backlog struct {
	perNanosecond float64 // bytes that the link drains
	bytes         float64
	age           time.Duration // since the meter's start; the time for which bytes holds

	// starts is a ring of the backlog in bytes at the starts of the latest steps, up to
	// number last.
	starts [historySteps]float64
	last   int64
}

func (b *backlog) add(age time.Duration, bytes float64) {
	b.drain(age)
	b.bytes = min(b.bytes+bytes, b.perNanosecond*float64(maxQueue))
}

func (b *backlog) drain(age time.Duration) {
	if age <= b.age {
		return
	}
	b.bytes = b.drained(age)
	b.age = age
}

func (b *backlog) drained(age time.Duration) float64 {
	return max(0, b.bytes-b.perNanosecond*float64(age-b.age))
}

// advance records the backlog at the starts of the steps up to number step.
func (b *backlog) advance(step int64) {
	for i := max(b.last+1, step-historySteps+1); i <= step; i++ {
		b.starts[i%historySteps] = b.drained(time.Duration(i) * stepLength)
	}
	b.last = step
}

// at returns how long a datagram sent at an age waits. Between the starts of two steps it
// is interpolated.
func (b *backlog) at(age time.Duration) time.Duration {
	if age >= b.age {
		return b.duration(b.drained(age))
	}
	step := max(int64(age/stepLength), b.last-historySteps+1, 0)
	from, to := b.starts[step%historySteps], b.bytes
	span := b.age - time.Duration(step)*stepLength
	if step < b.last {
		to, span = b.starts[(step+1)%historySteps], stepLength
	}
	if span <= 0 {
		return b.duration(from)
	}
	share := float64(age-time.Duration(step)*stepLength) / float64(span)
	return b.duration(from + (to-from)*min(max(share, 0), 1))
}

func (b *backlog) duration(bytes float64) time.Duration {
	return time.Duration(bytes / b.perNanosecond)
}
