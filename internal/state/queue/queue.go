// Package queue holds the flows that wait for room at an upstream. It is made
// for short overload, such as the surge after an outage or the loss of a failure
// domain: callers that can still be served in time wait their turn, the most
// urgent first, and all others are refused at once.
package queue

import (
	"slices"
	"time"

	"github.com/coriandershift/coriandershift/internal/protocol/fwdmsg"
	"github.com/coriandershift/coriandershift/internal/state/flow"
)

// WaitingFlow is a flow that is not open yet.
type WaitingFlow struct {
	Key flow.Key

	// Priority orders the backlog: the lowest goes first.
	Priority int

	// FirstSent is when the caller sent its first opening packet.
	FirstSent time.Time

	// OpenDeadline is until when the flow must open for its answer to be in time.
	OpenDeadline time.Time

	// GiveUpAt is when the caller no longer waits for the flow to open.
	GiveUpAt time.Time

	// Sequence and Packet are those of the opening packet, Envelope how it came.
	Sequence uint32
	Packet   []byte
	Envelope fwdmsg.Envelope
}

// Backlog is ordered by priority, then by age. Of one priority, the longest
// waiting goes first while it can be answered in time; once it cannot, the
// youngest goes first, since a queue that is served in order makes everyone late until
// the surge has passed. It is not safe for concurrent use.
type Backlog struct {
	waiting []WaitingFlow
}

// Len returns how many flows wait.
func (b *Backlog) Len() int {
	return len(b.waiting)
}

// CountAhead returns how many flows would go before one of a priority.
func (b *Backlog) CountAhead(priority int) int {
	return b.endOfPriority(priority)
}

// Contains reports whether a flow waits under the given opening packet.
func (b *Backlog) Contains(key flow.Key, sequence uint32) bool {
	return slices.ContainsFunc(b.waiting, func(w WaitingFlow) bool { return w.Key == key && w.Sequence == sequence })
}

// Add puts a flow behind the older ones of its priority.
func (b *Backlog) Add(w WaitingFlow) {
	place := b.endOfPriority(w.Priority)
	for place > 0 && b.waiting[place-1].Priority == w.Priority && b.waiting[place-1].FirstSent.After(w.FirstSent) {
		place--
	}
	b.waiting = slices.Insert(b.waiting, place, w)
}

// Evict takes out the flow that is the least worth waiting for: the oldest of the
// least urgent, if that is no more urgent than priority and can no longer be
// answered in time.
func (b *Backlog) Evict(now time.Time, priority int) (WaitingFlow, bool) {
	if len(b.waiting) == 0 {
		return WaitingFlow{}, false
	}
	least := b.waiting[len(b.waiting)-1].Priority
	turn := b.endOfPriority(least - 1)
	evicted := b.waiting[turn]
	if least < priority || !now.After(evicted.OpenDeadline) {
		return WaitingFlow{}, false
	}
	b.waiting = slices.Delete(b.waiting, turn, turn+1)
	return evicted, true
}

// PopNext takes the flow out whose turn it is.
func (b *Backlog) PopNext(now time.Time) (WaitingFlow, bool) {
	if len(b.waiting) == 0 {
		return WaitingFlow{}, false
	}
	turn := 0
	if now.After(b.waiting[0].OpenDeadline) {
		turn = b.endOfPriority(b.waiting[0].Priority) - 1
	}
	next := b.waiting[turn]
	b.waiting = slices.Delete(b.waiting, turn, turn+1)
	return next, true
}

// TakeExpired takes out the flows whose callers no longer wait.
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

// TakeAll takes all flows out.
func (b *Backlog) TakeAll() []WaitingFlow {
	all := b.waiting
	b.waiting = nil
	return all
}

func (b *Backlog) endOfPriority(priority int) int {
	place, _ := slices.BinarySearchFunc(b.waiting, priority, func(w WaitingFlow, priority int) int {
		if w.Priority <= priority {
			return -1
		}
		return 1
	})
	return place
}
