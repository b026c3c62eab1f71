package roster

import (
	"net/netip"
	"slices"
)

// HomeCount is the number of balancers to which a member sends its heartbeats.
const HomeCount = 2

// HomesOf returns the balancers that keep watch over the member at an address:
// the next ones on a ring of hashes, in different failure domains where there
// are any. The balancers must be sorted by SortByRing.
//
// The ring is that of consistent hashing (Karger et al., 1997).
func HomesOf(address netip.AddrPort, ring []Member) []Member {
	start, _ := slices.BinarySearchFunc(ring, HashAddress(address), func(m Member, hash uint64) int {
		if HashAddress(m.Address) < hash {
			return -1
		}
		return 1
	})

	var homes []Member
	var spare []Member
	for i := range ring {
		m := ring[(start+i)%len(ring)]
		if m.Address == address {
			continue
		}
		if len(homes) > 0 && homes[0].Domain == m.Domain {
			spare = append(spare, m)
			continue
		}
		homes = append(homes, m)
		if len(homes) == HomeCount {
			return homes
		}
	}

	for _, m := range spare {
		if len(homes) < HomeCount {
			homes = append(homes, m)
		}
	}
	return homes
}

// SortByRing sorts balancers by their place on the ring, in place.
func SortByRing(balancers []Member) {
	slices.SortFunc(balancers, func(a, b Member) int {
		ha, hb := HashAddress(a.Address), HashAddress(b.Address)
		switch {
		case ha < hb:
			return -1
		case ha > hb:
			return 1
		}
		return a.Address.Compare(b.Address)
	})
}
