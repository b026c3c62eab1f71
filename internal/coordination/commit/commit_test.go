package commit_test

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/coriandershift/coriandershift"
	"github.com/coriandershift/coriandershift/internal/coordination/commit"
	"github.com/coriandershift/coriandershift/internal/state/config"
)

// memoryStore is a store in memory that can be made to fail.
type memoryStore struct {
	coriandershift.Store

	mu       sync.Mutex
	entries  map[string]coriandershift.Entry
	revision int64

	// before is called before every write of a key and may return an error.
	before func(key string) error

	// loseAnswer reports whether the answer to a write that took effect is lost.
	loseAnswer func(key string) bool
}

func newStore() *memoryStore {
	return &memoryStore{
		entries:    map[string]coriandershift.Entry{},
		before:     func(string) error { return nil },
		loseAnswer: func(string) bool { return false },
	}
}

func (s *memoryStore) Get(_ context.Context, key string) (coriandershift.Entry, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.entries[key]
	if !ok {
		return coriandershift.Entry{}, coriandershift.ErrNotFound
	}
	return e, nil
}

func (s *memoryStore) GetStale(ctx context.Context, key string) (coriandershift.Entry, error) {
	return s.Get(ctx, key)
}

func (s *memoryStore) CompareAndSwap(_ context.Context, key string, value []byte, revision int64, _ coriandershift.Lease) error {
	if err := s.before(key); err != nil {
		return err
	}

	s.mu.Lock()
	defer s.mu.Unlock()
	if s.entries[key].Revision != revision {
		return coriandershift.ErrConflict
	}
	s.revision++
	s.entries[key] = coriandershift.Entry{Key: key, Value: value, Revision: s.revision}
	if s.loseAnswer(key) {
		return coriandershift.ErrUnknownOutcome
	}
	return nil
}

func putDomain(id, name string, number uint8, base uint64) config.Change {
	return config.Change{ID: id, BaseRevision: base, Operations: []config.Operation{
		{Verb: config.PutDomain, Domain: &config.Domain{Name: name, Number: number}},
	}}
}

func mustLoad(t *testing.T, c *commit.Committer) *config.Config {
	t.Helper()
	snapshot, err := c.Load(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	return snapshot.Config
}

func TestLostAnswerIsResolvedByReading(t *testing.T) {
	for _, lost := range []string{commit.RootKey, "coriandershift/part/"} {
		t.Run(lost, func(t *testing.T) {
			store := newStore()
			writesLeft := 1
			store.loseAnswer = func(key string) bool {
				writesLeft--
				return writesLeft >= 0 && strings.HasPrefix(key, lost)
			}
			if lost == commit.RootKey {
				writesLeft = 2 // the part is written first
			}

			c := commit.New(store)
			revision, err := c.Commit(t.Context(), putDomain("a", "south-1", 1, 0))
			if err != nil || revision != 1 {
				t.Fatalf("got revision %d, %v; want 1", revision, err)
			}
			if cfg := mustLoad(t, c); cfg.Revision != 1 || len(cfg.Domains) != 1 {
				t.Errorf("the change took effect more than once: %+v", cfg)
			}
		})
	}
}

func TestSameChangeTakesEffectOnce(t *testing.T) {
	c := commit.New(newStore())
	for range 3 {
		revision, err := c.Commit(t.Context(), putDomain("a", "south-1", 1, 0))
		if err != nil || revision != 1 {
			t.Fatalf("got revision %d, %v; want 1", revision, err)
		}
	}
}

func TestOnlyOneOfTwoConflictingChangesTakesEffect(t *testing.T) {
	store := newStore()
	c := commit.New(store)
	if _, err := c.Commit(t.Context(), putDomain("first", "south-1", 1, 0)); err != nil {
		t.Fatal(err)
	}

	// The rival commits before each write of the change in turn.
	for step := range 2 {
		t.Run(fmt.Sprintf("at write %d", step+1), func(t *testing.T) {
			base := mustLoad(t, c).Revision
			writes := 0
			store.before = func(string) error {
				writes++
				if writes == step+1 {
					_, err := commit.New(store).Commit(t.Context(), putDomain(fmt.Sprint("rival", step), fmt.Sprint("rival", step), uint8(10+step), base))
					if err != nil {
						t.Errorf("rival lost: %v", err)
					}
				}
				return nil
			}
			_, err := c.Commit(t.Context(), putDomain(fmt.Sprint("slow", step), fmt.Sprint("slow", step), uint8(20+step), base))
			store.before = func(string) error { return nil }

			if !errors.Is(err, commit.ErrStale) {
				t.Errorf("loser got %v, want ErrStale", err)
			}
			cfg := mustLoad(t, c)
			if _, ok := cfg.Domain(fmt.Sprint("slow", step)); ok || cfg.Revision != base+1 {
				t.Errorf("loser's change took effect: %+v", cfg)
			}
		})
	}
}

func TestChangesWithoutBaseAreAllKept(t *testing.T) {
	store := newStore()
	var writers sync.WaitGroup
	for i := range 6 {
		writers.Go(func() {
			c := commit.New(store)
			for {
				_, err := c.Commit(t.Context(), putDomain(fmt.Sprint("id", i), fmt.Sprint("d", i), uint8(i+1), 0))
				if err == nil {
					return
				}
				if !errors.Is(err, commit.ErrUndecided) {
					t.Errorf("change %d: %v", i, err)
					return
				}
			}
		})
	}
	writers.Wait()
	if cfg := mustLoad(t, commit.New(store)); cfg.Revision != 6 || len(cfg.Domains) != 6 {
		t.Errorf("revision %d with %d domains, want 6 of both", cfg.Revision, len(cfg.Domains))
	}
}

func TestStoreFailureIsReported(t *testing.T) {
	store := newStore()
	down := errors.New("store is down")
	store.before = func(string) error { return down }
	c := commit.New(store)
	if _, err := c.Commit(t.Context(), putDomain("a", "south-1", 1, 0)); !errors.Is(err, down) {
		t.Errorf("got %v, want the store's error", err)
	}

	store.before = func(key string) error {
		if key == commit.RootKey {
			return coriandershift.ErrUnknownOutcome
		}
		return nil
	}
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	if _, err := c.Commit(ctx, putDomain("a", "south-1", 1, 0)); !errors.Is(err, commit.ErrUndecided) {
		t.Errorf("got %v, want ErrUndecided", err)
	}
}
