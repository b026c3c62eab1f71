package member_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/coriandershift/coriandershift/internal/standin/envint"
	"github.com/coriandershift/coriandershift/internal/state/roster"
)

const (
	soakSteps = 60
	soakHeal  = time.Minute
)

// TestRandomFaults lets faults befall a fleet at random, two at once at times,
// then lets it heal, and asks that every balancer knows the truth. All along no
// balancer may give up the flows of an agent that was up and reachable for
// everybody. SOAK_SEED and SOAK_RUNS choose other seeds.
func TestRandomFaults(t *testing.T) {
	first, runs := envint.Get(t, "SOAK_SEED", 1), envint.Get(t, "SOAK_RUNS", 6)
	for seed := first; seed < first+runs; seed++ {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			soak(t, uint64(seed))
		})
	}
}

func soak(t *testing.T, seed uint64) {
	f := newFleet(t, seed, 7, 28)
	f.run(20 * time.Second)

	for range soakSteps {
		f.injectFault(f.nodes[f.random.IntN(len(f.nodes))])
		f.run(time.Duration(f.random.IntN(4000)) * time.Millisecond)
		f.mustKeepUntouched()
	}

	f.cut = func(_, _ *host) bool { return false }
	for _, h := range f.nodes {
		if h.paused {
			f.resume(h)
		}
	}
	f.mustAgree(soakHeal)
}

// injectFault makes one thing happen to a host or to the network.
func (f *fleet) injectFault(h *host) {
	up := !h.down && !h.paused
	switch f.random.IntN(8) {
	case 0:
		if up && f.running(roster.Balancer) > 3 {
			h.down, h.touched = true, true
		}
	case 1:
		if h.down {
			f.start(h)
			h.touched = true
		}
	case 2:
		if up {
			h.paused, h.touched = true, true
		}
	case 3:
		if h.paused {
			f.resume(h)
		}
	case 4:
		f.cut = func(_, _ *host) bool { return f.random.IntN(20) == 0 }
	case 5:
		left := f.random.IntN(domains)
		name := fmt.Sprintf("d%d", left)
		f.cut = func(from, to *host) bool { return (from.domain == name) != (to.domain == name) }
		for _, other := range f.nodes {
			other.touched = true // who is reachable depends on where one stands
		}
	default:
		f.cut = func(_, _ *host) bool { return false }
	}
}

func (f *fleet) running(role roster.Role) int {
	count := 0
	for _, h := range f.nodes {
		if h.role == role && !h.down && !h.paused {
			count++
		}
	}
	return count
}

// mustKeepUntouched fails if a balancer takes a host for dead, beyond suspicion, though no fault has touched it.
func (f *fleet) mustKeepUntouched() {
	f.t.Helper()
	for _, h := range f.nodes {
		if h.role != roster.Balancer || h.down || h.paused {
			continue
		}
		for _, m := range h.node.Members() {
			if other := f.byAddr[m.Address]; m.State == roster.Dead && !other.touched {
				f.t.Fatalf("%s gives up %s after %s, to which nothing happened", h.addr, m.Address, f.now.Sub(time.Unix(1_800_000_000, 0)))
			}
		}
	}
}
