package member_test

import (
	"testing"
	"time"

	"github.com/coriandershift/coriandershift/internal/coordination/member"
	"github.com/coriandershift/coriandershift/internal/state/roster"
)

const (
	// contactPeriod is the time after a disturbance from which the platform's rules count
	// on processes to know each other again.
	contactPeriod = 4 * time.Second

	// findPeriod is the part of it in which the sides of a cut may still be unaware of each
	// other. After that, a balancer that lacks a member must know that it may.
	findPeriod = 2 * time.Second
)

// cutOff drops all messages between the hosts for which inside is true and the others.
func (f *fleet) cutOff(inside func(i int, h *host) bool) {
	group := map[*host]bool{}
	for i, h := range f.nodes {
		group[h] = inside(i, h)
	}
	f.drop = func(from, to *host) bool { return group[from] != group[to] }
}

// missing returns the number of running hosts that a balancer takes for dead or does not
// know.
func (f *fleet) missing(balancer *host) int {
	known := map[*host]bool{}
	for _, m := range balancer.node.Members() {
		known[f.byAddress[m.Address]] = m.State != roster.Dead
	}
	count := 0
	for _, h := range f.nodes {
		if !h.down && !known[h] {
			count++
		}
	}
	return count
}

// Guards against balancers that were cut off together and found the others again only up
// to 8 s after the cut. They took the agents that they knew for all that there are, and
// reset open flows of the others (review, case 2).
func TestSidesOfACutKnowEachOtherSoon(t *testing.T) {
	inDomain := func(_ int, h *host) bool { return h.domain == "d1" }
	tests := map[string]struct {
		balancers, agents int
		inside            func(i int, h *host) bool
		length            time.Duration
		during            func(f *fleet) // happens halfway
	}{
		"a failure domain":                   {8, 24, inDomain, 10 * time.Second, nil},
		"a failure domain, for a minute":     {8, 24, inDomain, 70 * time.Second, nil},
		"a failure domain of many":           {60, 180, inDomain, 10 * time.Second, nil},
		"a single balancer":                  {8, 24, func(i int, _ *host) bool { return i == 2 }, 10 * time.Second, nil},
		"two balancers and no agent":         {8, 24, func(i int, _ *host) bool { return i < 2 }, 10 * time.Second, nil},
		"two balancers and three agents":     {6, 12, func(i int, _ *host) bool { return i < 2 || (i >= 6 && i < 9) }, 10 * time.Second, nil},
		"a balancer, while an agent starts":  {8, 24, func(i int, _ *host) bool { return i == 2 }, 10 * time.Second, func(f *fleet) { f.join(roster.Agent) }},
		"a failure domain that is restarted": {8, 24, inDomain, 16 * time.Second, restartDomain},
		"a failure domain, others for good": {40, 80, inDomain, 10 * time.Second, func(f *fleet) {
			for i, h := range f.nodes[:40] {
				h.down = i%4 > 1 // half of the balancers, none in the failure domain that is cut off
			}
		}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(4) {
				f := newFleet(t, seed, test.balancers, test.agents)
				f.run(20 * time.Second)
				f.cutOff(test.inside)
				f.run(test.length / 2)
				if test.during != nil {
					test.during(f)
				}
				f.run(test.length / 2)
				f.cutOff(func(int, *host) bool { return false })

				f.run(findPeriod)
				for elapsed := findPeriod; elapsed < 2*contactPeriod; elapsed += member.TickInterval {
					for _, h := range f.nodes {
						if h.role != roster.Balancer || h.down {
							continue
						}
						if count := f.missing(h); count > 0 && !f.now.Before(h.node.IncompleteUntil()) {
							t.Fatalf("seed %d: %v after the cut %s lacks %d members and counts its table as complete", seed, elapsed, h.addr, count)
						} else if count > 0 && elapsed >= contactPeriod {
							t.Fatalf("seed %d: %v after the cut %s lacks %d members", seed, elapsed, h.addr, count)
						}
					}
					f.run(member.TickInterval)
				}
			}
		})
	}
}

// restartDomain starts all processes of the failure domain d1 anew.
func restartDomain(f *fleet) {
	for _, h := range f.nodes {
		if h.domain == "d1" {
			f.start(h)
		}
	}
}

// Guards against a table that counts as incomplete without a cut, which would leave callers
// of lost flows without an answer.
func TestDeathsAndRestartsLeaveTheTableComplete(t *testing.T) {
	f := newFleet(t, 1, 8, 24)
	f.run(20 * time.Second)
	for _, h := range f.nodes {
		h.down = h.domain == "d1"
	}
	f.run(10 * time.Second)
	restartDomain(f)
	for range 100 {
		f.run(member.TickInterval)
		for _, h := range f.nodes {
			if h.domain != "d1" && f.now.Before(h.node.IncompleteUntil()) {
				t.Fatalf("%s counts its table as incomplete", h.addr)
			}
		}
	}
}
