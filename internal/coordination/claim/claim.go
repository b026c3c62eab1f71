// Package claim decides which agents guard an idempotency key, which means that
// they remember who claimed it. Every agent of a service computes the same guards
// from the same list of peers, so a request that is repeated through another agent
// finds the first agent's claim.
package claim

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/coriandershift/coriandershift/internal/state/roster"
)

const (
	// GuardCount is the number of agents that guard a key, in different failure domains where there are any.
	GuardCount = 2

	// AskTimeout is the time limit of a query to one guard.
	AskTimeout = 250 * time.Millisecond
)

// GuardsOf returns the agents that guard a key, by rendezvous hashing over the
// peers that are not dead. There are fewer than GuardCount if there are fewer such
// peers. A leaving agent still guards, because it remembers claims.
func GuardsOf(key string, peers []roster.Member) []roster.Member {
	hash := xxhash.Sum64String(key)
	ranked := slices.DeleteFunc(slices.Clone(peers), func(m roster.Member) bool { return m.State == roster.Dead })
	slices.SortFunc(ranked, func(a, b roster.Member) int {
		sa, sb := score(hash, &a), score(hash, &b)
		switch {
		case sa > sb:
			return -1
		case sa < sb:
			return 1
		}
		return a.Address.Compare(b.Address)
	})
	return acrossDomains(ranked)
}

// acrossDomains returns the first agent and the next one in another failure domain,
// or else the first two.
func acrossDomains(ranked []roster.Member) []roster.Member {
	if len(ranked) <= GuardCount {
		return ranked
	}
	for _, m := range ranked[1:] {
		if m.Domain != ranked[0].Domain {
			return []roster.Member{ranked[0], m}
		}
	}
	return ranked[:GuardCount]
}

func score(hash uint64, m *roster.Member) uint64 {
	x := hash ^ roster.HashAddress(m.Address)
	x ^= x >> 32
	x *= 0xd6e8feb86659fd93
	return x ^ x>>32
}
