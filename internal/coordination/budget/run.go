package budget

import "time"

// maxRunTime is the time that questions sent in one run may take on the link. A longer
// run of datagrams may overflow the queue at the link.
const maxRunTime = 25 * time.Millisecond

// run counts the bytes of questions that were sent since its start.
type run struct {
	start time.Time
	bytes int
}

// StartRun starts the next run if the last one has passed the link.
func (b *Budget) StartRun(now time.Time) {
	if now.Sub(b.run.start) >= maxRunTime {
		b.run = run{start: now}
	}
}

// CountSent counts the bytes of questions that are sent in this run.
func (b *Budget) CountSent(bytes int) {
	b.run.bytes += bytes
}

// RunIsEmpty reports whether no question was sent in this run.
func (b *Budget) RunIsEmpty() bool {
	return b.run.bytes == 0
}

// FitsRun reports whether so many bytes of questions may be sent in this run.
func (b *Budget) FitsRun(bytes int) bool {
	return !b.IsLimited() || float64(b.run.bytes+bytes) <= b.RunLength()
}

// RunLength returns the bytes of a run, 0 if there is no limit.
func (b *Budget) RunLength() float64 {
	return maxRunTime.Seconds() * float64(b.linkRate)
}
