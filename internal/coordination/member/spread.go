package member

import (
	"maps"
	"math/bits"
	"net/netip"
	"slices"
	"time"

	"github.com/coriandershift/coriandershift/internal/state/roster"
)

// spread queues a record to be pushed a number of times that grows with the logarithm of the fleet.
func (n *Node) spread(address netip.AddrPort) {
	n.rumours[address] = n.sendsOfRecord()
}

// sendsOfRecord returns in how many pushes news goes out.
func (n *Node) sendsOfRecord() int {
	sends := bits.Len(uint(len(n.ring)+1)) + extraSpread
	return (sends + fanout - 1) / fanout
}

func (n *Node) push(now time.Time) []Outgoing {
	if len(n.rumours)+n.revisionSends == 0 || now.Sub(n.lastPush) < pushEvery {
		return nil
	}
	n.lastPush = now

	var sends []Outgoing
	peers := n.peers(fanout)
	for _, members := range n.takeFreshest() {
		message := n.message(Push)
		if n.revisionSends == 0 {
			message.shorten() // the admin address is of use with a newer configuration only
		}
		message.Members = members
		for _, to := range peers {
			sends = append(sends, Outgoing{To: to, Message: message})
		}
	}
	n.revisionSends = max(0, n.revisionSends-1)
	return sends
}

// takeFreshest returns the records of one push, a message's worth each. Without
// any there is one message, which tells of the revision.
func (n *Node) takeFreshest() [][]roster.Member {
	var members []roster.Member
	for _, address := range n.freshest(maxPushes * maxMembers) {
		if m, ok := n.roster.Get(address); ok {
			members = append(members, m)
		}
		n.rumours[address]--
		if n.rumours[address] <= 0 {
			delete(n.rumours, address)
		}
	}
	if len(members) == 0 {
		return [][]roster.Member{nil}
	}
	return slices.Collect(slices.Chunk(members, maxMembers))
}

// freshest returns the records that were pushed least, in an order that is the same in every run.
func (n *Node) freshest(count int) []netip.AddrPort {
	waiting := slices.SortedFunc(maps.Keys(n.rumours), func(a, b netip.AddrPort) int {
		if n.rumours[a] != n.rumours[b] {
			return n.rumours[b] - n.rumours[a]
		}
		return a.Compare(b)
	})
	return waiting[:min(count, len(waiting))]
}

// Synced reports whether a balancer that knew all members was found to have the
// same table as this one.
func (n *Node) Synced() bool {
	return n.agreed
}

// join asks a balancer that knows all members for what a balancer lacks that has
// just started.
func (n *Node) join(now time.Time) []Outgoing {
	if n.self.Role != roster.Balancer || n.agreed || n.self.Weight > 0 || now.Sub(n.started) > joinFor || now.Sub(n.lastJoin) < joinEvery {
		return nil
	}
	var settled []netip.AddrPort
	for _, m := range n.ring {
		if m.Weight > 0 && m.State == roster.Alive && m.Address != n.self.Address {
			settled = append(settled, m.Address)
		}
	}
	if len(settled) == 0 {
		return nil
	}
	n.lastJoin = now
	m := n.digestMessage(false)
	m.Joining = true
	return []Outgoing{{To: settled[n.random.IntN(len(settled))], Message: m}}
}

func (n *Node) digest(now time.Time) []Outgoing {
	if now.Sub(n.lastDigest) < digestEvery {
		return nil
	}
	targets := n.peers(1)
	if len(targets) == 0 && len(n.roster.DeadBalancers()) == 0 {
		return nil // the first one goes out as soon as a peer is known
	}

	n.lastDigest = now
	n.digests++
	if n.digests%lostDigestEvery == 0 {
		targets = append(targets, n.lost()...)
	}

	var sends []Outgoing
	for _, to := range targets {
		sends = append(sends, Outgoing{To: to, Message: n.digestMessage(false)})
	}
	return sends
}

// lost returns one balancer that is taken for dead, at random: without it the
// two sides of a split would never turn to each other again.
func (n *Node) lost() []netip.AddrPort {
	lost := n.roster.DeadBalancers()
	if len(lost) == 0 {
		return nil
	}
	return []netip.AddrPort{lost[n.random.IntN(len(lost))]}
}

// peers returns up to count other balancers at random: one from anywhere, so that
// news leaves the failure domain, the others from the own one, where bytes cost
// nothing, if that has enough.
func (n *Node) peers(count int) []netip.AddrPort {
	chosen := n.pick(nil, n.ring, min(count, 1))
	if len(n.nearby) >= count {
		return n.pick(chosen, n.nearby, count)
	}
	return n.pick(chosen, n.ring, count)
}

// maxDraws is how often a member is drawn at random before too few are taken to exist.
const maxDraws = 32

// pick adds members to chosen at random until there are count, or no more are found.
func (n *Node) pick(chosen []netip.AddrPort, from []roster.Member, count int) []netip.AddrPort {
	for tries := 0; len(from) > 0 && len(chosen) < count && tries < maxDraws; tries++ {
		address := from[n.random.IntN(len(from))].Address
		if address != n.self.Address && !slices.Contains(chosen, address) {
			chosen = append(chosen, address)
		}
	}
	return chosen
}
