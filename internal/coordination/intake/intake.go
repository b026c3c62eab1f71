// Package intake decides which new flows a balancer takes on a narrow link. Callers
// upload files in bursts, several times more than the link carries, beside small urgent
// requests: if all uploads were taken, the queue at the link would exceed the time after
// which callers retransmit, and every request on the VM would be late. The package does
// no I/O.
package intake

import (
	"time"

	"github.com/coriandershift/coriandershift/internal/state/config"
	"github.com/coriandershift/coriandershift/internal/state/flow"
)

const (
	// maxTransfers limits the transfers that are kept, of about 100 bytes each. Others
	// count as other traffic.
	maxTransfers = 8192

	// silenceLimit is the time without a packet after which a transfer does not count any
	// more: a caller has retransmitted its data twice by then, after 200 and 600 ms, or the
	// fabric delivers its packets to another balancer.
	silenceLimit = 900 * time.Millisecond

	// sweepInterval is the time between two removals of silent transfers.
	sweepInterval = 100 * time.Millisecond
)

// Control decides for one balancer whether it takes a new flow. A nil Control takes all.
// It is not safe for concurrent use.
type Control struct {
	linkRate  int // in bytes per second, above 0
	linkShare float64

	transfers map[flow.Key]*transfer
	routes    map[flow.Endpoint]*routeState
	classes   map[int]*class // by priority
	waiting   []*waitingFlow // by priority, then by arrival
	lastSweep time.Time
}

// New returns a Control for a link of a rate in bytes per second, or nil, which takes
// all flows, if the rate is not known.
func New(linkRate int, options ...Option) *Control {
	if linkRate <= 0 {
		return nil
	}
	c := &Control{
		linkRate:  linkRate,
		linkShare: defaultLinkShare,
		transfers: map[flow.Key]*transfer{},
		routes:    map[flow.Endpoint]*routeState{},
		classes:   map[int]*class{},
	}
	for _, apply := range options {
		apply(c)
	}
	return c
}

// Option configures a new Control.
type Option func(*Control)

// WithLinkShare sets the share of the link's rate that callers' packets may use, above 0
// and at most 1. The rest is left for the system's own messages.
func WithLinkShare(share float64) Option {
	return func(c *Control) { c.linkShare = share }
}

// Admit decides on the new flow of an opening packet, which must be the first copy of one
// that was not placed anywhere.
func (c *Control) Admit(now time.Time, p *flow.Packet, route *config.Route) Verdict {
	if c == nil {
		return Take
	}
	c.sweep(now)
	s := c.state(p.Destination, route)
	key := p.KeyFromCaller()
	var verdict Verdict
	if s.isHeavy() {
		verdict = c.decide(now, key, p.Sequence, s)
	} else {
		verdict = Take
		c.begin(now, key, p.Sequence, s, nil)
	}
	if verdict != Refuse {
		s.other.add(now, packetSize(p))
	}
	return verdict
}

// IsHeavy reports whether Admit may let new flows of the route of an address wait, or refuse them.
func (c *Control) IsHeavy(address flow.Endpoint) bool {
	if c == nil {
		return false
	}
	s := c.routes[address]
	return s != nil && s.isHeavy()
}

// begin counts the transfer of a new flow, whose opening packet has the number sequence.
func (c *Control) begin(now time.Time, key flow.Key, sequence uint32, s *routeState, a *account) {
	if len(c.transfers) >= maxTransfers {
		return
	}
	c.Forget(key)
	t := newTransfer(s, a, true)
	t.lastPacket, t.openingSequence = now, sequence
	c.transfers[key] = t
}

// Observe records a packet of a caller that the balancer forwards, unless Admit has.
func (c *Control) Observe(now time.Time, p *flow.Packet, route *config.Route) {
	if c == nil {
		return
	}
	c.sweep(now)
	s := c.state(p.Destination, route)
	size := packetSize(p)
	key := p.KeyFromCaller()
	t := c.transfers[key]
	if t != nil && t.finished && p.IsOpening() && p.Sequence != t.openingSequence {
		c.Forget(key) // another flow from the same port
		t = nil
	}
	if t == nil {
		if !p.IsOpening() && p.DataLength == 0 || p.Reset || len(c.transfers) >= maxTransfers {
			s.other.add(now, size)
			return
		}
		t = newTransfer(s, nil, p.IsOpening())
		if p.IsOpening() {
			t.openingSequence = p.Sequence
		}
		c.transfers[key] = t
	}
	t.lastPacket = now
	if isNew := t.observe(p, size); isNew && s.isHeavy() {
		size = 0
	}
	s.other.add(now, size)
}

// Forget ends the transfer of a flow that does not exist any more. It must not be waiting.
func (c *Control) Forget(key flow.Key) {
	if c == nil {
		return
	}
	if t := c.transfers[key]; t != nil {
		t.stop()
		delete(c.transfers, key)
	}
}

// OutstandingBytes returns, for each priority of the routes that flows had, how many bytes
// of unfinished transfers of heavy routes are still expected.
func (c *Control) OutstandingBytes() map[int]float64 {
	if c == nil {
		return nil
	}
	outstanding := map[int]float64{}
	for _, s := range c.routes {
		outstanding[s.priority] += 0
		if s.isHeavy() {
			outstanding[s.priority] += s.outstanding
		}
	}
	return outstanding
}

// sweep removes silent transfers, at most once per sweepInterval.
func (c *Control) sweep(now time.Time) {
	if now.Sub(c.lastSweep) < sweepInterval {
		return
	}
	c.lastSweep = now
	for key, t := range c.transfers {
		if now.Sub(t.lastPacket) >= silenceLimit {
			c.Forget(key)
		}
	}
	c.evictIdleRoutes(now)
}
