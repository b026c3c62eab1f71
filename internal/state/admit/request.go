package admit

import (
	"time"
)

// Reason says why a request was refused. No byte of a refused request has reached the upstream.
type Reason string

// The reasons.
const (
	QueueFull      Reason = "queueFull"
	DeadlineMissed Reason = "deadline"
	Evicted        Reason = "evicted"
	Leaving        Reason = "leaving"
	FeedLimit      Reason = "feedLimit"
)

// Verdict is the decision of an Action.
type Verdict uint8

// The verdicts.
const (
	// Start passes a request to the upstream.
	Start Verdict = 1
	// Refuse rejects a request that has not started.
	Refuse Verdict = 2
)

// Action is a decision about one request.
type Action struct {
	ID      uint64
	Verdict Verdict

	// Reason is set on a refusal.
	Reason Reason

	// RetryAfter is how long a refused caller should wait, with jitter so that callers do not return together.
	RetryAfter time.Duration
}

// Request is a request for admission.
type Request struct {
	// ID is unique among the running and waiting requests of a Controller.
	ID uint64

	// Class groups requests that take about the same time.
	Class string

	// Priority orders the queue: the lowest number goes first.
	Priority int

	// Feed marks a long-lasting request. It counts against Limits.Feeds instead of
	// Slots and never waits.
	Feed bool

	// Deadline is when the caller has no more use for the answer.
	Deadline time.Time
}

// Outcome is how a started request ended.
type Outcome struct {
	// ServiceDuration is the time from start to the first byte of the answer.
	ServiceDuration time.Duration

	// Cold says that the upstream seems to have restarted: it refused or reset the
	// connection, answered that it is unavailable, or gave a new instance ID.
	Cold bool

	// Failed says that the upstream answered that it could not serve the request.
	// It counts like a slow answer: two in a row mean that the upstream is cold.
	Failed bool

	// Cancelled says that the caller left, so that the outcome tells nothing about the upstream.
	Cancelled bool
}

// Limits bound the requests that an upstream gets.
type Limits struct {
	// Slots is the number of requests that run at once on a warm upstream; at least 1.
	Slots int

	// ColdSlots is the number of requests that run at once on a cold upstream; 1 to Slots.
	ColdSlots int

	// Feeds is the number of feeds open at once.
	Feeds int

	// Queue is the number of requests that may wait.
	Queue int

	// WarmUp is the shortest time for which a cold upstream is held to ColdSlots.
	WarmUp time.Duration
}
