package queue_test

import (
	"testing"
	"time"

	"github.com/coriandershift/coriandershift/internal/state/queue"
)

// from returns a waiting flow of a caller with the given last octet.
func from(caller byte, id uint16, priority int, timeLeft time.Duration) queue.WaitingFlow {
	w := waiting(id, priority, timeLeft)
	w.Key.Caller.IP = queue.Caller{100, 64, 0, caller}
	return w
}

func TestEvictTakesFromTheCallerWithMostFlows(t *testing.T) {
	const late, inTime = 0, time.Second
	tests := map[string]struct {
		added   []queue.WaitingFlow
		caller  byte // of the new flow, which has priority 2
		want    uint16
		refused bool
	}{
		"its youngest": {
			added: []queue.WaitingFlow{from(1, 1, 2, inTime), from(2, 2, 2, inTime), from(1, 3, 2, inTime), from(1, 4, 2, inTime), from(3, 5, 2, inTime)}, caller: 4, want: 4,
		},
		"its oldest late one": {
			added: []queue.WaitingFlow{from(2, 1, 2, late), from(1, 2, 2, late), from(1, 3, 2, late), from(1, 4, 2, inTime)}, caller: 4, want: 2,
		},
		"not a late one of a caller with fewer": {
			added: []queue.WaitingFlow{from(2, 1, 2, late), from(1, 2, 2, inTime), from(1, 3, 2, inTime), from(1, 4, 2, inTime)}, caller: 4, want: 4,
		},
		"of the new flow's caller, a late one": {
			added: []queue.WaitingFlow{from(2, 1, 2, late), from(1, 2, 2, late), from(1, 3, 2, inTime)}, caller: 1, want: 2,
		},
		"the new flow, if its caller has most and none is late": {
			added: []queue.WaitingFlow{from(2, 1, 2, late), from(1, 2, 2, inTime), from(1, 3, 2, inTime)}, caller: 1, refused: true,
		},
		"the new flow, if another has one more only": {
			added: []queue.WaitingFlow{from(1, 1, 2, inTime), from(1, 2, 2, inTime), from(3, 3, 2, inTime)}, caller: 4, refused: true,
		},
		"the new flow, if all have one": {
			added: []queue.WaitingFlow{from(1, 1, 2, inTime), from(2, 2, 2, inTime), from(3, 3, 2, inTime)}, caller: 4, refused: true,
		},
		"the oldest late one, if all have one": {
			added: []queue.WaitingFlow{from(1, 1, 2, inTime), from(2, 2, 2, late), from(3, 3, 2, late)}, caller: 4, want: 2,
		},
		"flows of a more urgent priority do not count": {
			added: []queue.WaitingFlow{from(1, 1, 1, inTime), from(1, 2, 1, inTime), from(1, 3, 1, inTime), from(2, 4, 2, inTime)}, caller: 4, refused: true,
		},
		"a late one that is less urgent goes first": {
			added: []queue.WaitingFlow{from(1, 1, 2, inTime), from(1, 2, 2, inTime), from(2, 3, 3, late), from(3, 4, 3, inTime), from(3, 5, 3, inTime)}, caller: 4, want: 3,
		},
		"of less urgent late ones, that of the caller with most": {
			added: []queue.WaitingFlow{from(2, 3, 3, late), from(3, 4, 3, late), from(3, 5, 3, late)}, caller: 4, want: 4,
		},
		"less urgent ones that are in time are no reason to refuse": {
			added: []queue.WaitingFlow{from(1, 1, 2, inTime), from(1, 2, 2, inTime), from(1, 3, 2, inTime), from(2, 4, 3, inTime)}, caller: 4, want: 3,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var b queue.Backlog
			for _, w := range test.added {
				b.Add(w)
			}
			got, ok := b.Evict(start.Add(50*time.Millisecond), 2, queue.Caller{100, 64, 0, test.caller})
			if ok == test.refused || got.Key.Caller.Port != test.want {
				t.Errorf("got %d, %v, want %d", got.Key.Caller.Port, ok, test.want)
			}
			if removed := len(test.added) - b.Len(); ok != (removed == 1) {
				t.Errorf("%d were removed", removed)
			}
		})
	}
}
