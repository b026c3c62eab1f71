package ctrl

import (
	"context"
	"net/netip"
	"time"
)

const (
	seedPrefix = "coriandershift/seed/"

	// seedsPerDomain bounds the leased keys of one failure domain.
	seedsPerDomain = 3

	seedRead = 10 * time.Second
)

// RefreshSeeds reads the seeds from the store whenever no balancer answers.
func (l *Plane) RefreshSeeds(ctx context.Context) {
	var pause backoff
	for ctx.Err() == nil {
		l.mu.Lock()
		isolated := l.node.Isolated(time.Now())
		l.mu.Unlock()

		if isolated {
			l.readSeeds(ctx)
			sleep(ctx, pause.next())
			continue
		}
		pause.reset()
		sleep(ctx, seedRead)
	}
}

// AnnounceSeed keeps this balancer among the seeds of its failure domain while there is room.
func (l *Plane) AnnounceSeed(ctx context.Context) {
	l.holdPlace(ctx, seedPrefix, seedsPerDomain, func(held context.Context) { <-held.Done() })
}

func (l *Plane) readSeeds(ctx context.Context) {
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

// SetSeeds names balancers to turn to when no home answers.
func (l *Plane) SetSeeds(seeds []netip.AddrPort) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.node.SetSeeds(seeds)
}
