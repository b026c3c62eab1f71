package ctrl

import (
	"context"
	"time"

	"github.com/coriandershift/coriandershift/internal/coordination/commit"
)

const (
	watchPrefix = "coriandershift/watch/"

	// watchersPerDomain is the largest number of balancers of a failure domain that
	// watch the store for changes. The others learn of them from their peers.
	watchersPerDomain = 2
)

// WatchConfig follows the configuration in the store until the context ends, while this
// balancer holds one of the watchersPerDomain places of its failure domain. As long as
// no configuration is in force, it reads the store even without a place.
func (p *Plane) WatchConfig(ctx context.Context) {
	committer := commit.New(p.store, commit.WithInForce(p.Config))
	go p.loadInitialSnapshot(ctx, committer)
	p.holdPlace(ctx, watchPrefix, watchersPerDomain, func(leased context.Context) { p.followStore(leased, committer) })
}

// loadInitialSnapshot reads the store until a configuration is in force.
func (p *Plane) loadInitialSnapshot(ctx context.Context, committer *commit.Committer) {
	var delay backoff
	for ctx.Err() == nil && p.Config().Revision == 0 {
		if snapshot, err := committer.Load(ctx); err == nil {
			p.Adopt(snapshot.Config, "store")
		}
		sleep(ctx, delay.next())
	}
}

// followStore adopts the configuration in the store and each change of it.
func (p *Plane) followStore(ctx context.Context, committer *commit.Committer) {
	for ctx.Err() == nil {
		snapshot, err := committer.Load(ctx)
		if err != nil {
			p.log.Warn("cannot read configuration", "error", err)
			sleep(ctx, storeRetryDelay)
			continue
		}

		if !p.Adopt(snapshot.Config, "store") && snapshot.Config.Revision < p.Config().Revision {
			p.restoreStore(ctx, committer)
			continue
		}
		watchStart := time.Now()
		_, err = p.store.Watch(ctx, commit.RootKey, snapshot.StoreRevision)
		if err != nil && time.Since(watchStart) < storeRetryDelay {
			sleep(ctx, storeRetryDelay)
		}
	}
}

// restoreStore writes the configuration in force back to a store that has an earlier one.
func (p *Plane) restoreStore(ctx context.Context, committer *commit.Committer) {
	restored, err := committer.Restore(ctx)
	switch {
	case restored:
		p.log.Warn("store had an older configuration; wrote back the one in force", "revision", p.Config().Revision)
		return
	case err != nil:
		p.log.Warn("store has an older configuration, which cannot be replaced", "revision", p.Config().Revision, "error", err)
	}
	sleep(ctx, storeRetryDelay)
}
