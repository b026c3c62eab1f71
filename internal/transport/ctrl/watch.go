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

	// behindCheckInterval is the time between two checks whether the configuration in
	// force is later than the one that was read from the store. A watch that finds it so
	// twice in a row has missed a change or a restore of the store, and begins anew.
	behindCheckInterval = time.Second
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
		watching, stop := context.WithCancel(ctx)
		go p.stopIfBehind(watching, stop, snapshot.Config.Revision)
		_, err = p.store.Watch(watching, commit.RootKey, snapshot.StoreRevision)
		stop()
		if err != nil && time.Since(watchStart) < storeRetryDelay {
			sleep(ctx, storeRetryDelay)
		}
	}
}

// stopIfBehind calls stop once the configuration in force has been later than a revision
// for behindCheckInterval. It returns when ctx ends.
func (p *Plane) stopIfBehind(ctx context.Context, stop context.CancelFunc, revision uint64) {
	for behind := false; ctx.Err() == nil; {
		sleep(ctx, behindCheckInterval)
		later := p.Config().Revision > revision
		if later && behind {
			stop()
		}
		behind = later
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
