package roster

import (
	"net/netip"
	"slices"
)

// HomeCount is the number of home balancers to which a member sends its heartbeats.
const HomeCount = 2

// HomesOf returns the home balancers of the member at an address, which monitor
// its heartbeats: the balancers that follow the address on a ring of hashes, in
// different failure domains if possible. There are at most HomeCount, and a member
// is never its own home. The ring must be sorted by SortByRing.
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
	var sameDomain []Member
	for i := range ring {
		m := ring[(start+i)%len(ring)]
		if m.Address == address {
			continue
		}
		if len(homes) > 0 && homes[0].Domain == m.Domain {
			sameDomain = append(sameDomain, m)
			continue
		}
		homes = append(homes, m)
		if len(homes) == HomeCount {
			return homes
		}
	}

	for _, m := range sameDomain {
		if len(homes) < HomeCount {
			homes = append(homes, m)
		}
	}
	return homes
}

// SortByRing sorts balancers in place by their position on the ring, which is the
// hash of their address.
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
