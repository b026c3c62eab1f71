package member

import (
	"maps"
	"math/bits"
	"net/netip"
	"slices"
	"time"

	"github.com/coriandershift/coriandershift/internal/state/roster"
)

// queuePush queues the record at an address to be pushed a number of times that
// grows with the logarithm of the number of balancers.
func (n *Node) queuePush(address netip.AddrPort) {
	n.pendingPushes[address] = n.pushesPerRecord()
}

// pushesPerRecord returns the number of pushes in which a changed record is sent.
func (n *Node) pushesPerRecord() int {
	sends := bits.Len(uint(len(n.ring)+1)) + extraSends
	return (sends + fanout - 1) / fanout
}

// push returns the messages of one push if any are due: the pending records, or
// only the revision if there are none. Each goes to fanout random balancers.
func (n *Node) push(now time.Time) []Outgoing {
	if len(n.pendingPushes)+n.revisionPushes == 0 || now.Sub(n.lastPush) < n.pushDelay(now) {
		return nil
	}
	n.lastPush = now

	var sends []Outgoing
	peers := n.randomPeers(fanout)
	for _, members := range n.takePending() {
		message := n.message(Push)
		if n.revisionPushes == 0 {
			message.makePartial() // the admin address serves only to fetch a newer configuration
		}
		message.Members = members
		for _, to := range peers {
			sends = append(sends, Outgoing{To: to, Message: message})
		}
	}
	n.revisionPushes = max(0, n.revisionPushes-1)
	return sends
}

// pushDelay returns the time between two pushes.
func (n *Node) pushDelay(now time.Time) time.Duration {
	if n.isStarting(now) {
		return startPushInterval
	}
	return pushInterval
}

// isStarting reports whether this balancer takes no traffic yet and started less than
// startDigestPeriod ago.
func (n *Node) isStarting(now time.Time) bool {
	return n.self.Weight == 0 && !n.synced && now.Sub(n.started) < startDigestPeriod
}

// takePending returns the records of one push, divided into messages, and counts
// them as pushed. If there are more than fit, as after an outage, each is pushed only
// once and digests repair what that leaves out. Without pending records takePending
// returns one empty message, which still carries the revision.
func (n *Node) takePending() [][]roster.Member {
	const capacity = maxPushMessages * maxRecords
	backlogged := len(n.pendingPushes) > capacity
	var members []roster.Member
	for _, address := range n.leastPushed(capacity) {
		if m, ok := n.roster.Get(address); ok {
			members = append(members, m)
		}
		n.pendingPushes[address]--
		if backlogged || n.pendingPushes[address] <= 0 {
			delete(n.pendingPushes, address)
		}
	}
	if len(members) == 0 {
		return [][]roster.Member{nil}
	}
	return slices.Collect(slices.Chunk(members, maxRecords))
}

// leastPushed returns the addresses of up to count pending records, those with the
// most pushes left first. The order is the same in every run.
func (n *Node) leastPushed(count int) []netip.AddrPort {
	pending := slices.SortedFunc(maps.Keys(n.pendingPushes), func(a, b netip.AddrPort) int {
		if n.pendingPushes[a] != n.pendingPushes[b] {
			return n.pendingPushes[b] - n.pendingPushes[a]
		}
		return a.Compare(b)
	})
	return pending[:min(count, len(pending))]
}

// Synced reports whether the node has found its table equal to that of a balancer
// that knew all members.
func (n *Node) Synced() bool {
	return n.synced
}

// join lets a balancer that has just started ask for the records that it lacks. It
// sends its digest to a random balancer that takes traffic and therefore knows all
// members, until both tables are equal or joinPeriod is over.
func (n *Node) join(now time.Time) []Outgoing {
	if n.self.Role != roster.Balancer || n.synced || n.self.Weight > 0 || now.Sub(n.started) > joinPeriod || now.Sub(n.lastJoin) < joinInterval {
		return nil
	}
	var active []netip.AddrPort
	for _, m := range n.ring {
		if m.Weight > 0 && m.State == roster.Alive && m.Address != n.self.Address {
			active = append(active, m.Address)
		}
	}
	if len(active) == 0 {
		return nil
	}
	n.lastJoin = now
	m := n.digestMessage(false)
	m.Joining = true
	return []Outgoing{{To: active[n.random.IntN(len(active))], Message: m}}
}

// digest returns the digest to a random balancer if it is due.
func (n *Node) digest(now time.Time) []Outgoing {
	if now.Sub(n.lastDigest) < n.digestDelay(now) {
		return nil
	}
	targets := n.randomPeers(1)
	if len(targets) == 0 {
		return nil // the first one goes out as soon as a peer is known
	}
	n.lastDigest = now
	var sends []Outgoing
	for _, to := range targets {
		sends = append(sends, Outgoing{To: to, Message: n.digestMessage(false)})
	}
	return sends
}

// digestDelay returns the time between two digests.
func (n *Node) digestDelay(now time.Time) time.Duration {
	if n.isStarting(now) {
		return startDigestInterval
	}
	return digestInterval
}

// randomPeers returns up to count other balancers at random. The first is from any
// failure domain, so that changes reach other domains. The rest are from this
// node's failure domain, where traffic is free, if it has at least count others.
func (n *Node) randomPeers(count int) []netip.AddrPort {
	chosen := n.pickRandom(nil, n.ring, min(count, 1))
	if len(n.sameDomain) >= count {
		return n.pickRandom(chosen, n.sameDomain, count)
	}
	return n.pickRandom(chosen, n.ring, count)
}

// maxDraws is the number of random draws after which pickRandom returns fewer
// members than asked for.
const maxDraws = 32

// pickRandom adds the addresses of random members to chosen, without this node and
// without duplicates, until there are count or maxDraws draws were made.
func (n *Node) pickRandom(chosen []netip.AddrPort, from []roster.Member, count int) []netip.AddrPort {
	for draws := 0; len(from) > 0 && len(chosen) < count && draws < maxDraws; draws++ {
		address := from[n.random.IntN(len(from))].Address
		if address != n.self.Address && !slices.Contains(chosen, address) {
			chosen = append(chosen, address)
		}
	}
	return chosen
}
