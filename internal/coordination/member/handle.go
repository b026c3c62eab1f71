package member

import (
	"time"

	"github.com/coriandershift/coriandershift/internal/state/config"
	"github.com/coriandershift/coriandershift/internal/state/revno"
	"github.com/coriandershift/coriandershift/internal/state/roster"
)

// Handle processes a received message and returns the messages to be sent. The
// ConfigSource is the zero value unless the sender has a newer configuration.
func (n *Node) Handle(now time.Time, m Message) ([]Outgoing, ConfigSource) {
	if !n.lastReceived.IsZero() && now.Sub(n.lastReceived) > SuspectAfter {
		n.resync(now)
	}
	n.lastReceived = now

	var source ConfigSource
	if n.isNewerConfig(&m) && m.From.Admin.IsValid() {
		source = ConfigSource{Revision: m.Revision, Operators: m.Operators, Admin: m.From.Admin, Near: m.From.Domain == n.self.Domain}
	}
	n.ObserveEra(m.Era)

	switch m.Kind {
	case Heartbeat:
		return n.onHeartbeat(now, m), source
	case Ack:
		n.onAck(now, m)
		return n.join(now), source
	case Probe:
		return []Outgoing{{To: m.From.Address, Message: n.heartbeat(m.From.Address)}}, source
	case Push:
		n.onPush(now, m)
	case Digest:
		return n.onDigest(now, m), source
	}
	return nil, source
}

// isNewerConfig reports whether the sender of a message has a newer configuration than
// this node, as config.Config.NewerThan compares them. An unsettled one of a later era
// may be older in spite of that.
func (n *Node) isNewerConfig(m *Message) bool {
	isOfLaterEra := revno.Revision(m.Revision).Era() > revno.Revision(n.revision).Era()
	if m.Unsettled && n.revision > 0 && isOfLaterEra {
		return false
	}
	sent := config.Config{Revision: m.Revision, Operators: m.Operators}
	return sent.NewerThan(&config.Config{Revision: n.revision, Operators: n.operators})
}

func (n *Node) onHeartbeat(now time.Time, m Message) []Outgoing {
	if n.self.Role != roster.Balancer || m.From.Address == n.self.Address {
		return nil
	}

	if m.PartialFrom && !n.completeRecord(&m.From) {
		// Without AllowPartialFrom, so that the next heartbeat contains the whole record.
		return []Outgoing{{To: m.From.Address, Message: n.message(Ack)}}
	}

	h := receivedHeartbeat{at: now, incarnation: m.From.Incarnation, sequence: m.From.Sequence, revision: m.Revision}
	if h.replaces(n.heartbeats[m.From.Address]) {
		n.heartbeats[m.From.Address] = h
	}

	n.learn(now, m.From)
	ack := n.ack(m)
	if known, ok := n.roster.Get(m.From.Address); ok && known.Incarnation > m.From.Incarnation {
		ack.KnownIncarnation = known.Incarnation
	}
	return []Outgoing{{To: m.From.Address, Message: ack}}
}

// completeRecord fills in the fields that a partial record lacks from the roster. It
// reports whether the roster has the member under the same incarnation.
func (n *Node) completeRecord(from *roster.Member) bool {
	known, ok := n.roster.Get(from.Address)
	if !ok || known.Incarnation != from.Incarnation {
		return false
	}
	from.Name, from.Domain, from.Service, from.Admin = known.Name, known.Domain, known.Service, known.Admin
	return true
}

// learnFrom merges the sender's own record from a message, unless it is partial
// and cannot be completed.
func (n *Node) learnFrom(now time.Time, m Message) {
	if m.PartialFrom && !n.completeRecord(&m.From) {
		return // the whole record arrives in reply to a digest
	}
	n.learn(now, m.From)
}

// learn merges a record that came from the member itself. It ignores a record in
// which only the sequence is new, so that heartbeats cause no traffic beyond the
// home.
func (n *Node) learn(now time.Time, from roster.Member) {
	known, ok := n.roster.Get(from.Address)
	if ok && from.EqualExceptSequence(&known) {
		return
	}
	n.merge(now, from)
}

// merge merges a record into the roster and reports whether it was newer than the
// known one. If so, the record is also queued to be pushed to other balancers.
func (n *Node) merge(now time.Time, m roster.Member) bool {
	known, isKnown := n.roster.Get(m.Address)
	suspicion := n.roster.Suspicion(m.Address)
	if !n.roster.Merge(m, now) {
		return false
	}
	if !isKnown || (known.State == roster.Dead && suspicion == roster.NoSuspicion) {
		n.observeArrival(now, m, known)
	}
	n.queuePush(m.Address)
	n.updateWatch(now, m)
	return true
}

