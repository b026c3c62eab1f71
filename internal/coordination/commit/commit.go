// Package commit changes the configuration in the platform's store. One root key,
// changed by compare-and-swap, refers to immutable parts by the hash of their content.
package commit

import (
	"context"
	"encoding/json"
	"slices"
	"sync"

	"github.com/pkg/errors"

	"github.com/coriandershift/coriandershift"
	"github.com/coriandershift/coriandershift/internal/state/config"
)

const (
	// RootKey is the key of the root.
	RootKey = "coriandershift/root"

	partPrefix = "coriandershift/part/"

	// rememberedChanges is the largest number of change IDs kept in the root. At
	// 13,000 changes a day it covers half an hour, far more than the deadline until
	// which a command may send its change again.
	rememberedChanges = 256

	maxAttempts = 8
)

// Sentinel errors of Commit.
var (
	// ErrStale reports that the configuration is not at the base revision of the
	// change any more. The change did not take effect.
	ErrStale = errors.New("configuration was changed by somebody else")

	// ErrUndecided reports that it is unknown whether the change took effect.
	ErrUndecided = errors.New("outcome of the change is unknown; send it again with the same ID")
)

// Committer changes and reads the configuration. It is safe for concurrent use.
type Committer struct {
	store   coriandershift.Store
	inForce func() *config.Config

	mu sync.Mutex
	// cache holds the parts of the last root that was read, by their hash.
	cache map[string]config.Part
}

type root struct {
	Revision uint64       `json:"revision"`
	Parts    []partName   `json:"parts"`
	Changes  []doneChange `json:"changes"`
}

type partName struct {
	Name string `json:"name"`
	Hash string `json:"hash"`
}

type doneChange struct {
	ID       string `json:"id"`
	Revision uint64 `json:"revision"`
}

// Snapshot is the configuration with the store's revision of the root key.
type Snapshot struct {
	Config *config.Config

	// StoreRevision is the revision of the root key; 0 if there is none yet.
	StoreRevision int64

	changes []doneChange
	parts   []partName
}

// Option configures a Committer.
type Option func(*Committer)

// WithInForce names the function that returns the configuration in force at this process.
// If the store has an earlier one, it was restored from an older copy.
func WithInForce(inForce func() *config.Config) Option {
	return func(c *Committer) { c.inForce = inForce }
}

// New returns a Committer for a store.
func New(store coriandershift.Store, options ...Option) *Committer {
	c := &Committer{store: store, inForce: func() *config.Config { return &config.Config{} }}
	for _, apply := range options {
		apply(c)
	}
	return c
}

// Load reads the whole configuration. An empty store yields an empty configuration
// at revision 0.
func (c *Committer) Load(ctx context.Context) (Snapshot, error) {
	entry, err := c.store.Get(ctx, RootKey)
	if errors.Is(err, coriandershift.ErrNotFound) {
		return Snapshot{Config: &config.Config{}}, nil
	}
	if err != nil {
		return Snapshot{}, err
	}
	return c.resolve(ctx, entry)
}

// Commit applies a change and returns the revision in which it took effect. A
// change whose ID took effect before is not applied again; Commit returns the
// revision of that time. Its errors are config.ErrInvalid, config.ErrRefused,
// ErrStale, ErrUndecided and those of the store.
func (c *Committer) Commit(ctx context.Context, change config.Change) (uint64, error) {
	if change.ID == "" {
		return 0, errors.WithMessage(config.ErrInvalid, "change without an ID")
	}

	lastErr := error(ErrUndecided)
	written := false
	for range maxAttempts {
		if ctx.Err() != nil {
			break
		}

		revision, err := c.attempt(ctx, change, &written)
		if err == nil || !retryable(err) {
			return revision, err
		}
		lastErr = err
	}

	if written {
		return 0, errors.WithMessagef(ErrUndecided, "last attempt: %v", lastErr)
	}
	return 0, lastErr
}

func retryable(err error) bool {
	return errors.Is(err, coriandershift.ErrConflict) || errors.Is(err, coriandershift.ErrUnknownOutcome)
}

