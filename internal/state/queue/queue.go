// Package queue holds the flows that wait for a free slot at an upstream. It is
// meant for short overload, such as the surge after an outage or the loss of a
// failure domain: flows that can still be answered in time wait, the most urgent
// first, and all others are refused at once.
package queue

import (
	"slices"
	"time"

	"github.com/coriandershift/coriandershift/internal/protocol/fwdmsg"
	"github.com/coriandershift/coriandershift/internal/state/flow"
)

// WaitingFlow is a flow whose opening packet the upstream has not been given yet.
type WaitingFlow struct {
	Key flow.Key

	// Priority orders the backlog: the lowest number goes first.
	Priority int

	// FirstSent is when the caller sent its first opening packet.
	FirstSent time.Time

	// OpenDeadline is the latest time to open the flow for its answer to be in time.
	OpenDeadline time.Time

	// GiveUpAt is when the caller stops waiting for the flow to open.
	GiveUpAt time.Time

	// Packet is the opening packet, Sequence its sequence number, and Envelope the
	// envelope in which it arrived.
	Sequence uint32
	Packet   []byte
	Envelope fwdmsg.Envelope
}

// Backlog holds waiting flows. Within a priority, the oldest goes first while it
// can be answered in time; once it cannot, the youngest goes first, since serving
// in order of arrival would make every flow late until the surge has passed. If a flow
// must be refused, it is one of the caller with the most waiting flows. It is not safe
// for concurrent use.
type Backlog struct {
	waiting []WaitingFlow // ordered by Priority, then FirstSent
	asked   shares        // flows that callers asked for
	opened  shares        // flows that were opened
}

// Len returns the number of waiting flows.
func (b *Backlog) Len() int {
	return len(b.waiting)
}

// CountAhead returns the number of flows of the given priority or a more urgent one.
func (b *Backlog) CountAhead(priority int) int {
	return b.endOfPriority(priority)
}

// Contains reports whether a flow waits with the given key and sequence number.
func (b *Backlog) Contains(key flow.Key, sequence uint32) bool {
	return slices.ContainsFunc(b.waiting, func(w WaitingFlow) bool { return w.Key == key && w.Sequence == sequence })
}

// Add inserts a flow after the older flows of its priority.
func (b *Backlog) Add(w WaitingFlow) {
	index := b.endOfPriority(w.Priority)
	for index > 0 && b.waiting[index-1].Priority == w.Priority && b.waiting[index-1].FirstSent.After(w.FirstSent) {
		index--
	}
	b.waiting = slices.Insert(b.waiting, index, w)
}

// PopNext removes and returns the flow to open next.
func (b *Backlog) PopNext(now time.Time) (WaitingFlow, bool) {
	if len(b.waiting) == 0 {
		return WaitingFlow{}, false
	}
	index := 0
	if now.After(b.waiting[0].OpenDeadline) {
		index = b.endOfPriority(b.waiting[0].Priority) - 1
	}
	return b.remove(index), true
}

// TakeExpired removes and returns the flows whose callers no longer wait.
func (b *Backlog) TakeExpired(now time.Time) []WaitingFlow {
	var expired []WaitingFlow
	b.waiting = slices.DeleteFunc(b.waiting, func(w WaitingFlow) bool {
		if now.Before(w.GiveUpAt) {
			return false
		}
		expired = append(expired, w)
		return true
	})
	return expired
}

// TakeAll removes and returns all flows.
func (b *Backlog) TakeAll() []WaitingFlow {
	all := b.waiting
	b.waiting = nil
	return all
}

// endOfPriority returns the index after the last flow of the given priority or a more urgent one.
func (b *Backlog) endOfPriority(priority int) int {
	index, _ := slices.BinarySearchFunc(b.waiting, priority, func(w WaitingFlow, priority int) int {
		if w.Priority <= priority {
			return -1
		}
		return 1
	})
	return index
}
