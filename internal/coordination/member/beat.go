package member

import (
	"net/netip"
	"slices"
	"time"

	"github.com/coriandershift/coriandershift/internal/state/roster"
)

type contact struct {
	at          time.Time
	incarnation uint64
	sequence    uint64
	revision    uint64
}

// replaces reports whether the contact is newer than one before.
func (c contact) replaces(before contact) bool {
	if c.incarnation != before.incarnation {
		return c.incarnation > before.incarnation
	}
	return c.sequence > before.sequence || c.revision > before.revision
}

// resume gives every member a fresh start after this process was paused: their
// heartbeats may wait unread.
func (n *Node) resume(now time.Time) {
	for address, c := range n.heard {
		c.at = now
		n.heard[address] = c
	}
	for address := range n.watched {
		n.watched[address] = now
	}
}

func (n *Node) beat(now time.Time) []Outgoing {
	if now.Sub(n.lastBeat) < n.beatEvery(now) {
		return nil
	}
	n.lastBeat = now
	n.self.Sequence = max(n.self.Sequence+1, n.beatsSinceStart(now))

	if n.self.Role == roster.Balancer {
		n.homes = addresses(roster.HomesOf(n.self.Address, n.ring))
	}

	targets := n.homes
	if len(targets) == 0 || n.Isolated(now) {
		targets = append(slices.Clone(n.homes), n.seeds...)
	}

	var sends []Outgoing
	for _, to := range targets {
		sends = append(sends, Outgoing{To: to, Message: n.heartbeat(to)})
	}
	return sends
}

// beatEvery returns the time between two heartbeats. A process that has just
// started and that nobody knows yet calls more often.
func (n *Node) beatEvery(now time.Time) time.Duration {
	if n.lastAck.IsZero() && !n.started.IsZero() && now.Sub(n.started) < joinFor {
		return joinEvery
	}
	return HeartbeatInterval
}

func (n *Node) heartbeat(to netip.AddrPort) Message {
	m := n.message(Heartbeat)
	m.PeersHash = roster.HashMembers(n.peerAgents)
	if n.acquainted[to] {
		m.shorten()
	}
	return m
}

// beatsSinceStart keeps the sequence in step with time, also after a pause, so
// that others can tell old news from new.
func (n *Node) beatsSinceStart(now time.Time) uint64 {
	if n.started.IsZero() {
		n.started = now
	}
	return uint64(now.Sub(n.started) / HeartbeatInterval)
}

func (n *Node) message(kind MessageKind) Message {
	return Message{Kind: kind, From: n.self, Revision: n.revision}
}

func (n *Node) announce() {
	if n.self.Role != roster.Balancer {
		return
	}
	n.self.Sequence++
	n.merge(n.lastTick, n.self)
}
