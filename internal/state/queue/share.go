package queue

import "time"

const (
	// shareWindow is the time for which a flow counts for its caller.
	// Without it, a caller that always has one flow waiting gets far more than one that
	// seldom has any.
	shareWindow = 5 * time.Second

	// dominantFactor is how many times as many flows as any other a caller must ask for to
	// dominate, and minDominant how many at least. Smaller differences arise
	// by chance.
	dominantFactor = 2
	minDominant    = 8

	// maxShareFlows is the largest number of flows that are recorded; older ones are
	// forgotten before shareWindow has passed.
	maxShareFlows = 8192

	// minExcess is how many more flows than the caller of a new flow another caller must
	// have for one of its flows to be evicted while it is in time.
	minExcess = 2
)

// Caller is the IP address of a caller, by which shares are counted.
type Caller [4]byte

func callerOf(w *WaitingFlow) Caller {
	return w.Key.Caller.IP
}

// callerCounts has the number of flows of each caller.
type callerCounts map[Caller]int

// most returns the largest number of flows that a caller has.
func (c callerCounts) most() int {
	most := 0
	for _, n := range c {
		most = max(most, n)
	}
	return most
}

// shares records the callers of flows within shareWindow. The zero value has none.
type shares struct {
	flows    []callerFlow // in order
	byCaller callerCounts
}

// callerFlow is a flow of a caller.
type callerFlow struct {
	at     time.Time
	caller Caller
}

func (s *shares) add(now time.Time, caller Caller) {
	if s.byCaller == nil {
		s.byCaller = callerCounts{}
	}
	s.flows = append(s.flows, callerFlow{now, caller})
	s.byCaller[caller]++
	s.forget(now)
}

// forget removes the flows from before shareWindow, and those beyond maxShareFlows.
func (s *shares) forget(now time.Time) {
	old := 0
	for ; old < len(s.flows) && (len(s.flows)-old > maxShareFlows || now.Sub(s.flows[old].at) > shareWindow); old++ {
		caller := s.flows[old].caller
		if s.byCaller[caller]--; s.byCaller[caller] == 0 {
			delete(s.byCaller, caller)
		}
	}
	s.flows = s.flows[old:]
}

// RecordAsked records that a caller asked for a flow.
func (b *Backlog) RecordAsked(now time.Time, caller Caller) {
	b.asked.add(now, caller)
}

// RecordOpened records that a flow of a caller was opened.
func (b *Backlog) RecordOpened(now time.Time, caller Caller) {
	b.opened.add(now, caller)
}

// countCallers counts the flows of those callers that have any among the given ones: these
// and the ones that were opened within shareWindow.
func (b *Backlog) countCallers(now time.Time, flows []WaitingFlow) callerCounts {
	b.opened.forget(now)
	counts := callerCounts{}
	for i := range flows {
		caller := callerOf(&flows[i])
		if counts[caller] == 0 {
			counts[caller] = b.opened.byCaller[caller]
		}
		counts[caller]++
	}
	return counts
}

// Dominant returns the caller that asked for far more flows than every other within
// shareWindow, if there is one.
func (b *Backlog) Dominant(now time.Time) (Caller, bool) {
	b.asked.forget(now)
	var first Caller
	var most, second int
	for caller, n := range b.asked.byCaller {
		switch {
		case n > most:
			first, most, second = caller, n, most
		case n > second:
			second = n
		}
	}
	return first, second > 0 && most >= max(minDominant, dominantFactor*second)
}

// HadShare reports whether one more flow of a caller would be more than its share: the
// flows that were opened within shareWindow, divided by the callers that asked for any.
func (b *Backlog) HadShare(now time.Time, caller Caller) bool {
	b.asked.forget(now)
	b.opened.forget(now)
	return (b.opened.byCaller[caller]+1)*len(b.asked.byCaller) > len(b.opened.flows)
}

// LenWithout returns the number of waiting flows of other callers than the given one.
func (b *Backlog) LenWithout(caller Caller) int {
	count := 0
	for i := range b.waiting {
		if callerOf(&b.waiting[i]) != caller {
			count++
		}
	}
	return count
}
