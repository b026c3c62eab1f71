package member_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/coriandershift/coriandershift/internal/standin/envint"
	"github.com/coriandershift/coriandershift/internal/state/roster"
)

const (
	soakFaults = 60
	healTime   = time.Minute
)

// TestRandomFaults injects random faults into a fleet, sometimes two at once, then
// ends the network faults and pauses, and requires that every balancer has the
// actual state of every host. Meanwhile no balancer may give up the flows of an
// agent that was up and reachable from everywhere. SOAK_SEED sets the first seed and
// SOAK_RUNS the number of seeds.
func TestRandomFaults(t *testing.T) {
	first, runs := envint.Get(t, "SOAK_SEED", 1), envint.Get(t, "SOAK_RUNS", 6)
	for seed := first; seed < first+runs; seed++ {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			runRandomFaults(t, uint64(seed))
		})
	}
}

func runRandomFaults(t *testing.T, seed uint64) {
	f := newFleet(t, seed, 7, 28)
	f.run(20 * time.Second)

	for range soakFaults {
		f.injectFault(f.nodes[f.random.IntN(len(f.nodes))])
		f.run(time.Duration(f.random.IntN(4000)) * time.Millisecond)
		f.mustKeepUnaffected()
	}

	f.drop = func(_, _ *host) bool { return false }
	for _, h := range f.nodes {
		if h.paused {
			f.resume(h)
		}
	}
	f.mustConverge(healTime)
}

// injectFault injects one random fault into a host or the network, or ends one.
func (f *fleet) injectFault(h *host) {
	up := !h.down && !h.paused
	switch f.random.IntN(8) {
	case 0:
		if up && f.countRunning(roster.Balancer) > 3 {
			h.down, h.affected = true, true
		}
	case 1:
		if h.down {
			f.start(h)
			h.affected = true
		}
	case 2:
		if up {
			h.paused, h.affected = true, true
		}
	case 3:
		if h.paused {
			f.resume(h)
		}
	case 4:
		f.drop = func(_, _ *host) bool { return f.random.IntN(20) == 0 }
	case 5:
		cutOff := f.random.IntN(domains)
		name := fmt.Sprintf("d%d", cutOff)
		f.drop = func(from, to *host) bool { return (from.domain == name) != (to.domain == name) }
		for _, other := range f.nodes {
			other.affected = true // which hosts are reachable differs between the two sides
		}
	default:
		f.drop = func(_, _ *host) bool { return false }
	}
}

func (f *fleet) countRunning(role roster.Role) int {
	count := 0
	for _, h := range f.nodes {
		if h.role == role && !h.down && !h.paused {
			count++
		}
	}
	return count
}

// mustKeepUnaffected fails the test if a balancer considers the death of a host
// confirmed although no fault has affected the host.
func (f *fleet) mustKeepUnaffected() {
	f.t.Helper()
	for _, h := range f.nodes {
		if h.role != roster.Balancer || h.down || h.paused {
			continue
		}
		for _, m := range h.node.Members() {
			if other := f.byAddress[m.Address]; m.State == roster.Dead && !other.affected {
				f.t.Fatalf("%s gives up %s after %s although no fault affected it", h.addr, m.Address, f.now.Sub(time.Unix(1_800_000_000, 0)))
			}
		}
	}
}
