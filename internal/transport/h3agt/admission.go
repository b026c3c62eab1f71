package h3agt

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/coriandershift/coriandershift/internal/state/admit"
	"github.com/coriandershift/coriandershift/internal/transport/metric"
)

// admissionTickInterval is how often the admission controller is ticked, see admit.Controller.Tick.
const admissionTickInterval = 50 * time.Millisecond

// admission makes an admit.Controller usable by concurrent requests, each of
// which waits for its own decision. It is safe for concurrent use.
type admission struct {
	metrics *metric.Set

	mu         sync.Mutex
	controller *admit.Controller // nil until setLimits is first called
	limits     admit.Limits
	decisions  map[uint64]chan admit.Action // by ID of the undecided requests; each has room for one action
	lastID     uint64                       // ID of the latest request
}

func newAdmission(metrics *metric.Set) *admission {
	return &admission{metrics: metrics, decisions: map[uint64]chan admit.Action{}}
}

// setLimits applies the limits of the service. The first call creates the controller.
func (a *admission) setLimits(limits admit.Limits) {
	a.mu.Lock()
	defer a.mu.Unlock()

	a.limits = limits
	if a.controller == nil {
		a.controller = admit.New(limits, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())), time.Now())
		return
	}
	a.controller.SetLimits(limits)
}

// admit waits until a request is admitted or refused, and returns its ID, to
// be given to finish, and the decision. If the context ends first, admit
// returns the context's error and the request must not start. setLimits must
// have been called before.
func (a *admission) admit(ctx context.Context, r admit.Request) (uint64, admit.Action, error) {
	decision := make(chan admit.Action, 1)

	a.mu.Lock()
	a.lastID++
	r.ID = a.lastID
	a.decisions[r.ID] = decision
	a.deliver(a.controller.Arrive(time.Now(), r))
	a.mu.Unlock()

	select {
	case action := <-decision:
		return r.ID, action, nil
	case <-ctx.Done():
	}

	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.decisions, r.ID)
	select {
	case action := <-decision:
		if action.Verdict == admit.Start {
			a.deliver(a.controller.Finish(time.Now(), r.ID, admit.Outcome{Cancelled: true}))
		}
	default:
		a.controller.Cancel(r.ID)
	}
	return r.ID, admit.Action{}, ctx.Err()
}

// finish records how a started request ended.
func (a *admission) finish(id uint64, o admit.Outcome) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.deliver(a.controller.Finish(time.Now(), id, o))
}

// markCold lowers the limit of requests that run at once to limits.ColdSlots.
func (a *admission) markCold() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.controller != nil {
		a.controller.MarkCold(time.Now())
	}
}

// startClosing has new requests refused after admit.CloseGrace. Started requests go on.
func (a *admission) startClosing() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.controller != nil {
		a.controller.StartClosing(time.Now())
	}
}

// reopen has requests admitted again after startClosing.
func (a *admission) reopen() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.controller != nil {
		a.controller.Reopen(time.Now())
	}
}

// openCount returns the number of requests and feeds that wait or run.
func (a *admission) openCount() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.controller == nil {
		return 0
	}
	return a.controller.OpenCount()
}

// capacity reports whether the queue has room for the requests of a new flow,
// and how much load the upstream can take now, as a fraction of its slots, 0 to 1.
func (a *admission) capacity() (bool, float64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.controller == nil {
		return false, 0
	}
	return a.controller.WaitingCount() < max(1, a.limits.Queue), float64(a.controller.Limit()) / float64(a.limits.Slots)
}

// run ticks the controller until the context ends.
func (a *admission) run(ctx context.Context) {
	ticker := time.NewTicker(admissionTickInterval)
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
	if a.controller == nil {
		return
	}
	a.deliver(a.controller.Tick(time.Now()))
	a.metrics.SlotLimit.Set(float64(a.controller.Limit()))
	a.metrics.SlotsUsed.Set(float64(a.controller.RunningCount()))
}

// deliver sends each decision to the request that waits for it, and counts an
// invariant violation if more requests run than there are slots. It must be
// called with the lock held.
func (a *admission) deliver(actions []admit.Action) {
	for _, action := range actions {
		if decision, ok := a.decisions[action.ID]; ok {
			decision <- action
			delete(a.decisions, action.ID)
		}
	}
	if a.controller.RunningCount() > a.limits.Slots {
		a.metrics.InvariantViolations.WithLabelValues("slots").Inc()
	}
}
