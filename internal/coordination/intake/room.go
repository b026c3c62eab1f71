package intake

import (
	"time"

	"github.com/coriandershift/coriandershift/internal/state/flow"
)

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

	// spareShare is the share of the room that callers beyond their fair share may use in
	// contention; half of it if they are more than a transfer beyond.
	spareShare = 0.5
)

// linkLoad is what is ahead of a new transfer on the link, in bytes.
type linkLoad struct {
	rate        float64 // in bytes per second, what other traffic leaves
	outstanding float64
	inFlight    float64 // at most
	waiting     float64 // expected of waiting flows
	unfinished  int     // transfers of the same priority
}

// loadAhead returns what is ahead of a transfer of a priority: what routes of the same or
// a more urgent one have outstanding, and all traffic of light routes.
func (c *Control) loadAhead(now time.Time, priority int) linkLoad {
	l := linkLoad{rate: c.linkShare * float64(c.linkRate)}
	for _, r := range c.routes {
		if r.isHeavy() && r.priority > priority {
			continue
		}
		l.rate -= r.other.rate(now)
		if r.isHeavy() {
			if r.priority == priority {
				l.unfinished += r.unfinished
			}
			l.outstanding += r.outstanding
			l.inFlight += float64(r.unfinished) * r.inFlight()
		}
	}
	l.rate = max(l.rate, 0)
	for _, w := range c.waiting {
		if w.route.priority <= priority {
			l.waiting += w.route.expected()
		}
	}
	return l
}

// hasRoom reports whether a transfer of a route that begins now ends within a share of
// the limits.
func (l *linkLoad) hasRoom(s *routeState, share float64) bool {
	return l.endsInTime(s, l.outstanding, share) && l.inFlight+s.inFlight() <= share*l.rate*maxQueueDelay.Seconds()
}

// hasRoomToWait reports whether a transfer of a route can begin within its
// longest wait and end in time.
func (l *linkLoad) hasRoomToWait(s *routeState) bool {
	return l.endsInTime(s, l.outstanding+l.waiting, 1) && l.waiting+s.expected() <= l.rate*s.maxWait().Seconds()
}

func (l *linkLoad) endsInTime(s *routeState, ahead, share float64) bool {
	return ahead+s.expected() <= share*objectiveShare*s.objectiveOrDefault().Seconds()*l.rate
}

// decide returns what becomes of a caller's new flow of a heavy route.
func (c *Control) decide(now time.Time, key flow.Key, sequence uint32, s *routeState) Verdict {
	l := c.loadAhead(now, s.priority)
	cl := c.class(s.priority)
	a := cl.account(now, key.Caller.IP)
	a.pay(now, l.rate/float64(cl.callers()), s.expected())

	withinShare := a.debt <= 0 && a.unfinished*cl.callers() <= l.unfinished
	share := 1.0
	if !withinShare && now.Sub(cl.contendedAt) < contentionPeriod {
		share = spareShare
		if a.debt > s.expected() {
			share = spareShare / 2
		}
	}

	verdict := Refuse
	switch {
	case l.waiting == 0 && l.hasRoom(s, share):
		verdict = Take
	case l.waiting == 0 && l.inFlight == 0:
		verdict = Take // too large for the link at any time
	case share < 1:
	case len(c.waiting) < maxWaiting && l.hasRoomToWait(s):
		verdict = Wait
		c.enqueue(&waitingFlow{key: key, sequence: sequence, route: s, account: a, due: now.Add(s.maxWait())})
	}
	if verdict == Take {
		c.begin(now, key, sequence, s, a)
	} else if withinShare {
		cl.contendedAt = now
	}
	if verdict != Refuse {
		a.charge(s.expected())
	}
	return verdict
}

// inFlight returns the bytes that an unfinished transfer may have in flight.
func (s *routeState) inFlight() float64 {
	return min(window, s.expected())
}
