// Package dedup keeps the idempotency keys of requests that ran, so that an agent
// never runs a request twice while it keeps the key.
package dedup

import (
	"net/http"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

const (
	// MaxRemembered is the largest number of keys that a Table keeps.
	MaxRemembered = 16384

	// RememberFor is how long a key is kept after its request began or ended. No
	// request may run longer, as its key would expire before it ends.
	RememberFor = 10 * time.Minute

	// MaxAnswerBytes is the length of the longest answer body that is kept, in bytes.
	MaxAnswerBytes = 4 << 10
)

// Answer is the response to a request.
type Answer struct {
	Status int
	Header http.Header

	// Body is the complete body; at most MaxAnswerBytes bytes.
	Body []byte
}

// KeyStatus is the state of the request that used a key.
type KeyStatus uint8

// The statuses.
const (
	// NotSeen keys are unknown or expired; their request may run.
	NotSeen KeyStatus = 0
	// Running keys belong to a request that has not ended.
	Running KeyStatus = 1
	// Answered keys belong to a request that was answered.
	Answered KeyStatus = 2
	// OutcomeUnknown keys belong to a request that started and whose outcome is unknown.
	OutcomeUnknown KeyStatus = 3
)

// Table holds up to MaxRemembered keys. It is not safe for concurrent use.
type Table struct {
	records *simplelru.LRU[string, record]
}

type record struct {
	status    KeyStatus
	answer    *Answer
	expiresAt time.Time
}

// New returns an empty Table.
func New() *Table {
	records, err := simplelru.NewLRU[string, record](MaxRemembered, nil)
	if err != nil {
		panic(err) // fails only for a size below 1
	}
	return &Table{records: records}
}

// Begin claims a key for a request. Unless it returns NotSeen, the request must not
// run. The answer is set for an Answered key whose answer was kept.
func (t *Table) Begin(now time.Time, key string) (KeyStatus, *Answer) {
	r, ok := t.records.Get(key)
	if ok && now.Before(r.expiresAt) {
		return r.status, r.answer
	}
	t.records.Add(key, record{status: Running, expiresAt: now.Add(RememberFor)})
	return NotSeen, nil
}

// Release removes the key of a request that did not run.
func (t *Table) Release(key string) {
	t.records.Remove(key)
}

// End records the outcome of a request. The answer is nil if it is too long to keep.
func (t *Table) End(now time.Time, key string, status KeyStatus, answer *Answer) {
	t.records.Add(key, record{status: status, answer: answer, expiresAt: now.Add(RememberFor)})
}
