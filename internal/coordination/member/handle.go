package member

import (
	"time"

	"github.com/coriandershift/coriandershift/internal/state/roster"
)

// Handle takes a message that arrived. The offer is set if the sender has a newer configuration.
func (n *Node) Handle(now time.Time, m Message) ([]Outgoing, ConfigSource) {
	n.lastHeard = now

	var offer ConfigSource
	if m.Revision > n.revision && m.From.Admin.IsValid() {
		offer = ConfigSource{Revision: m.Revision, Admin: m.From.Admin}
	}

	switch m.Kind {
	case Heartbeat:
		return n.onHeartbeat(now, m), offer
	case Ack:
		n.onAck(now, m)
		return n.join(now), offer
	case Probe:
		return []Outgoing{{To: m.From.Address, Message: n.heartbeat(m.From.Address)}}, offer
	case Push:
		n.onPush(now, m)
	case Digest:
		return n.onDigest(now, m), offer
	}
	return nil, offer
}

func (n *Node) onHeartbeat(now time.Time, m Message) []Outgoing {
	if n.self.Role != roster.Balancer || m.From.Address == n.self.Address {
		return nil
	}

	if m.PartialFrom && !n.complete(&m.From) {
		return []Outgoing{{To: m.From.Address, Message: n.message(Ack)}}
	}

	c := contact{at: now, incarnation: m.From.Incarnation, sequence: m.From.Sequence, revision: m.Revision}
	if c.replaces(n.heard[m.From.Address]) {
		n.heard[m.From.Address] = c
	}

	n.learn(now, m.From)
	ack := n.ack(m)
	if known, ok := n.roster.Get(m.From.Address); ok && known.Incarnation > m.From.Incarnation {
		ack.KnownIncarnation = known.Incarnation
	}
	return []Outgoing{{To: m.From.Address, Message: ack}}
}

// complete fills in what a brief heartbeat lacks, and reports whether it could.
func (n *Node) complete(from *roster.Member) bool {
	known, ok := n.roster.Get(from.Address)
	if !ok || known.Incarnation != from.Incarnation {
		return false
	}
	from.Name, from.Domain, from.Service, from.Admin = known.Name, known.Domain, known.Service, known.Admin
	return true
}

// learnFrom takes the sender's own record from a message, if that tells enough.
func (n *Node) learnFrom(now time.Time, m Message) {
	if m.PartialFrom && !n.complete(&m.From) {
		return // its whole record comes with a digest
	}
	n.learn(now, m.From)
}

// learn takes a record that came from the member itself. Only a change of
// content spreads, so that heartbeats cost nothing beyond the home.
func (n *Node) learn(now time.Time, from roster.Member) {
	known, ok := n.roster.Get(from.Address)
	if ok && from.EqualExceptSequence(&known) {
		return
	}
	n.merge(now, from)
}

// merge takes a record into the roster and passes it on if it was news.
func (n *Node) merge(now time.Time, m roster.Member) bool {
	if !n.roster.Merge(m, now) {
		return false
	}
	n.spread(m.Address)
	n.consider(now, m)
	return true
}

func (n *Node) ack(beat Message) Message {
	m := n.message(Ack)
	m.AllowPartialFrom = true
	if beat.Revision >= n.revision && beat.From.Role == roster.Agent {
		m.shorten() // only a newer configuration makes the admin address of use
	}
	m.Homes = addresses(roster.HomesOf(beat.From.Address, n.ring))
	if beat.From.Role != roster.Agent {
		return m
	}

	peers := n.roster.LiveAgents(beat.From.Service)
	peers = peers[:min(len(peers), maxPeers)]
	for i := range peers {
		peers[i].Name, peers[i].Service = "", "" // known, or of no use, to the receiver
	}
	if roster.HashMembers(peers) != beat.PeersHash {
		m.Peers = peers
	}
	return m
}

