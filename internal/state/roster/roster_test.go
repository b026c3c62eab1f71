package roster_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/coriandershift/coriandershift/internal/state/roster"
)

var begin = time.Unix(1_800_000_000, 0)

func address(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 7100)
}

func agent(i int, state roster.State, sequence uint64) roster.Member {
	return roster.Member{
		Address: address(i), Role: roster.Agent, Service: "s", State: state, Sequence: sequence,
		Incarnation: uint64(begin.UnixMilli()),
	}
}

// TestDigestsDifferAfterEqualChanges guards against equal changes of two members
// cancelling out in a digest. The two members differ only in their address, and one
// roster gets the same change for both.
func TestDigestsDifferAfterEqualChanges(t *testing.T) {
	const members = 100
	for i := range members {
		for j := range i {
			left, right := roster.New(), roster.New()
			for _, r := range []*roster.Roster{left, right} {
				r.Merge(agent(i, roster.Alive, 1), begin)
				r.Merge(agent(j, roster.Alive, 1), begin)
			}
			left.Merge(agent(i, roster.Dead, 5), begin)
			left.Merge(agent(j, roster.Dead, 5), begin)
			if left.Digest() == right.Digest() {
				t.Fatalf("members %d and %d cancel out in the digest", i, j)
			}
		}
	}
}

// TestMergeOrderDoesNotMatter merges the same records into two rosters in different orders.
func TestMergeOrderDoesNotMatter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var records []roster.Member
		for range rapid.IntRange(1, 30).Draw(t, "records") {
			m := agent(rapid.IntRange(0, 3).Draw(t, "member"), roster.State(rapid.IntRange(1, 3).Draw(t, "state")), uint64(rapid.IntRange(0, 5).Draw(t, "sequence")))
			m.Incarnation += uint64(rapid.IntRange(0, 2).Draw(t, "incarnation"))
			records = append(records, m)
		}

		left, right := roster.New(), roster.New()
		for _, m := range records {
			left.Merge(m, begin)
		}
		for _, m := range rapid.Permutation(records).Draw(t, "order") {
			right.Merge(m, begin)
		}
		same := cmp.Comparer(func(a, b netip.AddrPort) bool { return a == b })
		if diff := cmp.Diff(left.Members(), right.Members(), same); diff != "" {
			t.Fatal(diff)
		}
		if left.Digest() != right.Digest() {
			t.Fatal("digests of equal rosters differ")
		}
	})
}

func TestForgottenMembersAreNotMergedAgain(t *testing.T) {
	r := roster.New()
	r.Merge(agent(1, roster.Alive, 1), begin)
	dead := agent(1, roster.Dead, 1)
	r.Merge(dead, begin.Add(time.Minute))
	late := begin.Add(roster.ForgetAgentAfter + time.Minute)
	r.ForgetDead(late)
	if r.Len() != 0 || r.Merge(dead, late) {
		t.Error("a member that died long ago is still in the roster or was merged again")
	}
	if r.Digest() != roster.New().Digest() {
		t.Error("the digest still contains the forgotten member")
	}
}

func TestHomesAreInDifferentDomains(t *testing.T) {
	var ring []roster.Member
	for i := range 12 {
		ring = append(ring, roster.Member{Address: address(i), Role: roster.Balancer, Domain: fmt.Sprint("d", i%4)})
	}
	roster.SortByRing(ring)
	for i := range 500 {
		homes := roster.HomesOf(address(i), ring)
		if len(homes) != roster.HomeCount || homes[0].Domain == homes[1].Domain {
			t.Fatalf("homes of %s are %v", address(i), homes)
		}
		if homes[0].Address == address(i) || homes[1].Address == address(i) {
			t.Fatalf("%s is its own home", address(i))
		}
	}
}
