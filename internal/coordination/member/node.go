// Package member implements the membership protocol: how the processes of the
// system learn of each other and detect failures. Every process sends heartbeats
// to two home balancers. Balancers push changes to each other by bounded epidemic
// push (Demers et al., 1987) and repair gaps by comparing digests. The package does
// no I/O: the time and a random source are passed in.
package member

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/coriandershift/coriandershift/internal/state/roster"
)

const (
	// HeartbeatInterval is the time between two heartbeats.
	HeartbeatInterval = roster.HeartbeatInterval

	// SuspectAfter is the silence after which a home probes a member.
	SuspectAfter = 1500 * time.Millisecond

	// DeadAfter is the silence after which a home declares a member dead.
	DeadAfter = 3 * time.Second

	// ConfirmDeathAfter is the time between the first claim of a death and its
	// confirmation, on which the member's flows are given up. Until then a home
	// that still receives the member's heartbeats may refute the claim.
	ConfirmDeathAfter = 1500 * time.Millisecond

	// ConfirmStaleDeathAfter is the same time for a stale claim, one whose sequence
	// lags by more than staleHeartbeats. Such claims arrive, for example, after a
	// network partition has healed.
	ConfirmStaleDeathAfter = 30 * time.Second

	// TickInterval is the time between two calls of Tick, startTickInterval that in the
	// startPeriod after the first one.
	TickInterval      = 100 * time.Millisecond
	startTickInterval = 20 * time.Millisecond

	// startInterval is the time between heartbeats until the first acknowledgement, for
	// startPeriod after the start: if all processes start together, the first heartbeats
	// arrive before the balancers listen, and callers wait. Later it is joinInterval.
	startInterval = 40 * time.Millisecond
	startPeriod   = 500 * time.Millisecond

	joinInterval = 200 * time.Millisecond // also between join requests
	joinPeriod   = 10 * time.Second       // time after the start in which joinInterval applies

	// startDigestInterval is the time between two digests of a balancer that takes no
	// traffic yet, for startDigestPeriod after its start. If all balancers have just
	// started, their tables differ in hundreds of records.
	startDigestInterval = 300 * time.Millisecond
	startDigestPeriod   = 3 * time.Second

	// startPushInterval is the time between two pushes of a balancer that takes no traffic
	// yet, for startDigestPeriod after its start; later it is pushInterval.
	startPushInterval = 60 * time.Millisecond

	pushInterval   = 200 * time.Millisecond
	digestInterval = 2 * time.Second
	forgetInterval = time.Minute

	// staleHeartbeats is the number of heartbeats by which a claim of death may lag
	// behind the sequence expected of the member before it counts as stale.
	staleHeartbeats = 30
	maxTickGap      = time.Second // a longer gap between ticks means that this process was paused
	ackTimeout      = 2 * time.Second

	fanout            = 3  // balancers to which each push is sent
	extraSends        = 3  // sends of a record beyond the base-2 logarithm of the number of balancers
	maxRecords        = 10 // records in one message; fits a datagram of 1,200 bytes
	maxPeers          = 16 // agents of one service that know each other; fits a datagram of 1,200 bytes
	maxRepairMessages = 30 // messages sent in reply to one digest
	maxPushMessages   = 5  // messages in one push; more than one, since an outage changes many members at once
)

// Node takes part in the membership protocol for one process. It is not safe for
// concurrent use.
type Node struct {
	self   roster.Member
	random *rand.Rand
	roster *roster.Roster
	seeds  []netip.AddrPort

	revision       uint64 // of the configuration in force here
	operators      uint64 // the operators' version of that configuration
	era            uint64 // latest era of the store heard of
	unsettled      bool   // the configuration in force is; see Message.Unsettled
	revisionPushes int    // pushes that still have to carry the revision

	homes         []netip.AddrPort
	allowsPartial map[netip.AddrPort]bool // homes that have this node's whole record
	peerAgents    []roster.Member         // agents of the same service, from the last acknowledgement with any
	lastAck       time.Time

	heartbeats    map[netip.AddrPort]receivedHeartbeat // newest one received from each member
	pendingPushes map[netip.AddrPort]int               // records to be pushed, with the number of pushes left
	ring          []roster.Member                      // live balancers, sorted by roster.SortByRing
	sameDomain    []roster.Member                      // the other balancers in this node's failure domain
	watched       map[netip.AddrPort]time.Time         // members that have this node as a home, since when
	ringVersion   uint64                               // roster.BalancerVersion at which ring was built

	incompleteUntil time.Time        // see IncompleteUntil
	reunited        []netip.AddrPort // balancers that are back and are to get a digest

	started time.Time // of the first heartbeat
	synced  bool      // whether a balancer that knew all members had the same table

	lastTick, lastHeartbeat, lastPush, lastDigest, lastJoin, lastProbe, lastDeadProbe, lastReceived, lastForget, lastInquiry time.Time
}

