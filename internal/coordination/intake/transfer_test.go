package intake_test

import (
	"testing"
	"time"
)

// A port may be used again while the finished transfer is kept. The first opening packet of
// the new flow may have gone to another balancer.
func TestANewFlowFromThePortOfAFinishedOneCounts(t *testing.T) {
	tests := map[string]struct {
		sequence uint32
		want     bool // it counts as outstanding
	}{
		"a copy of the new flow's opening packet": {77, true},
		"a copy of the old flow's opening packet": {0, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c, now := learned()
			send(c, now, uploads, 2, 1, 34)
			again := openingOf(uploads, 2, 1)
			again.Sequence, again.SinceFirstSent = test.sequence, 200*time.Millisecond
			c.Observe(now.Add(10*time.Millisecond), again, uploads)
			if got := outstanding(c); got > 0 != test.want {
				t.Errorf("%d bytes are outstanding", got)
			}
		})
	}
}
