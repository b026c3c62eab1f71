package member

import (
	"net/netip"
	"slices"
	"time"

	"github.com/coriandershift/coriandershift/internal/state/roster"
)

// receivedHeartbeat is what a home keeps of a member's newest heartbeat.
type receivedHeartbeat struct {
	at          time.Time
	incarnation uint64
	sequence    uint64
	revision    uint64
}

// replaces reports whether the heartbeat is newer than the previous one.
func (h receivedHeartbeat) replaces(previous receivedHeartbeat) bool {
	if h.incarnation != previous.incarnation {
		return h.incarnation > previous.incarnation
	}
	return h.sequence > previous.sequence || h.revision > previous.revision
}

// resetTimeouts restarts the time-outs of all members after this process was
// paused, because their heartbeats may have arrived and not been read yet.
func (n *Node) resetTimeouts(now time.Time) {
	for address, h := range n.heartbeats {
		h.at = now
		n.heartbeats[address] = h
	}
	for address := range n.watched {
		n.watched[address] = now
	}
}

// sendHeartbeats returns the heartbeats that are due. They go to the homes, and to
// the seeds too if there are no homes or none answers.
func (n *Node) sendHeartbeats(now time.Time) []Outgoing {
	if now.Sub(n.lastHeartbeat) < n.heartbeatDelay(now) {
		return nil
	}
	n.lastHeartbeat = now
	n.self.Sequence = max(n.self.Sequence+1, n.heartbeatsSinceStart(now))

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

// heartbeatDelay returns the time between two heartbeats. It is shorter for a process
// that has just started and was not acknowledged yet, or has no configuration: the
// balancer that acknowledged it may have had none either.
func (n *Node) heartbeatDelay(now time.Time) time.Duration {
	if n.started.IsZero() || (!n.lastAck.IsZero() && n.revision > 0) {
		return HeartbeatInterval
	}
	switch age := now.Sub(n.started); {
	case age < startPeriod && n.isUseful():
		return startInterval
	case age < startPeriod:
		return TickInterval
	case age < joinPeriod:
		return joinInterval
	}
	return HeartbeatInterval
}

// isUseful reports whether others gain from knowing this node at once: it is a balancer, or
// an agent that takes new flows. An agent beside an upstream that is gone may end within
// moments, and searches for lost flows then wait for it.
func (n *Node) isUseful() bool {
	return n.self.Role == roster.Balancer || n.self.Weight > 0
}

func (n *Node) heartbeat(to netip.AddrPort) Message {
	m := n.message(Heartbeat)
	m.PeersHash = roster.HashMembers(n.peerAgents)
	if n.allowsPartial[to] {
		m.makePartial()
	}
	return m
}

// heartbeatsSinceStart returns the number of heartbeat intervals since the start.
// It keeps the sequence in step with time, also after a pause, so that others can
// recognise outdated records by their sequence.
func (n *Node) heartbeatsSinceStart(now time.Time) uint64 {
	if n.started.IsZero() {
		n.started = now
	}
	return uint64(now.Sub(n.started) / HeartbeatInterval)
}

func (n *Node) message(kind MessageKind) Message {
	return Message{Kind: kind, From: n.self, Revision: n.revision, Operators: n.operators, Era: n.era, Unsettled: n.unsettled}
}

// publishSelf has a balancer's own record pushed under a new sequence. Agents
// announce changes by their heartbeats only.
func (n *Node) publishSelf() {
	if n.self.Role != roster.Balancer {
		return
	}
	n.self.Sequence++
	n.merge(n.lastTick, n.self)
}
