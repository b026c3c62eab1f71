package ctrl

import (
	"context"
	"time"

	"github.com/coriandershift/coriandershift/internal/coordination/commit"
)

const (
	watchPrefix = "coriandershift/watch/"

	// watchersPerDomain bounds how many balancers of a failure domain wait for
	// changes at the store. The others learn of them from their peers.
	watchersPerDomain = 2
)

// WatchConfig follows the configuration in the store until the context ends, if this
// balancer holds one of the watchers' places. Before any configuration is in
// force here, it reads the store without a place.
func (l *Plane) WatchConfig(ctx context.Context) {
	committer := commit.New(l.store)
	go l.readFirst(ctx, committer)
	l.holdPlace(ctx, watchPrefix, watchersPerDomain, func(held context.Context) { l.follow(held, committer) })
}

func (l *Plane) readFirst(ctx context.Context, committer *commit.Committer) {
	var pause backoff
	for ctx.Err() == nil && l.Config().Revision == 0 {
		if snapshot, err := committer.Load(ctx); err == nil {
			l.Adopt(snapshot.Config, "store")
		}
		sleep(ctx, pause.next())
	}
}

func (l *Plane) follow(ctx context.Context, committer *commit.Committer) {
	for ctx.Err() == nil {
		snapshot, err := committer.Load(ctx)
		if err != nil {
			l.log.Warn("cannot read configuration", "error", err)
			sleep(ctx, retryStore)
			continue
		}

		l.Adopt(snapshot.Config, "store")
		started := time.Now()
		_, err = l.store.Watch(ctx, commit.RootKey, snapshot.StoreRevision)
		if err != nil && time.Since(started) < retryStore {
			sleep(ctx, retryStore)
		}
	}
}
