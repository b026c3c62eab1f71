package ctrl

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/coriandershift/coriandershift"
)

const (
	placeLease = 15 * time.Second
	placeRenew = 5 * time.Second
	placeRetry = 15 * time.Second

	// rivalsPerPlace bounds how many balancers of a failure domain ask the
	// store for a place, so that the calls do not grow with the fleet.
	rivalsPerPlace = 4
)

// holdPlace takes one of a bounded number of places of the failure domain and
// runs a function while its lease holds, again and again until the context
// ends. A holder that is paused past its lease may run beside its successor for
// a moment, so the function must do no harm twice.
func (l *Plane) holdPlace(ctx context.Context, prefix string, places int, run func(held context.Context)) {
	var pause backoff
	for ctx.Err() == nil {
		if l.rank() >= places*rivalsPerPlace {
			sleep(ctx, placeRetry)
			continue
		}

		lease, err := l.claimPlace(ctx, prefix+l.Self().Domain+"/", places)
		if errors.Is(err, coriandershift.ErrConflict) {
			sleep(ctx, placeRetry)
			continue
		}
		if err != nil {
			sleep(ctx, pause.next())
			continue
		}

		pause.reset()
		held, lost := context.WithCancel(ctx)
		go func() {
			defer lost()
			l.renewPlace(held, lease)
		}()
		run(held)
		lost()
	}
}

// rank returns how many balancers of the failure domain come before this one by their hash.
func (l *Plane) rank() int {
	l.mu.Lock()
	defer l.mu.Unlock()

	return l.node.RankInDomain()
}

// claimPlace takes the first free place. It returns coriandershift.ErrConflict if all are taken.
func (l *Plane) claimPlace(ctx context.Context, prefix string, places int) (coriandershift.Lease, error) {
	entries, err := l.store.List(ctx, prefix)
	if err != nil {
		return 0, err
	}

	taken := map[string]bool{}
	for _, e := range entries {
		taken[strings.TrimPrefix(e.Key, prefix)] = true
	}

	for place := range places {
		name := fmt.Sprint(place)
		if taken[name] {
			continue
		}
		lease, err := l.store.GrantLease(ctx, placeLease)
		if err != nil {
			return 0, err
		}
		return lease, l.store.CompareAndSwap(ctx, prefix+name, []byte(l.Self().Address.String()), 0, lease)
	}
	return 0, errors.WithMessagef(coriandershift.ErrConflict, "places of %q", prefix)
}

// renewPlace returns once the lease is lost.
func (l *Plane) renewPlace(ctx context.Context, lease coriandershift.Lease) {
	renewed := time.Now()
	for ctx.Err() == nil {
		sleep(ctx, placeRenew)
		err := l.store.RenewLease(ctx, lease)
		if err == nil {
			renewed = time.Now()
			continue
		}
		if errors.Is(err, coriandershift.ErrLeaseLost) || time.Since(renewed) > placeLease {
			return
		}
	}
}