// attempt tries once to commit a change. It sets written before the write of the
// root, by which the change takes effect.
func (c *Committer) attempt(ctx context.Context, change config.Change, written *bool) (uint64, error) {
	current, err := c.Load(ctx)
	if err != nil {
		if *written {
			return 0, errors.WithMessage(coriandershift.ErrUnknownOutcome, err.Error())
		}
		return 0, err
	}

	restored, err := c.restore(ctx, current)
	if restored {
		return 0, errors.WithMessage(coriandershift.ErrConflict, "the store was restored from an older copy")
	}
	if err != nil {
		return 0, err
	}

	if i := slices.IndexFunc(current.changes, func(d doneChange) bool { return d.ID == change.ID }); i >= 0 {
		return current.changes[i].Revision, nil
	}

	if change.BaseRevision != 0 && change.BaseRevision != current.Config.Revision {
		return 0, errors.WithMessagef(ErrStale, "revision is %d, not %d", current.Config.Revision, change.BaseRevision)
	}

	next, err := current.Config.Apply(change)
	if err != nil {
		return 0, err
	}

	parts := next.Split()
	if err := c.putParts(ctx, current.parts, parts); err != nil {
		return 0, err
	}

	changes := append(slices.Clone(current.changes), doneChange{ID: change.ID, Revision: next.Revision})
	value, err := json.Marshal(newRoot(next.Revision, parts, changes))
	if err != nil {
		return 0, errors.Wrap(err, "encode root")
	}

	*written = true
	if err := c.store.CompareAndSwap(ctx, RootKey, value, current.StoreRevision, 0); err != nil {
		return 0, err
	}
	return next.Revision, nil
}

func (c *Committer) putParts(ctx context.Context, stored []partName, parts []config.Part) error {
	for _, p := range parts {
		if slices.Contains(stored, partName{Name: p.Name, Hash: p.Hash}) {
			continue
		}

		err := c.store.CompareAndSwap(ctx, partPrefix+p.Hash, p.Data, 0, 0)
		if err != nil && !errors.Is(err, coriandershift.ErrConflict) {
			return err
		}
	}
	return nil
}

// resolve reads the parts that a root refers to and joins them.
func (c *Committer) resolve(ctx context.Context, entry coriandershift.Entry) (Snapshot, error) {
	var r root
	if err := json.Unmarshal(entry.Value, &r); err != nil {
		return Snapshot{}, errors.WithMessagef(config.ErrInvalid, "key %q: %v", RootKey, err)
	}

	parts := make([]config.Part, 0, len(r.Parts))
	for _, name := range r.Parts {
		part, err := c.loadPart(ctx, name)
		if err != nil {
			return Snapshot{}, errors.WithMessagef(err, "part %q", name.Name)
		}
		parts = append(parts, part)
	}
	c.cacheParts(parts)

	cfg, err := config.Join(r.Revision, parts)
	if err != nil {
		return Snapshot{}, err
	}
	return Snapshot{Config: cfg, StoreRevision: entry.Revision, changes: r.Changes, parts: r.Parts}, nil
}

// loadPart returns one part, from the cache or the store.
func (c *Committer) loadPart(ctx context.Context, name partName) (config.Part, error) {
	c.mu.Lock()
	cached, ok := c.cache[name.Hash]
	c.mu.Unlock()
	if ok {
		return config.Part{Name: name.Name, Hash: name.Hash, Data: cached.Data}, nil
	}

	entry, err := c.store.Get(ctx, partPrefix+name.Hash)
	if err != nil {
		return config.Part{}, err
	}
	return config.Part{Name: name.Name, Hash: name.Hash, Data: entry.Value}, nil
}

func (c *Committer) cacheParts(parts []config.Part) {
	cache := make(map[string]config.Part, len(parts))
	for _, p := range parts {
		cache[p.Hash] = p
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cache = cache
}

func newRoot(revision uint64, parts []config.Part, changes []doneChange) root {
	r := root{Revision: revision, Changes: changes}
	if excess := len(r.Changes) - rememberedChanges; excess > 0 {
		r.Changes = r.Changes[excess:]
	}
	for _, p := range parts {
		r.Parts = append(r.Parts, partName{Name: p.Name, Hash: p.Hash})
	}
	return r
}
