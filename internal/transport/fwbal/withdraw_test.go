package fwbal

import (
	"testing"
	"time"
)

// While two of a failure domain's three balancers were rolled one after the other,
// the fabric delivered to all three, also to the one that had just stopped.
func TestWithdrawal(t *testing.T) {
	start := time.Unix(1_800_000_000, 0)
	tests := map[string]struct {
		passed, heard time.Duration // since the start
		want          bool
	}{
		"the fabric may not know":        {500 * time.Millisecond, -time.Minute, false},
		"the fabric delivers to others":  {1500 * time.Millisecond, time.Second, true},
		"the fabric goes on delivering":  {2 * time.Second, 1900 * time.Millisecond, false},
		"the process is about to be cut": {4500 * time.Millisecond, 4490 * time.Millisecond, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			w := withdrawal{start: start, least: 1500 * time.Millisecond, most: 4500 * time.Millisecond}
			if got := w.over(start.Add(test.passed), start.Add(test.heard)); got != test.want {
				t.Errorf("got %v", got)
			}
		})
	}
}