func (n *Node) ack(heartbeat Message) Message {
	m := n.message(Ack)
	m.AllowPartialFrom = true
	known := config.Config{Revision: heartbeat.Revision, Operators: heartbeat.Operators}
	own := config.Config{Revision: n.revision, Operators: n.operators}
	if !own.NewerThan(&known) && heartbeat.From.Role == roster.Agent {
		m.makePartial() // the admin address serves only to fetch a newer configuration
	}
	m.Homes = addresses(roster.HomesOf(heartbeat.From.Address, n.ring))
	if heartbeat.From.Role != roster.Agent {
		return m
	}

	peers := n.roster.LiveAgents(heartbeat.From.Service)
	peers = peers[:min(len(peers), maxPeers)]
	for i := range peers {
		peers[i].Name, peers[i].Service = "", "" // not needed by the receiver, or known to it
	}
	if roster.HashMembers(peers) != heartbeat.PeersHash {
		m.Peers = peers
	}
	return m
}

func (n *Node) onAck(now time.Time, m Message) {
	n.lastAck = now
	n.allowsPartial[m.From.Address] = m.AllowPartialFrom
	if m.KnownIncarnation > n.self.Incarnation {
		n.supersede(m.KnownIncarnation)
	}
	if n.self.Role != roster.Balancer {
		if len(m.Homes) > 0 {
			n.homes = m.Homes
		}
		if len(m.Peers) > 0 {
			n.peerAgents = m.Peers
		}
		return
	}
	if !m.PartialFrom {
		n.learn(now, m.From)
	}
}

func (n *Node) onPush(now time.Time, m Message) {
	if n.self.Role != roster.Balancer {
		return
	}

	n.learnFrom(now, m)
	for _, member := range m.Members {
		if member.Address == n.self.Address {
			n.correctOwnRecord(now, member)
			continue
		}
		if n.refutesClaim(member) {
			continue
		}
		n.mergeClaim(now, member)
	}
}

// mergeClaim merges a record that came from another member. If it claims the death
// of a member that was not dead so far, the death stays unconfirmed at first.
func (n *Node) mergeClaim(now time.Time, claim roster.Member) {
	known, ok := n.roster.Get(claim.Address)
	kind, until := n.suspicionOf(now, claim, known)
	if !n.merge(now, claim) || !ok || claim.State != roster.Dead || known.State == roster.Dead {
		return
	}
	n.roster.SetSuspicion(claim.Address, kind, until)
}

// suspicionOf returns the suspicion for a claim of death and the time at which the
// death counts as confirmed. A living member's sequence grows with every heartbeat.
// A claim whose sequence is far below the one expected by now is stale: it stems
// from a time when the claimant could not receive the member's heartbeats.
func (n *Node) suspicionOf(now time.Time, claim, known roster.Member) (roster.Suspicion, time.Time) {
	elapsed := now.Sub(n.roster.LearnedAt(claim.Address)) / HeartbeatInterval
	expected := known.Sequence + uint64(max(0, elapsed))
	if claim.Incarnation == known.Incarnation && claim.Sequence+staleHeartbeats < expected {
		return roster.StaleDeath, now.Add(ConfirmStaleDeathAfter)
	}
	return roster.UnconfirmedDeath, now.Add(ConfirmDeathAfter)
}

// correctOwnRecord handles a record of this node that came from another balancer.
// If the content differs, the node publishes its own record under a sequence or an
// incarnation above the claimed one. Claims with an older incarnation are ignored.
func (n *Node) correctOwnRecord(now time.Time, claim roster.Member) {
	if claim.EqualExceptSequence(&n.self) {
		n.roster.Merge(claim, now) // otherwise this node's digest would differ from all others forever
		return
	}
	if claim.Incarnation > n.self.Incarnation {
		n.supersede(claim.Incarnation)
		return
	}
	if claim.Incarnation != n.self.Incarnation {
		return
	}
	n.self.Sequence = max(n.self.Sequence, claim.Sequence)
	n.publishSelf()
}

// supersede raises this node's incarnation above the one under which others know
// its address. Incarnations come from the time of day, and the clock may have been
// set back before this process started.
func (n *Node) supersede(known uint64) {
	n.self.Incarnation = known + 1
	clear(n.allowsPartial)
	n.lastHeartbeat = time.Time{}
	n.publishSelf()
}

// refutesClaim reports whether a claim of death is older than a heartbeat received
// here. If so, it also merges the member's record with the sequence of that
// heartbeat, which is then pushed to the others.
func (n *Node) refutesClaim(claim roster.Member) bool {
	if claim.State != roster.Dead {
		return false
	}

	known, ok := n.roster.Get(claim.Address)
	if !ok || known.Incarnation != claim.Incarnation || known.State == roster.Dead {
		return false
	}

	h, ok := n.heartbeats[claim.Address]
	if !ok || h.incarnation != claim.Incarnation || h.sequence <= claim.Sequence {
		return false
	}

	known.Sequence = h.sequence
	n.merge(n.lastTick, known)
	return true
}
