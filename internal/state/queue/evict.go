package queue

import (
	"slices"
	"time"
)

// Evict removes and returns the flow that makes room for a new flow of a caller. If flows
// of a less urgent priority wait, it is one of the least urgent that is late, that is, can
// no longer be answered in time. Otherwise it is one of the new flow's priority, from a
// caller that has most flows there, the new one included: a late one, or if there is
// none and the caller has more flows than that of the new one, its youngest. Of several
// late ones it is the oldest of the caller with most flows. Evict returns false if the new
// flow is to be refused.
//
// The flows of a caller are those that wait, and those that were opened within shareWindow.
func (b *Backlog) Evict(now time.Time, priority int, caller Caller) (WaitingFlow, bool) {
	if len(b.waiting) == 0 {
		return WaitingFlow{}, false
	}
	leastUrgent := b.waiting[len(b.waiting)-1].Priority
	if leastUrgent > priority {
		first := b.endOfPriority(leastUrgent - 1)
		counts := b.countCallers(now, b.waiting[first:])
		if index, ok := b.oldestLate(now, first, counts, 1); ok {
			return b.remove(index), true
		}
	}

	first, end := b.endOfPriority(priority-1), b.endOfPriority(priority)
	counts := b.countCallers(now, b.waiting[first:end])
	if counts[caller] == 0 {
		counts[caller] = b.opened.byCaller[caller]
	}
	counts[caller]++
	most := counts.most()
	if leastUrgent == priority {
		if index, ok := b.oldestLate(now, first, counts, most); ok {
			return b.remove(index), true
		}
	}
	if counts[caller]+minExcess > most {
		return WaitingFlow{}, false
	}
	for index := end - 1; index >= first; index-- {
		if counts[callerOf(&b.waiting[index])] == most {
			return b.remove(index), true
		}
	}
	return WaitingFlow{}, false
}

// oldestLate returns the index of a late flow from first on: the oldest one of the caller
// with most flows, which must be at least minCount.
func (b *Backlog) oldestLate(now time.Time, first int, counts callerCounts, minCount int) (index int, ok bool) {
	most := minCount - 1
	for i := first; i < len(b.waiting); i++ {
		if count := counts[callerOf(&b.waiting[i])]; count > most && now.After(b.waiting[i].OpenDeadline) {
			index, most = i, count
		}
	}
	return index, most >= minCount
}

func (b *Backlog) remove(index int) WaitingFlow {
	removed := b.waiting[index]
	b.waiting = slices.Delete(b.waiting, index, index+1)
	return removed
}
