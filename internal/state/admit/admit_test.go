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

const work = 5 * time.Millisecond

func newGate() *admit.Controller {
	return admit.New(limits, rand.New(rand.NewPCG(1, 1)), begin)
}

// upstream runs started requests one after the other in virtual time.
type upstream struct {
	t    *testing.T
	gate *admit.Controller
	now  time.Time
	next uint64
}

func (u *upstream) arrive(priority int, deadline time.Duration) (uint64, []admit.Action) {
	u.next++
	r := admit.Request{ID: u.next, Priority: priority, Deadline: u.now.Add(deadline)}
	return u.next, u.gate.Arrive(u.now, r)
}

// serve lets requests run one by one, each with a service time.
func (u *upstream) serve(count int, service time.Duration) {
	u.t.Helper()
	for range count {
		id, actions := u.arrive(1, time.Second)
		if len(actions) != 1 || actions[0].Verdict != admit.Start {
			u.t.Fatalf("request did not start: %v", actions)
		}
		u.now = u.now.Add(service)
		u.gate.Finish(u.now, id, admit.Outcome{ServiceDuration: service})
	}
}

// warm brings the gate to its full limit.
func warm(t *testing.T) *upstream {
	u := &upstream{t: t, gate: newGate(), now: begin}
	u.now = u.now.Add(limits.WarmUp)
	u.serve(30, work)
	if u.gate.Limit() != limits.Slots {
		t.Fatalf("limit is %d after the cold time, want %d", u.gate.Limit(), limits.Slots)
	}
	return u
}

func TestColdUpstreamIsHeldToItsLimit(t *testing.T) {
	u := &upstream{t: t, gate: newGate(), now: begin}
	for u.now.Before(begin.Add(limits.WarmUp - work)) {
		u.serve(1, work)
		if u.gate.Limit() != limits.ColdSlots {
			t.Fatalf("limit is %d at %s, want %d", u.gate.Limit(), u.now.Sub(begin), limits.ColdSlots)
		}
	}
}

func TestUnannouncedColdStartClosesTheGate(t *testing.T) {
	tests := map[string]func(*upstream){
		"two slow answers": func(u *upstream) { u.serve(2, 10*work) },
		"two failures": func(u *upstream) {
			for range 2 {
				id, _ := u.arrive(1, time.Second)
				u.gate.Finish(u.now, id, admit.Outcome{ServiceDuration: work, Failed: true})
			}
		},
		"short requests five times as slow": func(u *upstream) { u.serve(2, 5*work) },
		"one refusal": func(u *upstream) {
			id, _ := u.arrive(1, time.Second)
			u.gate.Finish(u.now, id, admit.Outcome{Cold: true})
		},
		"two requests that hang": func(u *upstream) {
			u.arrive(1, time.Minute)
			u.arrive(1, time.Minute)
			u.now = u.now.Add(10 * work)
			u.gate.Tick(u.now)
		},
	}
	for name, happen := range tests {
		t.Run(name, func(t *testing.T) {
			u := warm(t)
			happen(u)
			if u.gate.Limit() != limits.ColdSlots {
				t.Errorf("limit is %d, want %d", u.gate.Limit(), limits.ColdSlots)
			}
		})
	}
}

func TestOneSlowAnswerDoesNotCloseTheGate(t *testing.T) {
	u := warm(t)
	u.serve(1, 10*work)
	u.serve(5, work)
	if u.gate.Limit() != limits.Slots {
		t.Errorf("limit is %d, want %d", u.gate.Limit(), limits.Slots)
	}
}

func TestOneSlowAnswerHoldsTheGateUntilTheNext(t *testing.T) {
	u := warm(t)
	u.serve(1, 10*work)
	if u.gate.Limit() != limits.ColdSlots {
		t.Errorf("limit is %d right after a slow answer, want %d", u.gate.Limit(), limits.ColdSlots)
	}
	u.serve(1, work)
	if u.gate.Limit() != limits.Slots {
		t.Errorf("limit is %d after the next one, want %d", u.gate.Limit(), limits.Slots)
	}
}

func TestClassesHaveTheirOwnServiceTimes(t *testing.T) {
	u := warm(t)
	for range 20 {
		u.next++
		u.gate.Arrive(u.now, admit.Request{ID: u.next, Class: "report", Deadline: u.now.Add(time.Minute)})
		u.now = u.now.Add(100 * work)
		u.gate.Finish(u.now, u.next, admit.Outcome{ServiceDuration: 100 * work})
		u.serve(1, work)
	}
	if u.gate.Limit() != limits.Slots {
		t.Errorf("limit is %d with a class that is slow by nature, want %d", u.gate.Limit(), limits.Slots)
	}
}

