package queue_test

import (
	"testing"
	"time"

	"github.com/coriandershift/coriandershift/internal/state/queue"
)

func callerAt(octet byte) queue.Caller {
	return queue.Caller{100, 64, 0, octet}
}

func TestDominant(t *testing.T) {
	tests := map[string]struct {
		asked map[byte]int // flows by caller
		after time.Duration
		want  byte // 0 for none
	}{
		"none asked":                          {},
		"one caller only":                     {asked: map[byte]int{1: 100}},
		"all alike":                           {asked: map[byte]int{1: 10, 2: 10, 3: 10}},
		"one asks for twice as much":          {asked: map[byte]int{1: 10, 2: 20, 3: 10}, want: 2},
		"one asks for less than twice":        {asked: map[byte]int{1: 10, 2: 19, 3: 10}},
		"two ask for much":                    {asked: map[byte]int{1: 40, 2: 40, 3: 1}},
		"few flows":                           {asked: map[byte]int{1: 7, 2: 1}},
		"it was long ago":                     {asked: map[byte]int{1: 10, 2: 20}, after: 6 * time.Second},
		"it was within the last five seconds": {asked: map[byte]int{1: 10, 2: 20}, after: 4 * time.Second, want: 2},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var b queue.Backlog
			for caller, n := range test.asked {
				for range n {
					b.RecordAsked(start, callerAt(caller))
				}
			}
			got, ok := b.Dominant(start.Add(test.after))
			if ok != (test.want != 0) || (ok && got != callerAt(test.want)) {
				t.Errorf("got %v, %v, want %d", got, ok, test.want)
			}
		})
	}
}

func TestHadShare(t *testing.T) {
	var b queue.Backlog
	for caller := range byte(10) {
		b.RecordAsked(start, callerAt(caller))
		for range 3 {
			b.RecordOpened(start, callerAt(caller))
		}
	}
	b.RecordAsked(start, callerAt(100))
	if b.HadShare(start, callerAt(100)) {
		t.Error("a caller of eleven without a flow had its share of 30")
	}
	if !b.HadShare(start, callerAt(1)) {
		t.Error("a caller of eleven with 3 flows had not its share of 30")
	}
	if later := start.Add(6 * time.Second); b.HadShare(later, callerAt(1)) {
		t.Error("a caller had its share six seconds later")
	}
}

func TestLenWithout(t *testing.T) {
	var b queue.Backlog
	for _, w := range []queue.WaitingFlow{from(1, 1, 2, time.Second), from(2, 2, 2, time.Second), from(1, 3, 3, time.Second)} {
		b.Add(w)
	}
	if got := b.LenWithout(callerAt(1)); got != 1 {
		t.Errorf("got %d, want 1", got)
	}
}
