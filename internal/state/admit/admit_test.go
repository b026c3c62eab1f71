package admit_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/coriandershift/coriandershift/internal/state/admit"
)

var (
	begin  = time.Unix(1_800_000_000, 0)
	limits = admit.Limits{Slots: 5, ColdSlots: 2, Feeds: 3, Queue: 4, WarmUp: 3 * time.Second}
)

const serviceTime = 5 * time.Millisecond

func newController() *admit.Controller {
	return admit.New(limits, rand.New(rand.NewPCG(1, 1)), begin)
}

// upstream runs started requests one after the other in virtual time.
type upstream struct {
	t          *testing.T
	controller *admit.Controller
	now        time.Time
	lastID     uint64
}

func (u *upstream) arrive(priority int, deadline time.Duration) (uint64, []admit.Action) {
	u.lastID++
	r := admit.Request{ID: u.lastID, Priority: priority, Deadline: u.now.Add(deadline)}
	return u.lastID, u.controller.Arrive(u.now, r)
}

// serve runs count requests one by one, each for the given service time.
func (u *upstream) serve(count int, service time.Duration) {
	u.t.Helper()
	for range count {
		id, actions := u.arrive(1, time.Second)
		if len(actions) != 1 || actions[0].Verdict != admit.Start {
			u.t.Fatalf("request did not start: %v", actions)
		}
		u.now = u.now.Add(service)
		u.controller.Finish(u.now, id, admit.Outcome{ServiceDuration: service})
	}
}

// warm returns an upstream whose controller has reached its full limit.
func warm(t *testing.T) *upstream {
	u := &upstream{t: t, controller: newController(), now: begin}
	u.now = u.now.Add(limits.WarmUp)
	u.serve(30, serviceTime)
	if u.controller.Limit() != limits.Slots {
		t.Fatalf("limit is %d after the warm-up, want %d", u.controller.Limit(), limits.Slots)
	}
	return u
}

func TestColdUpstreamIsHeldToItsLimit(t *testing.T) {
	u := &upstream{t: t, controller: newController(), now: begin}
	for u.now.Before(begin.Add(limits.WarmUp - serviceTime)) {
		u.serve(1, serviceTime)
		if u.controller.Limit() != limits.ColdSlots {
			t.Fatalf("limit is %d at %s, want %d", u.controller.Limit(), u.now.Sub(begin), limits.ColdSlots)
		}
	}
}

func TestUnannouncedColdStartLowersTheLimit(t *testing.T) {
	tests := map[string]func(*upstream){
		"two slow answers": func(u *upstream) { u.serve(2, 10*serviceTime) },
		"two failures": func(u *upstream) {
			for range 2 {
				id, _ := u.arrive(1, time.Second)
				u.controller.Finish(u.now, id, admit.Outcome{ServiceDuration: serviceTime, Failed: true})
			}
		},
		"short requests five times as slow": func(u *upstream) { u.serve(2, 5*serviceTime) },
		"one refusal": func(u *upstream) {
			id, _ := u.arrive(1, time.Second)
			u.controller.Finish(u.now, id, admit.Outcome{Cold: true})
		},
		"two requests that hang": func(u *upstream) {
			u.arrive(1, time.Minute)
			u.arrive(1, time.Minute)
			u.now = u.now.Add(10 * serviceTime)
			u.controller.Tick(u.now)
		},
	}
	for name, trigger := range tests {
		t.Run(name, func(t *testing.T) {
			u := warm(t)
			trigger(u)
			if u.controller.Limit() != limits.ColdSlots {
				t.Errorf("limit is %d, want %d", u.controller.Limit(), limits.ColdSlots)
			}
		})
	}
}

func TestOneSlowAnswerDoesNotRestartTheRamp(t *testing.T) {
	u := warm(t)
	u.serve(1, 10*serviceTime)
	u.serve(5, serviceTime)
	if u.controller.Limit() != limits.Slots {
		t.Errorf("limit is %d, want %d", u.controller.Limit(), limits.Slots)
	}
}

func TestOneSlowAnswerLowersTheLimitUntilTheNext(t *testing.T) {
	u := warm(t)
	u.serve(1, 10*serviceTime)
	if u.controller.Limit() != limits.ColdSlots {
		t.Errorf("limit is %d right after a slow answer, want %d", u.controller.Limit(), limits.ColdSlots)
	}
	u.serve(1, serviceTime)
	if u.controller.Limit() != limits.Slots {
		t.Errorf("limit is %d after the next one, want %d", u.controller.Limit(), limits.Slots)
	}
}

func TestClassesHaveTheirOwnServiceTimes(t *testing.T) {
	u := warm(t)
	for range 20 {
		u.lastID++
		u.controller.Arrive(u.now, admit.Request{ID: u.lastID, Class: "report", Deadline: u.now.Add(time.Minute)})
		u.now = u.now.Add(100 * serviceTime)
		u.controller.Finish(u.now, u.lastID, admit.Outcome{ServiceDuration: 100 * serviceTime})
		u.serve(1, serviceTime)
	}
	if u.controller.Limit() != limits.Slots {
		t.Errorf("limit is %d with a class that is slow by nature, want %d", u.controller.Limit(), limits.Slots)
	}
}

func TestBusyMomentDoesNotHideAColdStart(t *testing.T) {
	u := warm(t)
	for range 20 {
		u.serve(1, 2*serviceTime)
		u.serve(2, serviceTime)
	}
	u.serve(2, 5*serviceTime)
	if u.controller.Limit() != limits.ColdSlots {
		t.Errorf("limit is %d, want %d", u.controller.Limit(), limits.ColdSlots)
	}
}

