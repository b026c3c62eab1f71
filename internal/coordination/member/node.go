// Package member decides how processes learn of each other. Every process
// sends heartbeats to two home balancers; balancers spread changes to each
// other by bounded epidemic push (Demers et al., 1987) and repair gaps by
// digests. It does no I/O: the time and a random source are passed in.
package member

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/coriandershift/coriandershift/internal/state/roster"
)

const (
	// HeartbeatInterval is the time between two heartbeats.
	HeartbeatInterval = roster.HeartbeatInterval

	// SuspectAfter is how long a member may be silent before it is probed.
	SuspectAfter = 1500 * time.Millisecond

	// DeadAfter is how long a member may be silent before it is taken for dead.
	DeadAfter = 3 * time.Second

	// ConfirmDeathAfter is how long a death may be refuted by a home that hears the
	// member before flows are given up for it.
	ConfirmDeathAfter = 1500 * time.Millisecond

	// ConfirmStaleDeathAfter is the same for a claim whose last heartbeat is long
	// past, as those that cross a split once it has healed.
	ConfirmStaleDeathAfter = 30 * time.Second

	// TickInterval is how often Tick must be called.
	TickInterval = 100 * time.Millisecond

	joinEvery = 200 * time.Millisecond // between heartbeats until the first acknowledgement
	joinFor   = 10 * time.Second       // after that the usual time is kept

	pushEvery       = 200 * time.Millisecond
	digestEvery     = 2 * time.Second
	lostDigestEvery = 4 // digests, of which one goes to a balancer that is taken for dead
	forgetEvery     = time.Minute

	// staleBeats is by how many heartbeats a claim of death may lag behind
	// what a living member must have reached.
	staleBeats = 30
	pauseGap   = time.Second // a longer gap between ticks means that this process was paused
	ackLost    = 2 * time.Second

	fanout      = 3
	extraSpread = 3  // sends of a record beyond the logarithm of the fleet
	maxMembers  = 10 // fits a datagram of 1,200 bytes
	maxPeers    = 16 // agents of one service that know each other; fits the same datagram
	maxRepair   = 30 // messages that answer one digest
	maxPushes   = 5  // messages of one push: an outage changes many members at once
)

// Node is one process's part in the membership. It is not safe for concurrent use.
type Node struct {
	self   roster.Member
	random *rand.Rand
	roster *roster.Roster
	seeds  []netip.AddrPort

	revision      uint64
	revisionSends int // pushes that are still to tell of the revision

	homes      []netip.AddrPort
	acquainted map[netip.AddrPort]bool // homes that have this node's whole record
	peerAgents []roster.Member
	lastAck    time.Time

	heard   map[netip.AddrPort]contact
	rumours map[netip.AddrPort]int
	ring    []roster.Member
	nearby  []roster.Member // the others of the own failure domain
	watched map[netip.AddrPort]time.Time
	ringAt  uint64

	digests int
	started time.Time
	agreed  bool // with a balancer that knew all members

	lastTick, lastBeat, lastPush, lastDigest, lastJoin, lastProbe, lastHeard, lastForget time.Time
}

// New returns a Node for the process that self describes.
func New(self roster.Member, random *rand.Rand) *Node {
	self.State = roster.Alive
	n := &Node{
		self:       self,
		random:     random,
		roster:     roster.New(),
		acquainted: map[netip.AddrPort]bool{},
		heard:      map[netip.AddrPort]contact{},
		rumours:    map[netip.AddrPort]int{},
		watched:    map[netip.AddrPort]time.Time{},
	}
	if self.Role == roster.Balancer {
		n.roster.Merge(self, time.Time{})
	}
	return n
}

// Roster returns what the node knows of the others.
func (n *Node) Roster() *roster.Roster {
	return n.roster
}

// Members returns all known members. One whose death is not yet confirmed is
// shown as leaving: it gets nothing new, and its flows are not given up. One
// whose death is claimed by stale news is shown as alive.
func (n *Node) Members() []roster.Member {
	members := n.roster.Members()
	for i := range members {
		n.suspicion(&members[i])
	}
	return members
}

