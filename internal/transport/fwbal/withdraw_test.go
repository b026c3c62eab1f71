package fwbal

import (
	"testing"
	"time"
)

// Guards against a balancer that exits while the fabric still delivers to it. When two
// of a failure domain's three balancers were restarted one after the other, the fabric
// delivered to all three, including the one that had just stopped.
func TestWithdrawalLastsUntilTheFabricStopsDelivering(t *testing.T) {
	start := time.Unix(1_800_000_000, 0)
	tests := map[string]struct {
		elapsed, lastPacket time.Duration // since the start
		want                bool
	}{
		"before the minimum duration":   {500 * time.Millisecond, -time.Minute, false},
		"the fabric stopped delivering": {1500 * time.Millisecond, time.Second, true},
		"the fabric still delivers":     {2 * time.Second, 1900 * time.Millisecond, false},
		"the maximum duration passed":   {4500 * time.Millisecond, 4490 * time.Millisecond, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			w := withdrawal{start: start, minDuration: 1500 * time.Millisecond, maxDuration: 4500 * time.Millisecond}
			if got := w.done(start.Add(test.elapsed), start.Add(test.lastPacket)); got != test.want {
				t.Errorf("done returned %v", got)
			}
		})
	}
}