func TestQueueServesTheHighestPriorityFirst(t *testing.T) {
	u := warm(t)
	var running []uint64
	for range limits.Slots {
		id, _ := u.arrive(1, time.Second)
		running = append(running, id)
	}
	for range limits.Queue {
		u.arrive(3, time.Second)
	}

	first, actions := u.arrive(1, time.Second)
	if len(actions) != 1 || actions[0].Verdict != admit.Refuse || actions[0].Reason != admit.Evicted || actions[0].ID == first {
		t.Fatalf("a full queue did not make room for the highest priority: %v", actions)
	}
	if actions[0].RetryAfter <= 0 {
		t.Error("the refusal has no RetryAfter")
	}
	actions = u.controller.Finish(u.now, running[0], admit.Outcome{ServiceDuration: serviceTime})
	if len(actions) != 1 || actions[0].ID != first || actions[0].Verdict != admit.Start {
		t.Errorf("the highest priority did not start next: %v", actions)
	}
	if _, actions = u.arrive(3, time.Second); len(actions) != 0 {
		t.Fatalf("a request was refused although the queue has room: %v", actions)
	}
	if _, actions = u.arrive(3, time.Second); len(actions) != 1 || actions[0].Reason != admit.QueueFull {
		t.Errorf("got %v from a full queue, want a refusal as QueueFull", actions)
	}
}

func TestRequestsThatMissTheirDeadlineAreRefusedAtOnce(t *testing.T) {
	u := warm(t)
	for range limits.Slots {
		u.arrive(1, time.Second)
	}
	_, actions := u.arrive(1, serviceTime/2)
	if len(actions) != 1 || actions[0].Reason != admit.DeadlineMissed {
		t.Errorf("got %v, want a refusal as DeadlineMissed", actions)
	}
}

func TestRetryAfterIsSpread(t *testing.T) {
	u := warm(t)
	u.controller.StartClosing(u.now)
	u.now = u.now.Add(admit.CloseGrace)
	seen := map[time.Duration]bool{}
	for range 50 {
		_, actions := u.arrive(1, time.Second)
		seen[actions[0].RetryAfter] = true
	}
	if len(seen) < 40 {
		t.Errorf("50 refusals have only %d different RetryAfter times", len(seen))
	}
}

func TestNewRequestsAreRefusedAfterCloseGrace(t *testing.T) {
	u := warm(t)
	u.controller.StartClosing(u.now)
	u.serve(1, serviceTime)
	u.now = u.now.Add(admit.CloseGrace)
	if _, actions := u.arrive(1, time.Second); len(actions) != 1 || actions[0].Reason != admit.Leaving {
		t.Errorf("got %v, want a refusal as Leaving", actions)
	}
	u.controller.Reopen(u.now)
	if u.controller.Limit() != limits.ColdSlots {
		t.Errorf("limit is %d after Reopen, want %d", u.controller.Limit(), limits.ColdSlots)
	}
}

// TestLimitsHoldForAnySequenceOfCalls checks a random sequence of calls: never more
// requests run than there are slots, never more wait than the queue holds, and each
// request gets exactly one verdict.
func TestLimitsHoldForAnySequenceOfCalls(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := admit.New(limits, rand.New(rand.NewPCG(1, 1)), begin)
		now := begin
		var lastID uint64
		var running []uint64
		waiting := map[uint64]bool{}

		record := func(actions []admit.Action) {
			for _, a := range actions {
				if !waiting[a.ID] {
					t.Fatalf("verdict for a request that does not wait for one: %+v", a)
				}
				delete(waiting, a.ID)
				if a.Verdict == admit.Start {
					running = append(running, a.ID)
				}
			}
		}

		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "ms")) * time.Millisecond)
			switch rapid.SampledFrom([]string{"arrive", "arrive", "finish", "cancel", "tick", "mark cold", "start closing", "reopen"}).Draw(t, "event") {
			case "arrive":
				lastID++
				waiting[lastID] = true
				record(c.Arrive(now, admit.Request{
					ID:       lastID,
					Priority: rapid.IntRange(1, 3).Draw(t, "priority"),
					Feed:     rapid.IntRange(0, 9).Draw(t, "feed") == 0,
					Deadline: now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "left")) * time.Millisecond),
				}))
			case "finish":
				if len(running) > 0 {
					i := rapid.IntRange(0, len(running)-1).Draw(t, "which")
					id := running[i]
					running = slices.Delete(running, i, i+1)
					service := time.Duration(rapid.IntRange(1, 300).Draw(t, "service")) * time.Millisecond
					record(c.Finish(now, id, admit.Outcome{ServiceDuration: service, Cold: rapid.IntRange(0, 9).Draw(t, "cold") == 0}))
				}
			case "cancel":
				for id := range waiting {
					c.Cancel(id)
					delete(waiting, id)
					break
				}
			case "tick":
				record(c.Tick(now))
			case "mark cold":
				c.MarkCold(now)
			case "start closing":
				c.StartClosing(now)
			case "reopen":
				c.Reopen(now)
			}

			if c.RunningCount() > limits.Slots || c.WaitingCount() > limits.Queue || c.WaitingCount() != len(waiting) {
				t.Fatalf("%d running, %d waiting, want %d waiting", c.RunningCount(), c.WaitingCount(), len(waiting))
			}
		}
	})
}
