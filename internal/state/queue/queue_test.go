package queue_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/coriandershift/coriandershift/internal/state/flow"
	"github.com/coriandershift/coriandershift/internal/state/queue"
)

var start = time.Unix(1_800_000_000, 0)

func waiting(id uint16, priority int, hurry time.Duration) queue.Waiting {
	return queue.Waiting{
		Key:      flow.Key{Caller: flow.Endpoint{Port: id}},
		Priority: priority,
		Hurry:    start.Add(hurry),
		Until:    start.Add(time.Second),
		Sequence: uint32(id),
	}
}

func TestOrder(t *testing.T) {
	tests := map[string]struct {
		added []queue.Waiting
		after time.Duration
		want  []uint16
	}{
		"by arrival": {
			[]queue.Waiting{waiting(1, 2, 100*time.Millisecond), waiting(2, 2, 100*time.Millisecond)},
			0, []uint16{1, 2},
		},
		"urgent first": {
			[]queue.Waiting{waiting(1, 2, 100*time.Millisecond), waiting(2, 1, 100*time.Millisecond)},
			0, []uint16{2, 1},
		},
		"last first once the longest waiting is late": {
			[]queue.Waiting{waiting(1, 2, 0), waiting(2, 2, 0), waiting(3, 2, 100*time.Millisecond)},
			50 * time.Millisecond, []uint16{3, 2, 1},
		},
		"late ones of a lower priority do not overtake": {
			[]queue.Waiting{waiting(1, 2, 0), waiting(2, 1, 100*time.Millisecond)},
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
			for w, ok := b.Next(start.Add(test.after)); ok; w, ok = b.Next(start.Add(test.after)) {
				got = append(got, w.Key.Caller.Port)
			}
			if diff := cmp.Diff(test.want, got); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// A surge of 3 s at twice the capacity: in order of arrival nearly everyone is
// late, with the last to come first the others are answered in time.
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
		b.Add(queue.Waiting{
			Key: flow.Key{Caller: flow.Endpoint{Port: uint16(i)}}, Hurry: now.Add(objective), Until: now.Add(time.Second),
		})
		if i%2 == 1 {
			if w, ok := b.Next(now); ok && !now.After(w.Hurry) {
				inTime++
			}
		}
	}
	if least := arrivals / 2 * 9 / 10; inTime < least {
		t.Errorf("%d of %d served in time, want %d", inTime, arrivals/2, least)
	}
}

func TestExpireAndClear(t *testing.T) {
	var b queue.Backlog
	b.Add(waiting(1, 1, 0))
	late := waiting(2, 1, 0)
	late.Until = start.Add(2 * time.Second)
	b.Add(late)

	if !b.Holds(late.Key, 2) || b.Holds(late.Key, 3) || b.Ahead(0) != 0 || b.Ahead(1) != 2 {
		t.Error("wrong view of what waits")
	}
	if expired := b.Expire(start.Add(time.Second)); len(expired) != 1 || expired[0].Sequence != 1 {
		t.Errorf("got %v", expired)
	}
	if left := b.Clear(); len(left) != 1 || b.Len() != 0 {
		t.Errorf("got %v", left)
	}
}
