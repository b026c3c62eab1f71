package claim_test

import (
	"fmt"
	"math"
	"net/netip"
	"slices"
	"testing"

	"github.com/coriandershift/coriandershift/internal/coordination/claim"
	"github.com/coriandershift/coriandershift/internal/state/roster"
)

func peers(count, domains int) []roster.Member {
	var list []roster.Member
	for i := range count {
		list = append(list, roster.Member{
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{192, 0, 2, byte(i)}), 7200),
			Domain:  fmt.Sprint("d", i%domains), State: roster.Alive,
		})
	}
	return list
}

func TestGuardsAreInDifferentDomainsForAnyOrderOfPeers(t *testing.T) {
	list := peers(7, 4)
	counts := map[netip.AddrPort]float64{}
	const keys = 7000
	for i := range keys {
		key := fmt.Sprint("key", i)
		guards := claim.GuardsOf(key, list)
		reversed := slices.Clone(list)
		slices.Reverse(reversed)
		if again := claim.GuardsOf(key, reversed); again[0] != guards[0] || again[1] != guards[1] {
			t.Fatal("the order of the peers matters")
		}
		if len(guards) != claim.GuardCount || guards[0].Domain == guards[1].Domain {
			t.Fatalf("guards %v are not two in different failure domains", guards)
		}
		counts[guards[0].Address]++
	}
	for address, count := range counts {
		if want := float64(keys) / 7; math.Abs(count-want) > 5*math.Sqrt(want) {
			t.Errorf("%s guards %.0f keys first, want about %.0f", address, count, want)
		}
	}
}

func TestOneLostAgentLeavesOneGuard(t *testing.T) {
	list := peers(7, 4)
	for i := range 500 {
		key := fmt.Sprint("key", i)
		before := claim.GuardsOf(key, list)
		lost := slices.Clone(list)
		lost[i%7].State = roster.Dead
		after := claim.GuardsOf(key, lost)
		if !slices.ContainsFunc(after, func(m roster.Member) bool {
			return m.Address == before[0].Address || m.Address == before[1].Address
		}) {
			t.Fatalf("key %q: no guard is left of %v", key, before)
		}
	}
}

func TestGuardCountWithFewPeers(t *testing.T) {
	tests := map[string]struct{ peers, domains, want int }{
		"none":              {0, 1, 0},
		"one":               {1, 1, 1},
		"two":               {2, 1, 2},
		"all in one domain": {5, 1, 2},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			if got := len(claim.GuardsOf("k", peers(test.peers, test.domains))); got != test.want {
				t.Errorf("got %d guards, want %d", got, test.want)
			}
		})
	}
}
