// Package commit changes the configuration in the platform's store: one root
// key, changed by compare-and-swap, names immutable parts by their content.
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

	// rememberedChanges bounds the change IDs in the root. At 13,000 changes a
	// day it covers half an hour, far more than a command's deadline.
	rememberedChanges = 256

	maxAttempts = 8
)

// Sentinel errors of Commit.
var (
	// ErrStale reports that the configuration changed since the operator saw it. Nothing was done.
	ErrStale = errors.New("configuration was changed by somebody else")

	// ErrUndecided reports that it could not be found out whether the change took effect.
	ErrUndecided = errors.New("outcome of the change is unknown; send it again with the same ID")
)

// Committer changes and reads the configuration. It is safe for concurrent use.
type Committer struct {
	store coriandershift.Store

	mu sync.Mutex
	// parts are those of the last root that was read, by their hash.
	parts map[string]config.Part
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

// Snapshot is the configuration with the store's revision of its root.
type Snapshot struct {
	Config *config.Config

	// StoreRevision is the revision of the root key; 0 if there is none yet.
	StoreRevision int64

	changes []doneChange
	parts   []partName
}

// New returns a Committer on a store.
func New(store coriandershift.Store) *Committer {
	return &Committer{store: store}
}

// Load reads the whole configuration. An empty store holds revision 0.
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

// Commit carries out a change and returns the revision in which it took
// effect. A change that took effect before under the same ID is not done
// again. It returns config.ErrInvalid, config.ErrRefused, ErrStale or ErrUndecided.
func (c *Committer) Commit(ctx context.Context, change config.Change) (uint64, error) {
	if change.ID == "" {
		return 0, errors.WithMessage(config.ErrInvalid, "change without an ID")
	}

	last := error(ErrUndecided)
	written := false
	for range maxAttempts {
		if ctx.Err() != nil {
			break
		}

		revision, err := c.attempt(ctx, change, &written)
		if err == nil || !retryable(err) {
			return revision, err
		}
		last = err
	}

	if written {
		return 0, errors.WithMessagef(ErrUndecided, "last attempt: %v", last)
	}
	return 0, last
}

func retryable(err error) bool {
	return errors.Is(err, coriandershift.ErrConflict) || errors.Is(err, coriandershift.ErrUnknownOutcome)
}

// attempt tries once. It sets written before the write that can take effect.
func (c *Committer) attempt(ctx context.Context, change config.Change, written *bool) (uint64, error) {
	now, err := c.Load(ctx)
	if err != nil {
		if *written {
			return 0, errors.WithMessage(coriandershift.ErrUnknownOutcome, err.Error())
		}
		return 0, err
	}

	if i := slices.IndexFunc(now.changes, func(d doneChange) bool { return d.ID == change.ID }); i >= 0 {
		return now.changes[i].Revision, nil
	}

	if change.BaseRevision != 0 && change.BaseRevision != now.Config.Revision {
		return 0, errors.WithMessagef(ErrStale, "revision is %d, not %d", now.Config.Revision, change.BaseRevision)
	}

	next, err := now.Config.Apply(change)
	if err != nil {
		return 0, err
	}

	parts := next.Split()
	if err := c.putParts(ctx, now.parts, parts); err != nil {
		return 0, err
	}

	value, err := json.Marshal(newRoot(next.Revision, parts, now.changes, change.ID))
	if err != nil {
		return 0, errors.Wrap(err, "encode root")
	}

	*written = true
	if err := c.store.CompareAndSwap(ctx, RootKey, value, now.StoreRevision, 0); err != nil {
		return 0, err
	}
	return next.Revision, nil
}

func (c *Committer) putParts(ctx context.Context, have []partName, parts []config.Part) error {
	for _, p := range parts {
		if slices.Contains(have, partName{Name: p.Name, Hash: p.Hash}) {
			continue
		}

		err := c.store.CompareAndSwap(ctx, partPrefix+p.Hash, p.Data, 0, 0)
		if err != nil && !errors.Is(err, coriandershift.ErrConflict) {
			return err
		}
	}
	return nil
}

// resolve reads the parts that a root names.
func (c *Committer) resolve(ctx context.Context, entry coriandershift.Entry) (Snapshot, error) {
	var r root
	if err := json.Unmarshal(entry.Value, &r); err != nil {
		return Snapshot{}, errors.WithMessagef(config.ErrInvalid, "key %q: %v", RootKey, err)
	}

	parts := make([]config.Part, 0, len(r.Parts))
	for _, name := range r.Parts {
		part, err := c.part(ctx, name)
		if err != nil {
			return Snapshot{}, errors.WithMessagef(err, "part %q", name.Name)
		}
		parts = append(parts, part)
	}
	c.keep(parts)

	cfg, err := config.Join(r.Revision, parts)
	if err != nil {
		return Snapshot{}, err
	}
	return Snapshot{Config: cfg, StoreRevision: entry.Revision, changes: r.Changes, parts: r.Parts}, nil
}

// part reads one part, unless it was among those of the last root.
func (c *Committer) part(ctx context.Context, name partName) (config.Part, error) {
	c.mu.Lock()
	known, ok := c.parts[name.Hash]
	c.mu.Unlock()
	if ok {
		return config.Part{Name: name.Name, Hash: name.Hash, Data: known.Data}, nil
	}

	entry, err := c.store.Get(ctx, partPrefix+name.Hash)
	if err != nil {
		return config.Part{}, err
	}
	return config.Part{Name: name.Name, Hash: name.Hash, Data: entry.Value}, nil
}

func (c *Committer) keep(parts []config.Part) {
	kept := make(map[string]config.Part, len(parts))
	for _, p := range parts {
		kept[p.Hash] = p
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.parts = kept
}

func newRoot(revision uint64, parts []config.Part, changes []doneChange, id string) root {
	r := root{Revision: revision, Changes: append(slices.Clone(changes), doneChange{ID: id, Revision: revision})}
	if extra := len(r.Changes) - rememberedChanges; extra > 0 {
		r.Changes = r.Changes[extra:]
	}
	for _, p := range parts {
		r.Parts = append(r.Parts, partName{Name: p.Name, Hash: p.Hash})
	}
	return r
}
