package intake

import (
	"slices"
	"time"

	"github.com/coriandershift/coriandershift/internal/state/flow"
)

const (
	// maxWait is the longest time that a new flow waits for room. The opening packet may
	// have waited at the link for about as long before it arrived, and the caller repeats it
	// after 200 ms: the copy might reach another balancer, after which a refusal here could
	// end an attempt that goes on there.
	maxWait = 100 * time.Millisecond

	// maxWaitShare is the share of a route's objective for which its flows wait at most. The
	// limits on the queue at the link leave half of the objective for the rest.
	maxWaitShare = 0.25

	// maxWaiting limits the waiting flows.
	maxWaiting = 256
)

// waitingFlow is a new flow of a heavy route that waits for room.
type waitingFlow struct {
	key      flow.Key
	sequence uint32 // of its opening packet
	route    *routeState
	account  *account  // of its caller, charged
	due      time.Time // when it is refused at the latest
}

// enqueue adds a flow behind those of the same or a more urgent priority.
func (c *Control) enqueue(w *waitingFlow) {
	i := slices.IndexFunc(c.waiting, func(other *waitingFlow) bool { return other.route.priority > w.route.priority })
	if i < 0 {
		i = len(c.waiting)
	}
	c.waiting = slices.Insert(c.waiting, i, w)
}

// Next returns a waiting flow that is taken or refused now, and false if there is none.
// It is to be called again until then.
func (c *Control) Next(now time.Time) (flow.Key, Verdict, bool) {
	if c == nil || len(c.waiting) == 0 {
		return flow.Key{}, Wait, false
	}
	c.sweep(now)
	first := c.waiting[0]
	if l := c.loadAhead(now, first.route.priority); l.inFlight == 0 || l.hasRoom(first.route, 1) {
		c.waiting = slices.Delete(c.waiting, 0, 1)
		c.begin(now, first.key, first.sequence, first.route, first.account)
		return first.key, Take, true
	}
	for i, w := range c.waiting {
		if !now.Before(w.due) {
			c.waiting = slices.Delete(c.waiting, i, i+1)
			w.account.charge(-w.route.expected()) // it did not get what it was charged for
			return w.key, Refuse, true
		}
	}
	return flow.Key{}, Wait, false
}

// NextDue returns when Next is due at the latest, and false if no flow waits.
func (c *Control) NextDue() (time.Time, bool) {
	if c == nil || len(c.waiting) == 0 {
		return time.Time{}, false
	}
	due := c.waiting[0].due
	for _, w := range c.waiting[1:] {
		if w.due.Before(due) {
			due = w.due
		}
	}
	return due, true
}

// maxWait returns the longest time that a new flow of the route waits for room.
func (s *routeState) maxWait() time.Duration {
	return min(maxWait, time.Duration(maxWaitShare*float64(s.objectiveOrDefault())))
}