// TakeChanged returns the members that changed since the last call, as Members shows them.
func (n *Node) TakeChanged() []roster.Member {
	var members []roster.Member
	for _, address := range n.roster.TakeChanged() {
		m, ok := n.roster.Get(address)
		if !ok {
			continue
		}
		n.suspicion(&m)
		members = append(members, m)
	}
	return members
}

func (n *Node) suspicion(m *roster.Member) {
	switch n.roster.Suspicion(m.Address) {
	case roster.UnconfirmedDeath:
		m.State = roster.Leaving
	case roster.StaleDeath:
		m.State = roster.Alive
	}
}

// Self returns the node's own record.
func (n *Node) Self() roster.Member {
	return n.self
}

// Peers returns the agents of the same service, this one among them. It must not be changed.
func (n *Node) Peers() []roster.Member {
	return n.peerAgents
}

// SetSeeds names balancers to turn to when no home answers.
func (n *Node) SetSeeds(seeds []netip.AddrPort) {
	n.seeds = slices.DeleteFunc(slices.Clone(seeds), func(a netip.AddrPort) bool { return a == n.self.Address })
}

// SetRevision tells which configuration is in force here. It is spread like a record.
func (n *Node) SetRevision(revision uint64) {
	n.revision = revision
	n.revisionSends = n.sendsOfRecord()
	n.lastBeat = time.Time{}
}

// SetWeight changes the share of new flows that the node asks for.
func (n *Node) SetWeight(weight uint8) {
	if n.self.Weight == weight {
		return
	}
	n.self.Weight = weight
	n.lastBeat = time.Time{}
}

// SetNoFlows tells whether the node is an agent without flows.
func (n *Node) SetNoFlows(empty bool) {
	if n.self.NoFlows == empty {
		return
	}
	n.self.NoFlows = empty
	n.lastBeat = time.Time{}
}

// AnnounceLeaving announces that the node takes nothing new from now on.
func (n *Node) AnnounceLeaving() {
	n.self.State = roster.Leaving
	n.lastBeat = time.Time{}
	n.announce()
}

// AnnounceExit announces that the node ends for good.
func (n *Node) AnnounceExit() {
	n.self.State = roster.Dead
	n.lastBeat = time.Time{}
	n.announce()
}

// AnnounceReturn takes AnnounceLeaving back.
func (n *Node) AnnounceReturn() {
	n.self.State = roster.Alive
	n.lastBeat = time.Time{}
	n.announce()
}

// Isolated reports whether no balancer has answered lately.
func (n *Node) Isolated(now time.Time) bool {
	return now.Sub(n.lastAck) > ackLost
}

// AppliedRevisions returns the configuration revision in force at each member that reports to this node.
func (n *Node) AppliedRevisions() map[netip.AddrPort]uint64 {
	applied := make(map[netip.AddrPort]uint64, len(n.heard))
	for address, c := range n.heard {
		m, known := n.roster.Get(address)
		if known && m.State != roster.Dead {
			applied[address] = c.revision
		}
	}
	return applied
}

// Tick does what is due by now.
func (n *Node) Tick(now time.Time) []Outgoing {
	if now.Sub(n.lastTick) > pauseGap {
		n.resume(now)
	}
	n.lastTick = now

	sends := n.beat(now)
	if n.self.Role != roster.Balancer {
		return sends
	}

	n.watch(now)
	sends = append(sends, n.detectFailures(now)...)
	sends = append(sends, n.push(now)...)
	sends = append(sends, n.join(now)...)
	sends = append(sends, n.digest(now)...)
	n.roster.ConfirmDeaths(now)
	n.forget(now)
	return sends
}

func (n *Node) forget(now time.Time) {
	if now.Sub(n.lastForget) < forgetEvery {
		return
	}
	n.lastForget = now
	n.roster.ForgetDead(now)
}

func addresses(members []roster.Member) []netip.AddrPort {
	var list []netip.AddrPort
	for i := range members {
		list = append(list, members[i].Address)
	}
	return list
}
