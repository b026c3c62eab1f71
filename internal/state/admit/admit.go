// Package admit decides which requests an upstream gets and when. It is the only
// way to the upstream, so that slots, the ramp of a cold upstream and draining
// are exact. It does no I/O: callers pass the time in and carry out the actions.
package admit

import (
	"math/rand/v2"
	"slices"
	"time"
)

// CloseGrace is how long after StartClosing requests are still admitted.
const CloseGrace = 1500 * time.Millisecond

const (
	coldSlowStreak   = 2 // slow answers in a row that mean cold
	meanSampleWeight = 0.1
	minRetryAfter    = time.Second
	maxRetryAfter    = 30 * time.Second
	minRampRestart   = time.Second // a sign of cold again within this does not restart the ramp
)

// Controller admits the requests of one upstream. It is not safe for concurrent use.
type Controller struct {
	limits       Limits
	random       *rand.Rand
	slotLimit    int
	coldSince    time.Time // when the upstream was last taken to be cold
	running      map[uint64]runningRequest
	feeds        map[uint64]bool
	queue        []Request
	closingSince time.Time // zero unless leaving

	baselines    map[string]*baseline
	meanDuration time.Duration // of all classes
	slowStreak   int
	healthyCount int
}

type runningRequest struct {
	started time.Time
	class   string
}

// New returns a Controller for an upstream that is cold.
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

// Arrive asks for a request to be admitted. The returned actions may concern other requests too.
func (g *Controller) Arrive(now time.Time, r Request) []Action {
	if g.closed(now) {
		return []Action{g.refuse(r, Leaving)}
	}

	if r.Feed {
		return []Action{g.admitFeed(r)}
	}

	g.detectOverdue(now)
	if len(g.running) < g.Limit() && len(g.queue) == 0 {
		return []Action{g.start(now, r)}
	}
	return g.enqueue(now, r)
}

// Finish tells that a started request ended.
func (g *Controller) Finish(now time.Time, id uint64, o Outcome) []Action {
	if g.feeds[id] {
		delete(g.feeds, id)
		return nil
	}

	r, ok := g.running[id]
	if !ok {
		return nil
	}
	delete(g.running, id)

	g.recordOutcome(now, g.baselineOf(r.class), o)
	return g.advance(now)
}

// Cancel takes back a request that waits. One that has started is left to Finish.
func (g *Controller) Cancel(id uint64) {
	g.queue = slices.DeleteFunc(g.queue, func(r Request) bool { return r.ID == id })
}

// Tick lets the ramp grow and refuses waiting requests whose deadline can no longer be met.
func (g *Controller) Tick(now time.Time) []Action {
	return g.advance(now)
}

// StartClosing starts to close the gate. Requests that are on their way already are
// admitted for CloseGrace; after that what waits and what arrives is refused.
// Started requests go on.
func (g *Controller) StartClosing(now time.Time) {
	if g.closingSince.IsZero() {
		g.closingSince = now
	}
}

// Reopen lets requests in again after StartClosing; the upstream is taken to be cold.
func (g *Controller) Reopen(now time.Time) {
	if g.closingSince.IsZero() {
		return
	}
	g.closingSince = time.Time{}
	g.MarkCold(now)
}

// MarkCold closes the ramp to what a cold upstream bears.
func (g *Controller) MarkCold(now time.Time) {
	g.slotLimit = g.limits.ColdSlots
	g.coldSince = now
	g.healthyCount = 0
	g.slowStreak = 0
}

// SetLimits takes new limits into use. What runs goes on; a lower limit holds for what starts next.
func (g *Controller) SetLimits(limits Limits) {
	warm := g.slotLimit >= g.limits.Slots
	g.limits = limits
	if warm {
		g.slotLimit = limits.Slots
	}
	g.slotLimit = max(limits.ColdSlots, min(g.slotLimit, limits.Slots))
}

// Limit returns how many requests may run at once now. After a slow answer it
// is what a cold upstream bears until the next answer tells more.
func (g *Controller) Limit() int {
	if g.slowStreak > 0 {
		return g.limits.ColdSlots
	}
	return g.slotLimit
}

// RunningCount returns how many requests run, feeds not counted.
func (g *Controller) RunningCount() int {
	return len(g.running)
}

// OpenCount returns how many requests and feeds are with the upstream or wait for it.
func (g *Controller) OpenCount() int {
	return len(g.running) + len(g.feeds) + len(g.queue)
}

// WaitingCount returns how many requests wait.
func (g *Controller) WaitingCount() int {
	return len(g.queue)
}

func (g *Controller) admitFeed(r Request) Action {
	if len(g.feeds) >= g.limits.Feeds {
		return g.refuse(r, FeedLimit)
	}
	g.feeds[r.ID] = true
	return Action{ID: r.ID, Verdict: Start}
}

func (g *Controller) enqueue(now time.Time, r Request) []Action {
	place, _ := slices.BinarySearchFunc(g.queue, r.Priority, func(q Request, priority int) int {
		if q.Priority <= priority {
			return -1
		}
		return 1
	})

	if now.Add(g.estimateWait(place) + g.expectedDuration(r.Class)).After(r.Deadline) {
		return []Action{g.refuse(r, DeadlineMissed)}
	}

	g.queue = slices.Insert(g.queue, place, r)
	if len(g.queue) <= g.limits.Queue {
		return g.advance(now)
	}

	last := g.queue[len(g.queue)-1]
	g.queue = g.queue[:len(g.queue)-1]
	reason := Evicted
	if last.ID == r.ID {
		reason = QueueFull
	}
	return []Action{g.refuse(last, reason)}
}

func (g *Controller) closed(now time.Time) bool {
	return !g.closingSince.IsZero() && now.Sub(g.closingSince) >= CloseGrace
}

func (g *Controller) advance(now time.Time) []Action {
	g.detectOverdue(now)
	g.raiseLimit(now)
	if g.closed(now) {
		return g.refuseWaiting(Leaving)
	}

	var actions []Action
	actions, g.queue = g.dropExpired(now)
	for len(g.queue) > 0 && len(g.running) < g.Limit() {
		next := g.queue[0]
		g.queue = g.queue[1:]
		actions = append(actions, g.start(now, next))
	}
	return actions
}

func (g *Controller) refuseWaiting(reason Reason) []Action {
	var actions []Action
	for _, r := range g.queue {
		actions = append(actions, g.refuse(r, reason))
	}
	g.queue = nil
	return actions
}

func (g *Controller) dropExpired(now time.Time) ([]Action, []Request) {
	var actions []Action
	kept := g.queue[:0:0]
	for _, r := range g.queue {
		if now.Add(g.expectedDuration(r.Class)).After(r.Deadline) {
			actions = append(actions, g.refuse(r, DeadlineMissed))
			continue
		}
		kept = append(kept, r)
	}
	return actions, kept
}

func (g *Controller) start(now time.Time, r Request) Action {
	g.running[r.ID] = runningRequest{started: now, class: r.Class}
	return Action{ID: r.ID, Verdict: Start}
}

func (g *Controller) refuse(r Request, reason Reason) Action {
	base := g.estimateWait(len(g.queue))
	base = max(minRetryAfter, min(base, maxRetryAfter/2))
	spread := time.Duration(g.random.Int64N(int64(base)))
	return Action{ID: r.ID, Verdict: Refuse, Reason: reason, RetryAfter: base + spread}
}

// estimateWait estimates how long a request at a place in the queue waits for a slot.
func (g *Controller) estimateWait(place int) time.Duration {
	return g.meanDuration * time.Duration(place) / time.Duration(g.slotLimit)
}
