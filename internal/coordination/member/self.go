package member

import (
	"net/netip"
	"slices"
	"time"

	"github.com/coriandershift/coriandershift/internal/state/roster"
)

// SetSeeds sets the balancers to which the node also sends its heartbeats when it
// has no home or none answers. A useful node that was not acknowledged yet sends one at the
// next tick.
func (n *Node) SetSeeds(seeds []netip.AddrPort) {
	if n.lastAck.IsZero() && n.isUseful() {
		n.lastHeartbeat = time.Time{}
	}
	n.seeds = slices.DeleteFunc(slices.Clone(seeds), func(a netip.AddrPort) bool { return a == n.self.Address })
}

// SetRevision sets the revision and the operators' version of the configuration in
// force at this node. The node sends a heartbeat at the next tick and pushes the
// revision as often as a changed record.
func (n *Node) SetRevision(revision, operators uint64) {
	n.revision, n.operators = revision, operators
	n.revisionPushes = n.pushesPerRecord()
	n.lastHeartbeat = time.Time{}
}

// ObserveEra records an era of the store and returns the latest one heard of here. A new
// one is pushed like a new revision.
func (n *Node) ObserveEra(era uint64) uint64 {
	if era > n.era {
		n.era = era
		n.revisionPushes = n.pushesPerRecord()
	}
	return n.era
}

// SetUnsettled sets whether the configuration in force is unsettled; see
// Message.Unsettled.
func (n *Node) SetUnsettled(unsettled bool) {
	n.unsettled = unsettled
}

// SetWeight sets the node's weight; see roster.Member. If that changes it, the
// node sends a heartbeat at the next tick.
func (n *Node) SetWeight(weight uint8) {
	if n.self.Weight == weight {
		return
	}
	n.self.Weight = weight
	n.lastHeartbeat = time.Time{}
}

// SetNoFlows sets whether the node is an agent without flows. If that changes it,
// the node sends a heartbeat at the next tick.
func (n *Node) SetNoFlows(noFlows bool) {
	if n.self.NoFlows == noFlows {
		return
	}
	n.self.NoFlows = noFlows
	n.lastHeartbeat = time.Time{}
}

// AnnounceLeaving announces that the node accepts no new flows from now on.
func (n *Node) AnnounceLeaving() {
	n.self.State = roster.Leaving
	n.lastHeartbeat = time.Time{}
	n.publishSelf()
}

// AnnounceExit announces that the process is about to exit.
func (n *Node) AnnounceExit() {
	n.self.State = roster.Dead
	n.lastHeartbeat = time.Time{}
	n.publishSelf()
}

// AnnounceReturn revokes AnnounceLeaving.
func (n *Node) AnnounceReturn() {
	n.self.State = roster.Alive
	n.lastHeartbeat = time.Time{}
	n.publishSelf()
}
