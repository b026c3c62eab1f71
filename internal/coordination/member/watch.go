package member

import (
	"maps"
	"math/bits"
	"net/netip"
	"slices"
	"time"

	"github.com/coriandershift/coriandershift/internal/state/roster"
)

// watch works out which members this node is a home of, whenever the set of balancers changes.
func (n *Node) watch(now time.Time) {
	if n.ringAt == n.roster.BalancerVersion() {
		return
	}
	n.ringAt = n.roster.BalancerVersion()

	n.ring = n.roster.Balancers()
	roster.RingOrder(n.ring)

	watched := map[netip.AddrPort]time.Time{}
	for _, m := range n.roster.Members() {
		if m.State == roster.Dead || !n.isHomeOf(m.Address) {
			continue
		}
		since, already := n.watched[m.Address]
		if !already {
			since = now
		}
		watched[m.Address] = since
	}
	n.watched = watched
}

// consider starts or ends the watch over one member whose record changed.
func (n *Node) consider(now time.Time, m roster.Member) {
	if m.State == roster.Dead || !n.isHomeOf(m.Address) {
		delete(n.watched, m.Address)
		return
	}
	if _, already := n.watched[m.Address]; !already {
		n.watched[m.Address] = now
	}
}

func (n *Node) isHomeOf(address netip.AddrPort) bool {
	if address == n.self.Address {
		return false
	}
	return slices.ContainsFunc(roster.HomesOf(address, n.ring), func(m roster.Member) bool {
		return m.Address == n.self.Address
	})
}

// judge probes members that have gone silent and declares the dead. A node
// that hears from nobody judges nobody: it is more likely cut off itself.
func (n *Node) judge(now time.Time) []Send {
	if now.Sub(n.lastHeard) > SuspectAfter {
		return nil
	}

	probe := now.Sub(n.lastProbe) >= HeartbeatEvery
	if probe {
		n.lastProbe = now
	}

	var sends []Send
	for _, address := range slices.SortedFunc(maps.Keys(n.watched), netip.AddrPort.Compare) {
		since, c := n.watched[address], n.heard[address]
		silent := now.Sub(later(since, c.at))
		if silent > DeadAfter {
			n.bury(now, address, c)
			continue
		}
		if silent > SuspectAfter && probe {
			sends = append(sends, Send{To: address, Message: n.message(Probe)})
		}
	}
	return sends
}

func (n *Node) bury(now time.Time, address netip.AddrPort, c contact) {
	m, ok := n.roster.Get(address)
	if !ok || m.State == roster.Dead {
		return
	}
	if c.incarnation == m.Incarnation {
		m.Sequence = max(m.Sequence, c.sequence)
	}
	m.State = roster.Dead
	delete(n.heard, address)
	n.merge(now, m)
}

// spread queues a record to be pushed a number of times that grows with the logarithm of the fleet.
func (n *Node) spread(address netip.AddrPort) {
	n.rumours[address] = n.sendsOfRecord()
}

// sendsOfRecord returns in how many pushes news goes out.
func (n *Node) sendsOfRecord() int {
	sends := bits.Len(uint(len(n.ring)+1)) + extraSpread
	return (sends + fanout - 1) / fanout
}

func (n *Node) push(now time.Time) []Send {
	if len(n.rumours)+n.revisionSends == 0 || now.Sub(n.lastPush) < pushEvery {
		return nil
	}
	n.lastPush = now

	message := n.message(Push)
	if n.revisionSends == 0 {
		message.shorten() // the admin address is of use with a newer configuration only
	}
	for _, address := range n.freshest(maxMembers) {
		if m, ok := n.roster.Get(address); ok {
			message.Members = append(message.Members, m)
		}
		n.rumours[address]--
		if n.rumours[address] <= 0 {
			delete(n.rumours, address)
		}
	}

	n.revisionSends = max(0, n.revisionSends-1)

	var sends []Send
	for _, to := range n.peers(fanout) {
		sends = append(sends, Send{To: to, Message: message})
	}
	return sends
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

func (n *Node) digest(now time.Time) []Send {
	if now.Sub(n.lastDigest) < digestEvery {
		return nil
	}
	n.lastDigest = now

	n.digests++
	targets := n.peers(1)
	if n.digests%lookEvery == 0 {
		targets = append(targets, n.lost()...)
	}

	var sends []Send
	for _, to := range targets {
		sends = append(sends, Send{To: to, Message: n.digestMessage(false)})
	}
	return sends
}

// lost returns one balancer that is taken for dead, at random: without it the
// two sides of a split would never turn to each other again.
func (n *Node) lost() []netip.AddrPort {
	lost := n.roster.LostBalancers()
	if len(lost) == 0 {
		return nil
	}
	return []netip.AddrPort{lost[n.random.IntN(len(lost))]}
}

// peers returns up to count other balancers at random.
func (n *Node) peers(count int) []netip.AddrPort {
	others := len(n.ring)
	if n.isOnRing() {
		others--
	}

	var chosen []netip.AddrPort
	for len(chosen) < min(count, others) {
		address := n.ring[n.random.IntN(len(n.ring))].Address
		if address != n.self.Address && !slices.Contains(chosen, address) {
			chosen = append(chosen, address)
		}
	}
	return chosen
}

func (n *Node) isOnRing() bool {
	m, ok := n.roster.Get(n.self.Address)
	return ok && m.State != roster.Dead
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
