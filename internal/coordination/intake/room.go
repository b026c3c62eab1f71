package intake

import "time"

const (
	// defaultLinkShare is the share of the link's rate that callers' packets may use.
	defaultLinkShare = 0.8

	// objectiveShare is the share of a route's objective within which the bytes ahead of
	// a new transfer, and its own, must pass the link. The rest is for the handshake, the
	// upstream and transfers that are larger than the mean.
	objectiveShare = 0.5

	// defaultObjective is assumed for a route without an objective.
	defaultObjective = time.Second

	// maxQueueDelay is the time within which all packets in flight must pass the link:
	// half of the 200 ms after which callers retransmit. A small request passes the queue
	// twice, once to open its flow.
	maxQueueDelay = 100 * time.Millisecond

	// window is the most that a caller has in flight on a flow, in bytes on the link.
	window = 16 * fullPacket

	// spareShare is the share of the room that callers beyond their fair share may use.
	spareShare = 0.5
)

// hasRoom reports whether a transfer of a heavy route can end within the route's
// objective, and charges it to its caller.
func (c *Control) hasRoom(now time.Time, caller [4]byte, s *routeState) bool {
	own := s.expected()
	ahead, inFlight, rate := 0.0, 0.0, c.linkShare*float64(c.linkRate)
	for _, r := range c.routes {
		if r.isHeavy() && r.priority > s.priority {
			continue // less urgent
		}
		rate -= r.other.rate(now)
		if r.isHeavy() {
			ahead += r.outstanding
			inFlight += float64(r.unfinished) * r.inFlight()
		}
	}
	rate = max(rate, 0)

	account := c.account(now, s.priority, caller)
	withinShare := !now.Before(account.nextAt)
	room := 1.0
	if !withinShare {
		room = spareShare
	}
	objective := s.objective
	if objective == 0 {
		objective = defaultObjective
	}
	fits := ahead+own <= room*objectiveShare*objective.Seconds()*rate &&
		inFlight+s.inFlight() <= room*maxQueueDelay.Seconds()*rate
	if !fits && (inFlight > 0 || !withinShare) {
		return false
	}
	if withinShare && rate > 0 {
		account.charge(now, own, rate/float64(c.callers[s.priority].Len()))
	}
	return true
}

// inFlight returns the bytes that an unfinished transfer may have in flight.
func (s *routeState) inFlight() float64 {
	return min(window, s.expected())
}
