// Package claim decides which agents guard an idempotency key. Every agent of
// a service works out the same guards from the same list of peers, so a
// request that is sent again through another agent meets the first one's claim.
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

	// AskTimeout bounds the question to one guard.
	AskTimeout = 250 * time.Millisecond
)

// GuardsOf returns the agents that guard a key, by rendezvous hashing over the
// peers that are not dead. A leaving agent still guards: it remembers.
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
	return spreadOut(ranked)
}

// spreadOut takes the first and the next one of another failure domain, or else the second.
func spreadOut(ranked []roster.Member) []roster.Member {
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
