package commit_test

import (
	"maps"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/coriandershift/coriandershift/internal/coordination/commit"
	"github.com/coriandershift/coriandershift/internal/state/config"
)

// A store that was restored from an older snapshot gave revisions out again for other
// changes, which all processes ignored, since they had configurations of these revisions.
func TestARestoredStoreGetsTheConfigurationInForceBack(t *testing.T) {
	tests := map[string]struct {
		restored func(c *commit.Committer) error
		want     uint64 // revision in the store
		domains  int
	}{
		"by a watcher": {func(c *commit.Committer) error {
			restored, err := c.Restore(t.Context())
			if err == nil && !restored {
				t.Error("not restored")
			}
			return err
		}, 2, 2},
		"before the next change": {func(c *commit.Committer) error {
			revision, err := c.Commit(t.Context(), putDomain("c", "south-3", 3, 0))
			if err == nil && revision != 3 {
				t.Errorf("the change is revision %d, want 3", revision)
			}
			return err
		}, 3, 3},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			store := newStore()
			inForce := &config.Config{}
			c := commit.New(store, commit.WithInForce(func() *config.Config { return inForce }))
			if _, err := c.Commit(t.Context(), putDomain("a", "south-1", 1, 0)); err != nil {
				t.Fatal(err)
			}
			snapshot, revision := maps.Clone(store.entries), store.revision
			if _, err := c.Commit(t.Context(), putDomain("b", "south-2", 2, 0)); err != nil {
				t.Fatal(err)
			}
			inForce = mustLoad(t, c)
			store.entries, store.revision = snapshot, revision

			if err := test.restored(c); err != nil {
				t.Fatal(err)
			}
			got := mustLoad(t, c)
			if got.Revision != test.want || len(got.Domains) != test.domains {
				t.Errorf("got %+v", got)
			}
			if diff := cmp.Diff(inForce.Domains, got.Domains[:2]); diff != "" {
				t.Error(diff)
			}
		})
	}
}

func TestAStoreWithALaterConfigurationIsNotRestored(t *testing.T) {
	store := newStore()
	c := commit.New(store)
	if _, err := c.Commit(t.Context(), putDomain("a", "south-1", 1, 0)); err != nil {
		t.Fatal(err)
	}
	restored, err := c.Restore(t.Context())
	if err != nil || restored {
		t.Errorf("got %v, %v", restored, err)
	}
}
