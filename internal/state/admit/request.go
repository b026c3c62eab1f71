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

// Verdict is what an action tells of a request.
type Verdict uint8

// The verdicts.
const (
	// Start lets a request go to the upstream.
	Start Verdict = 1
	// Refuse ends a request that has not started.
	Refuse Verdict = 2
)

// Action is a decision about one request.
type Action struct {
	ID      uint64
	Verdict Verdict

	// Reason is set on a refusal.
	Reason Reason

	// RetryAfter is how long a refused caller should wait, spread so that callers do not return together.
	RetryAfter time.Duration
}

// Request asks for work to be admitted.
type Request struct {
	// ID is unique among the requests that the gate holds.
	ID uint64

	// Class names requests that take about the same time.
	Class string

	// Priority orders the queue: the lowest number goes first.
	Priority int

	// Feed requests hold a connection, not a slot.
	Feed bool

	// Deadline is when the answer is of no more use.
	Deadline time.Time
}

// Outcome is how a started request ended.
type Outcome struct {
	// ServiceDuration is the time from start to the first byte of the answer.
	ServiceDuration time.Duration

	// Cold says that the upstream showed a sign of a restart: it refused, reset or named a new instance.
	Cold bool

	// Failed says that the upstream answered that it could not serve the request.
	// Two in a row are a sign of cold.
	Failed bool

	// Cancelled says that the caller left, so that ServiceDuration means nothing.
	Cancelled bool
}

// Limits bound the work of the upstream.
type Limits struct {
	// Slots is the number of requests that run at once when warm; at least 1.
	Slots int

	// ColdSlots is the number that a cold upstream bears; 1 to Slots.
	ColdSlots int

	// Feeds is the number of feeds open at once.
	Feeds int

	// Queue is the number of requests that may wait.
	Queue int

	// WarmUp is how long a cold upstream is held to ColdSlots, at the least.
	WarmUp time.Duration
}
