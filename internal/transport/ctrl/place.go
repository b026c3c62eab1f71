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
	placeLeaseTTL      = 15 * time.Second
	placeRenewInterval = 5 * time.Second
	placeRetryDelay    = 15 * time.Second // while all places are taken or this balancer is no candidate

	// candidatesPerPlace is the number of candidates for each place of a failure domain.
	// Only the first balancers on the ring are candidates, so that the calls to the
	// store do not grow with the number of balancers.
	candidatesPerPlace = 4
)

// holdPlace limits how many balancers of a failure domain run a function. It claims one
// of the failure domain's places, which are numbered keys below prefix, each with a
// lease, and calls run with a context that ends when the lease is lost. It repeats this
// until ctx ends. A balancer that was paused for longer than its lease may briefly run
// alongside its successor, so run must be safe on two balancers at once.
func (p *Plane) holdPlace(ctx context.Context, prefix string, places int, run func(ctx context.Context)) {
	var delay backoff
	for ctx.Err() == nil {
		if p.rankInDomain() >= places*candidatesPerPlace {
			sleep(ctx, placeRetryDelay)
			continue
		}

		lease, err := p.claimPlace(ctx, prefix+p.Self().Domain+"/", places)
		if errors.Is(err, coriandershift.ErrConflict) {
			sleep(ctx, placeRetryDelay)
			continue
		}
		if err != nil {
			sleep(ctx, delay.next())
			continue
		}

		delay.reset()
		leased, cancel := context.WithCancel(ctx)
		go func() {
			defer cancel()
			p.renewPlace(leased, lease)
		}()
		run(leased)
		cancel()
	}
}

// rankInDomain returns the number of balancers of the failure domain that come before
// this one on the ring.
func (p *Plane) rankInDomain() int {
	p.mu.Lock()
	defer p.mu.Unlock()

	return p.node.RankInDomain()
}

// claimPlace claims the first free place and returns its lease. It returns
// coriandershift.ErrConflict if all places are taken or another process was faster.
func (p *Plane) claimPlace(ctx context.Context, prefix string, places int) (coriandershift.Lease, error) {
	entries, err := p.store.List(ctx, prefix)
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
		lease, err := p.store.GrantLease(ctx, placeLeaseTTL)
		if err != nil {
			return 0, err
		}
		return lease, p.store.CompareAndSwap(ctx, prefix+name, []byte(p.Self().Address.String()), 0, lease)
	}
	return 0, errors.WithMessagef(coriandershift.ErrConflict, "all places below %q are taken", prefix)
}

// renewPlace renews the lease until the context ends. It returns early if the lease is
// lost, or could not be renewed for placeLeaseTTL.
func (p *Plane) renewPlace(ctx context.Context, lease coriandershift.Lease) {
	renewed := time.Now()
	for ctx.Err() == nil {
		sleep(ctx, placeRenewInterval)
		err := p.store.RenewLease(ctx, lease)
		if err == nil {
			renewed = time.Now()
			continue
		}
		if errors.Is(err, coriandershift.ErrLeaseLost) || time.Since(renewed) > placeLeaseTTL {
			return
		}
	}
}
