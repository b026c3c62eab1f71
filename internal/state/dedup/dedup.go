// Package dedup remembers the idempotency keys of requests that ran, so that an
// agent never runs the same one twice while it remembers it.
package dedup

import (
	"net/http"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

const (
	// MaxRemembered is the number of keys remembered.
	MaxRemembered = 16384

	// RememberFor is how long a key is remembered after its request began or
	// ended. No request may run longer.
	RememberFor = 10 * time.Minute

	// MaxAnswerBytes is the length of the longest answer that is kept, in bytes.
	MaxAnswerBytes = 4 << 10
)

// Answer is what a request was answered with.
type Answer struct {
	Status int
	Header http.Header

	// Body is complete; at most MaxAnswerBytes bytes.
	Body []byte
}

// KeyStatus tells what is known of a key.
type KeyStatus uint8

// The statuses.
const (
	// NotSeen keys may run.
	NotSeen KeyStatus = 0
	// Running keys belong to a request that has not ended.
	Running KeyStatus = 1
	// Answered keys belong to a request that was answered.
	Answered KeyStatus = 2
	// OutcomeUnknown keys belong to a request that started and whose outcome is unknown.
	OutcomeUnknown KeyStatus = 3
)

// Table remembers keys. It is not safe for concurrent use.
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
	known, err := simplelru.NewLRU[string, record](MaxRemembered, nil)
	if err != nil {
		panic(err) // only a size below 1 fails
	}
	return &Table{records: known}
}

// Begin claims a key. Unless it returns NotSeen, the request must not run; the
// answer is set for an Answered key whose answer was kept.
func (t *Table) Begin(now time.Time, key string) (KeyStatus, *Answer) {
	r, ok := t.records.Get(key)
	if ok && now.Before(r.expiresAt) {
		return r.status, r.answer
	}
	t.records.Add(key, record{status: Running, expiresAt: now.Add(RememberFor)})
	return NotSeen, nil
}

// Release gives a key back whose request did not run.
func (t *Table) Release(key string) {
	t.records.Remove(key)
}

// End records how a request ended. The answer is nil if it is too long to keep.
func (t *Table) End(now time.Time, key string, status KeyStatus, answer *Answer) {
	t.records.Add(key, record{status: status, answer: answer, expiresAt: now.Add(RememberFor)})
}
