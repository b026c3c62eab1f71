package h3agt

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/coriandershift/coriandershift/internal/state/admit"
	"github.com/coriandershift/coriandershift/internal/transport/metric"
)

const gateTick = 50 * time.Millisecond

// admission lets requests wait for the gate's verdict. It is safe for concurrent use.
type admission struct {
	metrics *metric.Set

	mu      sync.Mutex
	gate    *admit.Controller
	limits  admit.Limits
	waiting map[uint64]chan admit.Action
	next    uint64
}

func newAdmission(metrics *metric.Set) *admission {
	return &admission{metrics: metrics, waiting: map[uint64]chan admit.Action{}}
}

// setLimits takes the limits of the service into use.
func (a *admission) setLimits(limits admit.Limits) {
	a.mu.Lock()
	defer a.mu.Unlock()

	a.limits = limits
	if a.gate == nil {
		a.gate = admit.New(limits, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())), time.Now())
		return
	}
	a.gate.SetLimits(limits)
}

// admit waits for the verdict on a request and returns its number for finish.
// It returns the context's error if that ends first; the request has not started then.
func (a *admission) admit(ctx context.Context, r admit.Request) (uint64, admit.Action, error) {
	verdict := make(chan admit.Action, 1)

	a.mu.Lock()
	a.next++
	r.ID = a.next
	a.waiting[r.ID] = verdict
	a.act(a.gate.Arrive(time.Now(), r))
	a.mu.Unlock()

	select {
	case action := <-verdict:
		return r.ID, action, nil
	case <-ctx.Done():
	}

	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.waiting, r.ID)
	select {
	case action := <-verdict:
		if action.Verdict == admit.Start {
			a.act(a.gate.Finish(time.Now(), r.ID, admit.Outcome{Cancelled: true}))
		}
	default:
		a.gate.Cancel(r.ID)
	}
	return r.ID, admit.Action{}, ctx.Err()
}

// finish tells how a started request ended.
func (a *admission) finish(id uint64, o admit.Outcome) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.act(a.gate.Finish(time.Now(), id, o))
}

// markCold closes the ramp to what a cold upstream bears.
func (a *admission) markCold() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.gate != nil {
		a.gate.MarkCold(time.Now())
	}
}

// leave closes the gate to new requests, a short grace later; what runs goes on.
func (a *admission) leave() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.gate != nil {
		a.gate.StartClosing(time.Now())
	}
}

// comeBack lets requests in again.
func (a *admission) comeBack() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.gate != nil {
		a.gate.Reopen(time.Now())
	}
}

// open returns how many requests and feeds have not ended.
func (a *admission) open() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.gate == nil {
		return 0
	}
	return a.gate.OpenCount()
}

// room reports whether a new flow's requests would find a place, and the share
// of the full load that the upstream bears now, 0 to 1.
func (a *admission) room() (bool, float64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.gate == nil {
		return false, 0
	}
	return a.gate.WaitingCount() < max(1, a.limits.Queue), float64(a.gate.Limit()) / float64(a.limits.Slots)
}

// run ticks the gate until the context ends.
func (a *admission) run(ctx context.Context) {
	ticker := time.NewTicker(gateTick)
	defer ticker.Stop()

	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			a.tick()
		}
	}
}

func (a *admission) tick() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.gate == nil {
		return
	}
	a.act(a.gate.Tick(time.Now()))
	a.metrics.SlotLimit.Set(float64(a.gate.Limit()))
	a.metrics.SlotsUsed.Set(float64(a.gate.RunningCount()))
}

// act must be called with the lock held.
func (a *admission) act(actions []admit.Action) {
	for _, action := range actions {
		if verdict, ok := a.waiting[action.ID]; ok {
			verdict <- action
			delete(a.waiting, action.ID)
		}
	}
	if a.gate.RunningCount() > a.limits.Slots {
		a.metrics.InvariantViolations.WithLabelValues("slots").Inc()
	}
}
