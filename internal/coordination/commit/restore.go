package commit

import (
	"context"
	"encoding/json"

	"github.com/pkg/errors"
)

// Restore writes the configuration in force back to the store if the store has an earlier
// one, and reports whether it did. Without that, revisions would be given out again for
// other configurations, which the processes would ignore.
func (c *Committer) Restore(ctx context.Context) (bool, error) {
	current, err := c.Load(ctx)
	if err != nil {
		return false, err
	}
	return c.restore(ctx, current)
}

func (c *Committer) restore(ctx context.Context, current Snapshot) (bool, error) {
	cfg := c.inForce()
	if cfg.Revision <= current.Config.Revision {
		return false, nil
	}
	parts := cfg.Split()
	if err := c.putParts(ctx, current.parts, parts); err != nil {
		return false, err
	}
	value, err := json.Marshal(newRoot(cfg.Revision, parts, current.changes))
	if err != nil {
		return false, errors.Wrap(err, "encode root")
	}
	if err := c.store.CompareAndSwap(ctx, RootKey, value, current.StoreRevision, 0); err != nil {
		return false, err
	}
	return true, nil
}
