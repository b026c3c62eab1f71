package link

import (
	"context"
	"fmt"
	"net/netip"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/coriandershift/coriandershift"
)

const (
	seedPrefix = "coriandershift/seed/"

	// seedsPerDomain bounds the leased keys of one failure domain.
	seedsPerDomain = 3

	seedLease = 15 * time.Second
	seedRenew = 5 * time.Second
	seedRead  = 10 * time.Second
)

// FollowSeeds reads the seeds from the store whenever no balancer answers.
func (l *Link) FollowSeeds(ctx context.Context) {
	for ctx.Err() == nil {
		l.mu.Lock()
		lonely := l.node.Isolated(time.Now())
		l.mu.Unlock()

		if lonely {
			l.readSeeds(ctx)
			sleep(ctx, retryStore)
			continue
		}
		sleep(ctx, seedRead)
	}
}

// AnnounceSeed keeps this balancer among the seeds of its failure domain while there is room.
func (l *Link) AnnounceSeed(ctx context.Context) {
	for ctx.Err() == nil {
		lease, err := l.claimSeed(ctx)
		if err != nil {
			sleep(ctx, seedRenew)
			continue
		}
		l.renewSeed(ctx, lease)
	}
}

func (l *Link) readSeeds(ctx context.Context) {
	entries, err := l.store.List(ctx, seedPrefix)
	if err != nil {
		l.log.Warn("cannot read seeds", "error", err)
		return
	}

	var seeds []netip.AddrPort
	for _, e := range entries {
		address, err := netip.ParseAddrPort(string(e.Value))
		if err != nil {
			l.log.Warn("malformed seed", "key", e.Key, "error", err)
			continue
		}
		seeds = append(seeds, address)
	}
	if len(seeds) == 0 {
		return
	}

	l.mu.Lock()
	defer l.mu.Unlock()
	l.node.SetSeeds(seeds)
}

// claimSeed takes the first free place of the failure domain. It returns
// coriandershift.ErrConflict if all are taken.
func (l *Link) claimSeed(ctx context.Context) (coriandershift.Lease, error) {
	self := l.Self()
	prefix := seedPrefix + self.Domain + "/"
	entries, err := l.store.List(ctx, prefix)
	if err != nil {
		return 0, err
	}

	taken := map[string]bool{}
	for _, e := range entries {
		taken[strings.TrimPrefix(e.Key, prefix)] = true
	}

	for place := range seedsPerDomain {
		name := fmt.Sprint(place)
		if taken[name] {
			continue
		}
		lease, err := l.store.Grant(ctx, seedLease)
		if err != nil {
			return 0, err
		}
		return lease, l.store.Swap(ctx, prefix+name, []byte(self.Address.String()), 0, lease)
	}
	return 0, errors.WithMessagef(coriandershift.ErrConflict, "seeds of failure domain %q", self.Domain)
}

// renewSeed returns once the lease is lost.
func (l *Link) renewSeed(ctx context.Context, lease coriandershift.Lease) {
	renewed := time.Now()
	for ctx.Err() == nil {
		sleep(ctx, seedRenew)
		err := l.store.Renew(ctx, lease)
		if err == nil {
			renewed = time.Now()
			continue
		}
		if errors.Is(err, coriandershift.ErrLeaseLost) || time.Since(renewed) > seedLease {
			return
		}
	}
}
