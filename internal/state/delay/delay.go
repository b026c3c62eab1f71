// Package delay derives timeouts from how long answers took lately.
package delay

import "time"

// stepCount and stepLength are the number and length of the steps over which answers are
// remembered.
const (
	stepCount  = 10
	stepLength = time.Second
)

// Timeout is a timeout for answers: a multiple of the longest time that one took within
// the last ten seconds, and Ceiling without any.
type Timeout struct {
	// Factor is the multiple, at least 1.
	Factor int

	// Floor and Ceiling are the least and the greatest timeout.
	Floor, Ceiling time.Duration

	longest [stepCount]time.Duration // by the number of the step modulo stepCount; 0 for none
	last    int64                    // number of the latest step
}

// Observe records that an answer took d.
func (t *Timeout) Observe(now time.Time, d time.Duration) {
	t.advance(now)
	step := &t.longest[t.last%stepCount]
	*step = max(*step, d, 1)
}

// Value returns the timeout now, Ceiling if there were no answers lately.
func (t *Timeout) Value(now time.Time) time.Duration {
	t.advance(now)
	var longest time.Duration
	for _, d := range t.longest {
		longest = max(longest, d)
	}
	if longest == 0 {
		return t.Ceiling
	}
	return min(max(time.Duration(t.Factor)*longest, t.Floor), t.Ceiling)
}

// advance forgets the steps that ended stepCount steps ago.
func (t *Timeout) advance(now time.Time) {
	step := now.UnixNano() / int64(stepLength)
	for i := max(t.last+1, step-stepCount+1); i <= step; i++ {
		t.longest[i%stepCount] = 0
	}
	t.last = max(t.last, step)
}
