// Package admit decides which requests an upstream gets and when. A cold upstream,
// one that has just started, gets few requests at once; a ramp raises the limit
// step by step. Every request passes through the Controller, so that its count of
// running requests, on which slots, the ramp and draining depend, is exact. It does
// no I/O: its methods take the time as an argument and return the actions to carry
// out.
package admit

import (
	"math/rand/v2"
	"slices"
	"time"
)

// CloseGrace is how long requests are still admitted after StartClosing.
const CloseGrace = 1500 * time.Millisecond

const (
	coldSlowStreak   = 2   // slow or failed answers in a row that mean cold
	meanSampleWeight = 0.1 // of a new service time in meanDuration
	minRetryAfter    = time.Second
	maxRetryAfter    = 30 * time.Second
	minRampRestart   = time.Second // shortest time between restarts of the ramp at ColdSlots
)

// Controller admits the requests of one upstream. It is not safe for concurrent use.
type Controller struct {
	limits       Limits
	random       *rand.Rand
	slotLimit    int       // ColdSlots to Slots
	coldSince    time.Time // start of the ramp: when the upstream was last marked cold
	running      map[uint64]runningRequest
	feeds        map[uint64]bool
	queue        []Request
	closingSince time.Time // zero unless closing

	baselines    map[string]*baseline
	meanDuration time.Duration // service time over all classes
	slowStreak   int           // slow or failed answers in a row
	healthyCount int           // healthy answers since the last slow or failed one, restart of the ramp or added slot
}

type runningRequest struct {
	started time.Time
	class   string
}

// New returns a Controller for a cold upstream.
func New(limits Limits, random *rand.Rand, now time.Time) *Controller {
	return &Controller{
		limits:    limits,
		random:    random,
		slotLimit: limits.ColdSlots,
		coldSince: now,
		running:   map[uint64]runningRequest{},
		feeds:     map[uint64]bool{},

		baselines: map[string]*baseline{},
	}
}

// Arrive submits a request for admission. The returned actions may concern other requests too.
func (c *Controller) Arrive(now time.Time, r Request) []Action {
	if c.closed(now) {
		return []Action{c.refuse(r, Leaving)}
	}

	if r.Feed {
		return []Action{c.admitFeed(r)}
	}

	c.detectOverdue(now)
	if len(c.running) < c.Limit() && len(c.queue) == 0 {
		return []Action{c.start(now, r)}
	}
	return c.enqueue(now, r)
}

// Finish records the end of a started request.
func (c *Controller) Finish(now time.Time, id uint64, o Outcome) []Action {
	if c.feeds[id] {
		delete(c.feeds, id)
		return nil
	}

	r, ok := c.running[id]
	if !ok {
		return nil
	}
	delete(c.running, id)

	c.recordOutcome(now, c.baselineOf(r.class), o)
	return c.advance(now)
}

// Cancel removes a waiting request. One that has started must be ended by Finish.
func (c *Controller) Cancel(id uint64) {
	c.queue = slices.DeleteFunc(c.queue, func(r Request) bool { return r.ID == id })
}

// Tick advances the ramp, starts waiting requests and refuses those whose deadline can no longer be met.
func (c *Controller) Tick(now time.Time) []Action {
	return c.advance(now)
}

// StartClosing begins a graceful close. Requests are still admitted for CloseGrace,
// as some are already on their way; after that, waiting and new requests are
// refused. Started requests go on.
func (c *Controller) StartClosing(now time.Time) {
	if c.closingSince.IsZero() {
		c.closingSince = now
	}
}

// Reopen admits requests again after StartClosing and marks the upstream cold.
func (c *Controller) Reopen(now time.Time) {
	if c.closingSince.IsZero() {
		return
	}
	c.closingSince = time.Time{}
	c.MarkCold(now)
}

// MarkCold restarts the ramp: it lowers the limit to ColdSlots.
func (c *Controller) MarkCold(now time.Time) {
	c.slotLimit = c.limits.ColdSlots
	c.coldSince = now
	c.healthyCount = 0
	c.slowStreak = 0
}

