// Package rank orders the agents of a service for a flow by rendezvous hashing
// (Thaler and Ravishankar, 1998), so that balancers with the same view agree
// without a message and a change of one agent moves few flows.
package rank

// Candidate is an agent that may have a flow.
type Candidate struct {
	// Seed is the hash of the agent's address.
	Seed uint64

	// Index is the agent's place in the caller's own list.
	Index int
}

// Top writes the indexes of the highest ranked candidates into order and
// returns how many it wrote, at most len(order).
func Top(hash uint64, candidates []Candidate, order []int, scores []uint64) int {
	count := 0
	for _, c := range candidates {
		score := Mix(hash ^ c.Seed)
		if count == len(order) && score <= scores[count-1] {
			continue
		}

		place := min(count, len(order)-1)
		for place > 0 && scores[place-1] < score {
			scores[place], order[place] = scores[place-1], order[place-1]
			place--
		}
		scores[place], order[place] = score, c.Index
		count = min(count+1, len(order))
	}
	return count
}

// Mix spreads the bits of x: the finalizer of SplitMix64 (Steele, Lea and Flood, 2014).
func Mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
