package member

import (
	"time"

	"github.com/coriandershift/coriandershift/internal/state/roster"
)

const (
	// deadProbeInterval is the time between two probes of a balancer that was declared
	// dead. Every balancer sends them, so the sides of a network partition find each other
	// about this long after its end at any size.
	deadProbeInterval = time.Second

	// reunionPeriod is the time for which the table counts as incomplete after a reunion
	// and after each record of a living member that it brings: the two sides exchange
	// digests, and the homes of members that the other side declared dead refute that.
	reunionPeriod = 3 * time.Second

	// newSequence is the highest sequence at which a balancer counts as just started.
	newSequence = 3
)

// IncompleteUntil returns the time until which the table may lack living members, although
// it was complete before: this node was cut off or paused, or balancers that were cut off
// from it are back. An agent that is dead or missing here may live until then. The zero
// time means that nothing of the kind has happened.
func (n *Node) IncompleteUntil() time.Time {
	return n.incompleteUntil
}

// startReunion counts the table as incomplete for reunionPeriod from now on.
func (n *Node) startReunion(now time.Time) {
	n.incompleteUntil = now.Add(reunionPeriod)
}

// resync counts the table as incomplete after this node has received nothing for a while,
// and makes its next digest due. A node that has just started knows that it lacks records.
func (n *Node) resync(now time.Time) {
	if n.self.Role != roster.Balancer || n.isNew(now) {
		return
	}
	n.startReunion(now)
	n.lastDigest = time.Time{}
}

// isNew reports whether this node has just started, or not at all.
func (n *Node) isNew(now time.Time) bool {
	return n.started.IsZero() || now.Sub(n.started) < joinPeriod
}

// observeArrival handles the record of a member that is new here or was dead before, as
// the zero or its known record says. A balancer that has run unheard was cut off from this
// one: it gets a digest, and a reunion begins. Any living member prolongs a reunion.
func (n *Node) observeArrival(now time.Time, m, known roster.Member) {
	if n.self.Role != roster.Balancer || m.State == roster.Dead || m.Address == n.self.Address {
		return
	}
	if now.Before(n.incompleteUntil) {
		n.startReunion(now)
	}
	if m.Role != roster.Balancer {
		return
	}
	if m.Incarnation == known.Incarnation || (m.Sequence > newSequence && !n.isNew(now)) {
		n.startReunion(now)
		n.reunited = append(n.reunited, m.Address)
	}
}

// reunite returns digests for the balancers that are back since the last call.
func (n *Node) reunite() []Outgoing {
	var sends []Outgoing
	for _, to := range n.reunited {
		sends = append(sends, Outgoing{To: to, Message: n.digestMessage(false)})
	}
	n.reunited = n.reunited[:0]
	return sends
}

// probeDead returns a probe to a random balancer that has been declared dead, if it is
// due and there are any.
func (n *Node) probeDead(now time.Time) []Outgoing {
	if now.Sub(n.lastDeadProbe) < deadProbeInterval {
		return nil
	}
	dead := n.roster.DeadBalancers()
	if len(dead) == 0 {
		return nil
	}
	n.lastDeadProbe = now
	probe := n.message(Probe)
	probe.makePartial()
	return []Outgoing{{To: dead[n.random.IntN(len(dead))], Message: probe}}
}