// SetLimits replaces the limits. Running requests go on; lower limits apply to those that start later.
func (c *Controller) SetLimits(limits Limits) {
	warm := c.slotLimit >= c.limits.Slots
	c.limits = limits
	if warm {
		c.slotLimit = limits.Slots
	}
	c.slotLimit = max(limits.ColdSlots, min(c.slotLimit, limits.Slots))
}

// Limit returns how many requests may run at once now. After a slow or failed
// answer it is ColdSlots until a later answer shows whether the upstream is cold.
func (c *Controller) Limit() int {
	if c.slowStreak > 0 {
		return c.limits.ColdSlots
	}
	return c.slotLimit
}

// RunningCount returns the number of running requests, without feeds.
func (c *Controller) RunningCount() int {
	return len(c.running)
}

// OpenCount returns the number of running and waiting requests, including feeds.
func (c *Controller) OpenCount() int {
	return len(c.running) + len(c.feeds) + len(c.queue)
}

// WaitingCount returns the number of waiting requests.
func (c *Controller) WaitingCount() int {
	return len(c.queue)
}

func (c *Controller) admitFeed(r Request) Action {
	if len(c.feeds) >= c.limits.Feeds {
		return c.refuse(r, FeedLimit)
	}
	c.feeds[r.ID] = true
	return Action{ID: r.ID, Verdict: Start}
}

func (c *Controller) enqueue(now time.Time, r Request) []Action {
	index, _ := slices.BinarySearchFunc(c.queue, r.Priority, func(q Request, priority int) int {
		if q.Priority <= priority {
			return -1 // behind waiting requests of the same priority
		}
		return 1
	})

	if now.Add(c.estimateWait(index) + c.expectedDuration(r.Class)).After(r.Deadline) {
		return []Action{c.refuse(r, DeadlineMissed)}
	}

	c.queue = slices.Insert(c.queue, index, r)
	if len(c.queue) <= c.limits.Queue {
		return c.advance(now)
	}

	last := c.queue[len(c.queue)-1]
	c.queue = c.queue[:len(c.queue)-1]
	reason := Evicted
	if last.ID == r.ID {
		reason = QueueFull
	}
	return []Action{c.refuse(last, reason)}
}

func (c *Controller) closed(now time.Time) bool {
	return !c.closingSince.IsZero() && now.Sub(c.closingSince) >= CloseGrace
}

func (c *Controller) advance(now time.Time) []Action {
	c.detectOverdue(now)
	c.raiseLimit(now)
	if c.closed(now) {
		return c.refuseWaiting(Leaving)
	}

	var actions []Action
	actions, c.queue = c.dropExpired(now)
	for len(c.queue) > 0 && len(c.running) < c.Limit() {
		next := c.queue[0]
		c.queue = c.queue[1:]
		actions = append(actions, c.start(now, next))
	}
	return actions
}

func (c *Controller) refuseWaiting(reason Reason) []Action {
	var actions []Action
	for _, r := range c.queue {
		actions = append(actions, c.refuse(r, reason))
	}
	c.queue = nil
	return actions
}

func (c *Controller) dropExpired(now time.Time) ([]Action, []Request) {
	var actions []Action
	kept := c.queue[:0:0]
	for _, r := range c.queue {
		if now.Add(c.expectedDuration(r.Class)).After(r.Deadline) {
			actions = append(actions, c.refuse(r, DeadlineMissed))
			continue
		}
		kept = append(kept, r)
	}
	return actions, kept
}

func (c *Controller) start(now time.Time, r Request) Action {
	c.running[r.ID] = runningRequest{started: now, class: r.Class}
	return Action{ID: r.ID, Verdict: Start}
}

func (c *Controller) refuse(r Request, reason Reason) Action {
	base := c.estimateWait(len(c.queue))
	base = max(minRetryAfter, min(base, maxRetryAfter/2))
	jitter := time.Duration(c.random.Int64N(int64(base)))
	return Action{ID: r.ID, Verdict: Refuse, Reason: reason, RetryAfter: base + jitter}
}

// estimateWait estimates how long the request at an index of the queue waits for a slot.
func (c *Controller) estimateWait(index int) time.Duration {
	return c.meanDuration * time.Duration(index) / time.Duration(c.slotLimit)
}
