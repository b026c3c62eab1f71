package member

import (
	"maps"
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

	n.ring = n.roster.LiveBalancers()
	roster.SortByRing(n.ring)
	n.nearby = nil
	for _, m := range n.ring {
		if m.Domain == n.self.Domain && m.Address != n.self.Address {
			n.nearby = append(n.nearby, m)
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

// RankInDomain returns how many balancers of the node's failure domain come before it on the ring.
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

// IsFirstActive reports whether the node is the first on the ring of the balancers that
// take traffic, as their weight tells.
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

// detectFailures probes members that have gone silent and declares the dead. A node
// that hears from nobody declares nobody dead: it is more likely cut off itself.
func (n *Node) detectFailures(now time.Time) []Outgoing {
	if now.Sub(n.lastHeard) > SuspectAfter {
		return nil
	}

	probe := now.Sub(n.lastProbe) >= HeartbeatInterval
	if probe {
		n.lastProbe = now
	}

	var sends []Outgoing
	for _, address := range slices.SortedFunc(maps.Keys(n.watched), netip.AddrPort.Compare) {
		since, c := n.watched[address], n.heard[address]
		silent := now.Sub(later(since, c.at))
		if silent > DeadAfter {
			n.declareDead(now, address, c)
			continue
		}
		if silent > SuspectAfter && probe {
			sends = append(sends, Outgoing{To: address, Message: n.message(Probe)})
		}
	}
	return sends
}

func (n *Node) declareDead(now time.Time, address netip.AddrPort, c contact) {
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

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
