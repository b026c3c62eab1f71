package queue_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/coriandershift/coriandershift/internal/state/flow"
	"github.com/coriandershift/coriandershift/internal/state/queue"
)

var start = time.Unix(1_800_000_000, 0)

func waiting(id uint16, priority int, timeLeft time.Duration) queue.WaitingFlow {
	return queue.WaitingFlow{
		Key:          flow.Key{Caller: flow.Endpoint{Port: id}},
		Priority:     priority,
		OpenDeadline: start.Add(timeLeft),
		GiveUpAt:     start.Add(time.Second),
		Sequence:     uint32(id),
	}
}

func TestOrder(t *testing.T) {
	tests := map[string]struct {
		added []queue.WaitingFlow
		after time.Duration
		want  []uint16
	}{
		"by arrival": {
			[]queue.WaitingFlow{waiting(1, 2, 100*time.Millisecond), waiting(2, 2, 100*time.Millisecond)},
			0, []uint16{1, 2},
		},
		"most urgent first": {
			[]queue.WaitingFlow{waiting(1, 2, 100*time.Millisecond), waiting(2, 1, 100*time.Millisecond)},
			0, []uint16{2, 1},
		},
		"youngest first once the oldest is late": {
			[]queue.WaitingFlow{waiting(1, 2, 0), waiting(2, 2, 0), waiting(3, 2, 100*time.Millisecond)},
			50 * time.Millisecond, []uint16{3, 2, 1},
		},
		"late flows of a lower priority do not overtake": {
			[]queue.WaitingFlow{waiting(1, 2, 0), waiting(2, 1, 100*time.Millisecond)},
			50 * time.Millisecond, []uint16{2, 1},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var b queue.Backlog
			for _, w := range test.added {
				b.Add(w)
			}
			var got []uint16
			for w, ok := b.PopNext(start.Add(test.after)); ok; w, ok = b.PopNext(start.Add(test.after)) {
				got = append(got, w.Key.Caller.Port)
			}
			if diff := cmp.Diff(test.want, got); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// In a surge of 3 s at twice the capacity, serving in order of arrival makes nearly
// every flow late. Serving the youngest first answers nearly as many in time as there
// is capacity for.
func TestSurgeServesNewcomersInTime(t *testing.T) {
	const (
		service   = 10 * time.Millisecond
		objective = 100 * time.Millisecond
		arrivals  = 600
	)
	var b queue.Backlog
	inTime := 0
	for i := range arrivals {
		now := start.Add(time.Duration(i) * service / 2)
		b.Add(queue.WaitingFlow{
			Key: flow.Key{Caller: flow.Endpoint{Port: uint16(i)}}, OpenDeadline: now.Add(objective), GiveUpAt: now.Add(time.Second),
		})
		if i%2 == 1 {
			if w, ok := b.PopNext(now); ok && !now.After(w.OpenDeadline) {
				inTime++
			}
		}
	}
	if least := arrivals / 2 * 9 / 10; inTime < least {
		t.Errorf("%d of %d served in time, want at least %d", inTime, arrivals/2, least)
	}
}

func TestTakeExpiredAndTakeAll(t *testing.T) {
	var b queue.Backlog
	b.Add(waiting(1, 1, 0))
	late := waiting(2, 1, 0)
	late.GiveUpAt = start.Add(2 * time.Second)
	b.Add(late)

	if !b.Contains(late.Key, 2) || b.Contains(late.Key, 3) || b.CountAhead(0) != 0 || b.CountAhead(1) != 2 {
		t.Error("wrong result from Contains or CountAhead")
	}
	if expired := b.TakeExpired(start.Add(time.Second)); len(expired) != 1 || expired[0].Sequence != 1 {
		t.Errorf("got %v from TakeExpired, want sequence 1 only", expired)
	}
	if left := b.TakeAll(); len(left) != 1 || b.Len() != 0 {
		t.Errorf("got %v from TakeAll, want one flow and an empty backlog", left)
	}
}

func TestOlderFlowsAreServedBeforeYoungerOnes(t *testing.T) {
	var b queue.Backlog
	young, old := waiting(1, 2, time.Second), waiting(2, 2, time.Second)
	young.FirstSent, old.FirstSent = start, start.Add(-200*time.Millisecond)
	b.Add(young)
	b.Add(old)
	if w, _ := b.PopNext(start); w.Key.Caller.Port != 2 {
		t.Errorf("got flow %d first, want 2", w.Key.Caller.Port)
	}
}

func TestEvict(t *testing.T) {
	tests := map[string]struct {
		added    []queue.WaitingFlow
		priority int
		want     uint16
	}{
		"nothing waits":                          {nil, 2, 0},
		"all are in time":                        {[]queue.WaitingFlow{waiting(1, 2, time.Second)}, 2, 0},
		"the oldest late one":                    {[]queue.WaitingFlow{waiting(1, 2, 0), waiting(2, 2, 0)}, 2, 1},
		"the least urgent":                       {[]queue.WaitingFlow{waiting(1, 1, 0), waiting(2, 2, 0)}, 1, 2},
		"none that is more urgent":               {[]queue.WaitingFlow{waiting(1, 1, 0)}, 2, 0},
		"none while the least urgent is in time": {[]queue.WaitingFlow{waiting(1, 1, 0), waiting(2, 2, time.Second)}, 1, 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var b queue.Backlog
			for _, w := range test.added {
				b.Add(w)
			}
			got, ok := b.Evict(start.Add(50*time.Millisecond), test.priority, queue.Caller{})
			if got.Key.Caller.Port != test.want || ok != (test.want != 0) {
				t.Errorf("got %d, %v, want %d", got.Key.Caller.Port, ok, test.want)
			}
			if removed := len(test.added) - b.Len(); ok != (removed == 1) {
				t.Errorf("%d were removed", removed)
			}
		})
	}
}
