package pause_test

import (
	"testing"
	"time"

	"github.com/coriandershift/coriandershift/internal/state/pause"
)

func TestPauses(t *testing.T) {
	start := time.Now() // has a reading of the monotonic clock
	tests := map[string]struct {
		monotonicOnly bool
		now           time.Time
		want          bool
	}{
		"a second without a tick":                   {false, start.Add(time.Second), false},
		"more than a second without a tick":         {false, start.Add(1100 * time.Millisecond), true},
		"the VM was suspended":                      {false, start.Round(0).Add(time.Hour), true},
		"the time of day was set back":              {false, start.Round(0).Add(-time.Hour), false},
		"more than a second by the monotonic clock": {true, start.Add(1100 * time.Millisecond), true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			d := pause.Detector{MonotonicOnly: test.monotonicOnly}
			if d.Resumed(start) {
				t.Error("paused before the first tick")
			}
			d.Tick(start)
			if got := d.Resumed(test.now); got != test.want {
				t.Errorf("resumed: %v, want %v", got, test.want)
			}
			if got := d.Resuming(test.now.Add(299 * time.Millisecond)); got != test.want {
				t.Errorf("resuming after 299 ms: %v, want %v", got, test.want)
			}
			if d.Resuming(test.now.Add(300 * time.Millisecond)) {
				t.Error("still resuming after 300 ms")
			}
		})
	}
}
