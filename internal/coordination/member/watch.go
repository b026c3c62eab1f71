package member

import (
	"maps"
	"net/netip"
	"slices"
	"time"

	"github.com/coriandershift/coriandershift/internal/state/roster"
)

// updateRing rebuilds the ring and the set of members that have this node as a
// home. It does nothing unless a balancer's record has changed.
func (n *Node) updateRing(now time.Time) {
	if n.ringVersion == n.roster.BalancerVersion() {
		return
	}
	n.ringVersion = n.roster.BalancerVersion()

	n.ring = n.roster.LiveBalancers()
	roster.SortByRing(n.ring)
	n.sameDomain = nil
	for _, m := range n.ring {
		if m.Domain == n.self.Domain && m.Address != n.self.Address {
			n.sameDomain = append(n.sameDomain, m)
		}
	}

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

// updateWatch starts or stops watching one member whose record has changed.
func (n *Node) updateWatch(now time.Time, m roster.Member) {
	if m.State == roster.Dead || !n.isHomeOf(m.Address) {
		delete(n.watched, m.Address)
		return
	}
	if _, already := n.watched[m.Address]; !already {
		n.watched[m.Address] = now
	}
}

// RankInDomain returns the number of balancers of the node's failure domain that
// come before it on the ring.
func (n *Node) RankInDomain() int {
	before := 0
	for i := range n.ring {
		if n.ring[i].Address == n.self.Address {
			break
		}
		if n.ring[i].Domain == n.self.Domain {
			before++
		}
	}
	return before
}

// IsFirstActive reports whether the node is the first on the ring among the
// balancers that take traffic, which are those with a weight above 0.
func (n *Node) IsFirstActive() bool {
	for i := range n.ring {
		if n.ring[i].Address == n.self.Address {
			return n.self.Weight > 0
		}
		if n.ring[i].Weight > 0 && n.ring[i].State == roster.Alive {
			return false
		}
	}
	return false
}

func (n *Node) isHomeOf(address netip.AddrPort) bool {
	if address == n.self.Address {
		return false
	}
	return slices.ContainsFunc(roster.HomesOf(address, n.ring), func(m roster.Member) bool {
		return m.Address == n.self.Address
	})
}

// detectFailures returns probes to watched members that have been silent for
// SuspectAfter and declares those dead that have been silent for DeadAfter. A node
// that has received no message for SuspectAfter does neither, since it is more
// likely cut off itself.
func (n *Node) detectFailures(now time.Time) []Outgoing {
	if now.Sub(n.lastReceived) > SuspectAfter {
		return nil
	}

	probe := now.Sub(n.lastProbe) >= HeartbeatInterval
	if probe {
		n.lastProbe = now
	}

	var sends []Outgoing
	for _, address := range slices.SortedFunc(maps.Keys(n.watched), netip.AddrPort.Compare) {
		since, h := n.watched[address], n.heartbeats[address]
		silence := now.Sub(later(since, h.at))
		if silence > DeadAfter {
			n.declareDead(now, address, h)
			continue
		}
		if silence > SuspectAfter && probe {
			sends = append(sends, Outgoing{To: address, Message: n.message(Probe)})
		}
	}
	return sends
}

// declareDead marks a member as dead in the roster, at the sequence of the last
// heartbeat received from it.
func (n *Node) declareDead(now time.Time, address netip.AddrPort, h receivedHeartbeat) {
	m, ok := n.roster.Get(address)
	if !ok || m.State == roster.Dead {
		return
	}
	if h.incarnation == m.Incarnation {
		m.Sequence = max(m.Sequence, h.sequence)
	}
	m.State = roster.Dead
	delete(n.heartbeats, address)
	n.merge(now, m)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