func TestBusyMomentDoesNotHideAColdStart(t *testing.T) {
	u := warm(t)
	for range 20 {
		u.serve(1, 2*work)
		u.serve(2, work)
	}
	u.serve(2, 5*work)
	if u.gate.Limit() != limits.ColdSlots {
		t.Errorf("limit is %d, want %d", u.gate.Limit(), limits.ColdSlots)
	}
}

func TestQueueKeepsTheFirstClassFirst(t *testing.T) {
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
		t.Fatalf("a full queue did not make room for the first class: %v", actions)
	}
	if actions[0].RetryAfter <= 0 {
		t.Error("the refusal does not say when to come back")
	}
	actions = u.gate.Finish(u.now, running[0], admit.Outcome{ServiceDuration: work})
	if len(actions) != 1 || actions[0].ID != first || actions[0].Verdict != admit.Start {
		t.Errorf("the first class did not start next: %v", actions)
	}
	if _, actions = u.arrive(3, time.Second); len(actions) != 0 {
		t.Fatalf("the last place in the queue was not given: %v", actions)
	}
	if _, actions = u.arrive(3, time.Second); len(actions) != 1 || actions[0].Reason != admit.QueueFull {
		t.Errorf("a full queue took one more: %v", actions)
	}
}

func TestHopelessRequestsAreRefusedAtOnce(t *testing.T) {
	u := warm(t)
	for range limits.Slots {
		u.arrive(1, time.Second)
	}
	_, actions := u.arrive(1, work/2)
	if len(actions) != 1 || actions[0].Reason != admit.DeadlineMissed {
		t.Errorf("got %v, want a refusal for its deadline", actions)
	}
}

func TestRetryAfterIsSpread(t *testing.T) {
	u := warm(t)
	u.gate.StartClosing(u.now)
	u.now = u.now.Add(admit.CloseGrace)
	seen := map[time.Duration]bool{}
	for range 50 {
		_, actions := u.arrive(1, time.Second)
		seen[actions[0].RetryAfter] = true
	}
	if len(seen) < 40 {
		t.Errorf("50 refusals named only %d different times", len(seen))
	}
}

func TestLeavingEndsNewWorkAfterGrace(t *testing.T) {
	u := warm(t)
	u.gate.StartClosing(u.now)
	u.serve(1, work)
	u.now = u.now.Add(admit.CloseGrace)
	if _, actions := u.arrive(1, time.Second); len(actions) != 1 || actions[0].Reason != admit.Leaving {
		t.Errorf("got %v, want a refusal for leaving", actions)
	}
	u.gate.Reopen(u.now)
	if u.gate.Limit() != limits.ColdSlots {
		t.Errorf("limit is %d on return, want %d", u.gate.Limit(), limits.ColdSlots)
	}
}

// TestGateKeepsItsPromises drives the gate at random: never more running than
// slots, never more waiting than the queue, and exactly one verdict for each request.
func TestGateKeepsItsPromises(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := admit.New(limits, rand.New(rand.NewPCG(1, 1)), begin)
		now := begin
		var next uint64
		var running []uint64
		waiting := map[uint64]bool{}

		take := func(actions []admit.Action) {
			for _, a := range actions {
				if !waiting[a.ID] {
					t.Fatalf("second verdict or none asked for: %+v", a)
				}
				delete(waiting, a.ID)
				if a.Verdict == admit.Start {
					running = append(running, a.ID)
				}
			}
		}

		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "ms")) * time.Millisecond)
			switch rapid.SampledFrom([]string{"arrive", "arrive", "finish", "cancel", "tick", "mark cold", "leave", "return"}).Draw(t, "event") {
			case "arrive":
				next++
				waiting[next] = true
				take(g.Arrive(now, admit.Request{
					ID:       next,
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
					take(g.Finish(now, id, admit.Outcome{ServiceDuration: service, Cold: rapid.IntRange(0, 9).Draw(t, "cold") == 0}))
				}
			case "cancel":
				for id := range waiting {
					g.Cancel(id)
					delete(waiting, id)
					break
				}
			case "tick":
				take(g.Tick(now))
			case "mark cold":
				g.MarkCold(now)
			case "leave":
				g.StartClosing(now)
			case "return":
				g.Reopen(now)
			}

			if g.RunningCount() > limits.Slots || g.WaitingCount() > limits.Queue || g.WaitingCount() != len(waiting) {
				t.Fatalf("running %d, waiting %d, known to wait %d", g.RunningCount(), g.WaitingCount(), len(waiting))
			}
		}
	})
}
