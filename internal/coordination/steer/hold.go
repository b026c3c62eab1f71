package steer

import (
	"slices"
	"time"

	"github.com/coriandershift/coriandershift/internal/state/flow"
)

const (
	// holdFor is how long after its start a balancer keeps packets that it cannot
	// route yet: it knows the configuration and the agents within 0.3 s, and
	// callers repeat an opening packet after 0.2 and 0.6 s.
	holdFor = 500 * time.Millisecond

	// maxHeld bounds them; a packet has up to 1.3 KB.
	maxHeld = 512
)

// held is a packet that waits until it can be routed.
type held struct {
	key    flow.Key
	packet flow.Packet
}

// hold keeps a packet that came to a balancer which has just started: the fabric
// notices a short end only after two missed probes. It reports whether it did.
func (s *Router) hold(now time.Time, key flow.Key, p *flow.Packet) bool {
	if s.settled || now.Sub(s.started) >= holdFor || len(s.held) >= maxHeld {
		return false
	}
	kept := *p
	kept.Raw = slices.Clone(p.Raw)
	s.held = append(s.held, held{key: key, packet: kept})
	s.out = append(s.out, Action{Kind: Hold, Reason: Starting, Key: key})
	return true
}

// release routes the held packets as soon as it can, or drops them.
func (s *Router) release(now time.Time) {
	if len(s.held) == 0 || (!s.oriented() && now.Sub(s.started) < holdFor) {
		return
	}
	waiting := s.held
	s.held = nil
	for i := range waiting {
		s.fromCaller(now, waiting[i].key, &waiting[i].packet)
	}
}

// oriented reports whether enough is known for placing new flows: were few of the
// agents known, these would get all flows.
func (s *Router) oriented() bool {
	if s.knowsEnough {
		return true
	}
	known := 0
	for _, e := range s.expected {
		if _, balancer := s.balancers[e]; balancer || s.agents[e] != nil {
			known++
		}
	}
	s.knowsEnough = s.settled || (s.cfg.Revision > 0 && s.EligibleAgentCount() > 0 && 2*known >= len(s.expected))
	return s.knowsEnough
}
