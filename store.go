// Package coriandershift is a layer-4 load balancer for services whose users
// try once and never return after a failure. The root package holds the interfaces
// that have several implementations, which are in platform and below internal.
package coriandershift

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// Sentinel errors of a Store.
var (
	// ErrNotFound reports that a key does not exist.
	ErrNotFound = errors.New("key not found")

	// ErrConflict reports that a key changed since it was read.
	ErrConflict = errors.New("key was changed by somebody else")

	// ErrUnknownOutcome reports a write that may or may not have taken effect.
	ErrUnknownOutcome = errors.New("outcome of the write is unknown")

	// ErrCompacted reports that the store no longer has all changes after the given revision.
	ErrCompacted = errors.New("store has dropped this history")

	// ErrLeaseLost reports a lease that has lapsed.
	ErrLeaseLost = errors.New("lease has lapsed")

	// ErrOldEra reports an answer from before the store came back from an older copy.
	ErrOldEra = errors.New("answer is from an earlier era of the store")
)

// Entry is one key and its value.
type Entry struct {
	Key   string
	Value []byte

	// Revision is the store's revision of the last change of the key, with the store's
	// era as in package revno; 0 if the key does not exist.
	Revision int64
}

// Lease is the ID of a lease of the store; 0 means no lease.
type Lease int64

// Store is the platform's key-value store. It may come back from an older copy of itself,
// which begins a new era: what was written since the copy is gone, and revisions are
// given out again. Calls with a revision of an earlier era fail.
type Store interface {
	// ObserveEra records an era that a peer has heard of, 0 for none, and returns the
	// latest era heard of.
	ObserveEra(era uint64) uint64

	// Get returns one entry, or ErrNotFound.
	Get(ctx context.Context, key string) (Entry, error)

	// GetStale is a cheaper Get whose result may be seconds old.
	GetStale(ctx context.Context, key string) (Entry, error)

	// List returns the entries whose keys start with a prefix.
	List(ctx context.Context, prefix string) ([]Entry, error)

	// CompareAndSwap writes a value if the key's revision is still the given one; 0 means that it must not exist.
	// It returns ErrConflict if not, also if the revision is of an earlier era, and
	// ErrUnknownOutcome if no answer came or a new era began meanwhile.
	CompareAndSwap(ctx context.Context, key string, value []byte, revision int64, lease Lease) error

	// Watch waits until a key changes after a revision of the store and returns its entry.
	Watch(ctx context.Context, key string, after int64) (Entry, error)

	// GrantLease creates a lease that lapses unless it is renewed within ttl, which may
	// be rounded down to whole seconds.
	GrantLease(ctx context.Context, ttl time.Duration) (Lease, error)

	// RenewLease keeps a lease alive, or returns ErrLeaseLost.
	RenewLease(ctx context.Context, lease Lease) error
}
