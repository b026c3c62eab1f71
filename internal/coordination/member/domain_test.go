package member_test

import (
	"testing"
	"time"

	"github.com/coriandershift/coriandershift/internal/state/roster"
)

// TestALostFailureDomainIsKnownEverywhere checks the users' bound at the size of hundreds
// of processes: a few seconds after a failure domain was lost, no balancer counts any of
// its members as alive.
func TestALostFailureDomainIsKnownEverywhere(t *testing.T) {
	const within = 7 * time.Second
	for seed := range uint64(3) {
		f := newFleet(t, seed, restartBalancers, restartAgents)
		f.run(20 * time.Second)
		for _, h := range f.nodes {
			h.down = h.domain == "d1"
		}
		f.run(within)
		for _, h := range f.nodes {
			if wrong := f.disagreeing(h, roster.Dead); h.down && len(wrong) > 0 {
				t.Errorf("seed %d: %d balancers do not know of the death of %s", seed, len(wrong), h.addr)
			}
		}
	}
}
