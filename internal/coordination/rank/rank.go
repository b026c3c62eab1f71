// Package rank orders the agents of a service for a flow by rendezvous hashing
// (Thaler and Ravishankar, 1998), so that balancers with the same view agree
// without a message and a change of one agent moves few flows.
package rank

// Candidate is an agent that may get a flow.
type Candidate struct {
	// Seed is the hash of the agent's address.
	Seed uint64

	// Index is the value that Top writes for the agent, such as its index in another list.
	Index int
}

// Top writes the indexes of the highest ranked candidates into order, the highest
// first, and returns how many it wrote, at most len(order), which must not be 0.
// scores is scratch space, at least as long as order.
func Top(hash uint64, candidates []Candidate, order []int, scores []uint64) int {
	count := 0
	for _, c := range candidates {
		score := Mix(hash ^ c.Seed)
		if count == len(order) && score <= scores[count-1] {
			continue
		}

		position := min(count, len(order)-1)
		for position > 0 && scores[position-1] < score {
			scores[position], order[position] = scores[position-1], order[position-1]
			position--
		}
		scores[position], order[position] = score, c.Index
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