func (n *Node) onAck(now time.Time, m Message) {
	n.lastAck = now
	n.acquainted[m.From.Address] = m.AllowPartialFrom
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
			n.refuteOwn(now, member)
			continue
		}
		if n.refutesClaim(member) {
			continue
		}
		n.mergeClaim(now, member)
	}
}

// mergeClaim takes a record that came from another member. A death in it is only suspected at first.
func (n *Node) mergeClaim(now time.Time, claim roster.Member) {
	known, ok := n.roster.Get(claim.Address)
	kind, until := n.suspicionOf(now, claim, known)
	if !n.merge(now, claim) || !ok || claim.State != roster.Dead || known.State == roster.Dead {
		return
	}
	n.roster.SetSuspicion(claim.Address, kind, until)
}

// suspicionOf returns how far a claim of death is to be believed. A living member's sequence
// grows with every heartbeat; a claim that lags far behind what it must have
// reached by now tells of a time when the member could not be heard from there.
func (n *Node) suspicionOf(now time.Time, claim, known roster.Member) (roster.Suspicion, time.Time) {
	passed := now.Sub(n.roster.LearnedAt(claim.Address)) / HeartbeatInterval
	reached := known.Sequence + uint64(max(0, passed))
	if claim.Incarnation == known.Incarnation && claim.Sequence+staleBeats < reached {
		return roster.StaleDeath, now.Add(ConfirmStaleDeathAfter)
	}
	return roster.UnconfirmedDeath, now.Add(ConfirmDeathAfter)
}

// refuteOwn answers a record about this node that is not its own.
func (n *Node) refuteOwn(now time.Time, claim roster.Member) {
	if claim.EqualExceptSequence(&n.self) {
		n.roster.Merge(claim, now) // or its digest would differ from all others for ever
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
	n.announce()
}

// supersede takes an incarnation above one that others know this address under.
// Incarnations come from the time of day, which may have been set back.
func (n *Node) supersede(known uint64) {
	n.self.Incarnation = known + 1
	clear(n.acquainted)
	n.lastBeat = time.Time{}
	n.announce()
}

// refutesClaim reports whether a claim of death is older than a heartbeat heard
// here, and says so to the others.
func (n *Node) refutesClaim(claim roster.Member) bool {
	if claim.State != roster.Dead {
		return false
	}

	known, ok := n.roster.Get(claim.Address)
	if !ok || known.Incarnation != claim.Incarnation || known.State == roster.Dead {
		return false
	}

	c, ok := n.heard[claim.Address]
	if !ok || c.incarnation != claim.Incarnation || c.sequence <= claim.Sequence {
		return false
	}

	known.Sequence = c.sequence
	n.merge(n.lastTick, known)
	return true
}

func (n *Node) onDigest(now time.Time, m Message) []Outgoing {
	if n.self.Role != roster.Balancer || len(m.Digest) != roster.DigestBuckets {
		return nil
	}

	n.learnFrom(now, m)
	missing := n.roster.Differing([roster.DigestBuckets]uint64(m.Digest))
	n.compare(m, len(missing) == 0)
	if len(missing) == 0 && !m.Joining {
		return nil
	}

	var sends []Outgoing
	for len(missing) > 0 && len(sends) < maxRepair {
		count := min(len(missing), maxMembers)
		push := n.message(Push)
		push.shorten()
		push.Members = missing[:count]
		missing = missing[count:]
		sends = append(sends, Outgoing{To: m.From.Address, Message: push})
	}

	if !m.IsReply {
		sends = append(sends, Outgoing{To: m.From.Address, Message: n.digestMessage(true)})
	}
	return sends
}

// compare notes that a balancer which knew all members before has the same table.
func (n *Node) compare(m Message, same bool) {
	if same && m.IsReply && m.From.Weight > 0 {
		n.agreed = true
	}
}

func (n *Node) digestMessage(reply bool) Message {
	m := n.message(Digest)
	m.shorten()
	digest := n.roster.Digest()
	m.Digest = digest[:]
	m.IsReply = reply
	return m
}