// New returns a Node for the process that self describes.
func New(self roster.Member, random *rand.Rand) *Node {
	self.State = roster.Alive
	n := &Node{
		self:          self,
		random:        random,
		roster:        roster.New(),
		allowsPartial: map[netip.AddrPort]bool{},
		heartbeats:    map[netip.AddrPort]receivedHeartbeat{},
		pendingPushes: map[netip.AddrPort]int{},
		watched:       map[netip.AddrPort]time.Time{},
	}
	if self.Role == roster.Balancer {
		n.roster.Merge(self, time.Time{})
	}
	return n
}

// Roster returns the node's table of members.
func (n *Node) Roster() *roster.Roster {
	return n.roster
}

// Members returns all known members, sorted by address. A member whose death is
// not yet confirmed is shown as leaving, so that it gets no new flows and its
// flows are not given up. A member whose death is claimed by a stale record is
// shown as alive.
func (n *Node) Members() []roster.Member {
	members := n.roster.Members()
	for i := range members {
		n.applySuspicion(&members[i])
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
		n.applySuspicion(&m)
		members = append(members, m)
	}
	return members
}

// applySuspicion replaces the state of a member whose death is not yet confirmed.
func (n *Node) applySuspicion(m *roster.Member) {
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

// Peers returns the agents of the same service, this one among them. The caller
// must not change the result.
func (n *Node) Peers() []roster.Member {
	return n.peerAgents
}

// Isolated reports whether no balancer has acknowledged a heartbeat for ackTimeout.
func (n *Node) Isolated(now time.Time) bool {
	return now.Sub(n.lastAck) > ackTimeout
}

// AppliedRevisions returns the revision of the configuration in force at each
// member that sends heartbeats to this node and is not dead.
func (n *Node) AppliedRevisions() map[netip.AddrPort]uint64 {
	applied := make(map[netip.AddrPort]uint64, len(n.heartbeats))
	for address, h := range n.heartbeats {
		m, known := n.roster.Get(address)
		if known && m.State != roster.Dead {
			applied[address] = h.revision
		}
	}
	return applied
}

// TickDelay returns the time until the next call of Tick is due, after one at now.
func (n *Node) TickDelay(now time.Time) time.Duration {
	if n.started.IsZero() || now.Sub(n.started) < startPeriod {
		return startTickInterval
	}
	return TickInterval
}

// Tick runs the periodic tasks that are due and returns the messages to be sent.
func (n *Node) Tick(now time.Time) []Outgoing {
	if now.Sub(n.lastTick) > maxTickGap {
		n.resetTimeouts(now)
		n.resync(now)
	}
	n.lastTick = now

	sends := n.sendHeartbeats(now)
	if n.self.Role != roster.Balancer {
		return sends
	}

	n.updateRing(now)
	sends = append(sends, n.detectFailures(now)...)
	sends = append(sends, n.push(now)...)
	sends = append(sends, n.join(now)...)
	sends = append(sends, n.digest(now)...)
	sends = append(sends, n.reunite()...)
	sends = append(sends, n.probeDead(now)...)
	n.roster.ConfirmDeaths(now)
	n.forgetDead(now)
	return sends
}

// forgetDead removes long-dead members from the roster every forgetInterval.
func (n *Node) forgetDead(now time.Time) {
	if now.Sub(n.lastForget) < forgetInterval {
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
