package ctrl

import (
	"context"
	"net/netip"
	"time"
)

const (
	seedPrefix = "coriandershift/seed/"

	// seedsPerDomain is the largest number of seeds of a failure domain in the store.
	seedsPerDomain = 3

	// isolationCheckInterval is the time between two checks whether any balancer
	// answers, as long as one does.
	isolationCheckInterval = 10 * time.Second
)

// RefreshSeeds reads the seeds from the store whenever no balancer answers this process,
// until the context ends.
func (p *Plane) RefreshSeeds(ctx context.Context) {
	var delay backoff
	for ctx.Err() == nil {
		p.mu.Lock()
		isolated := p.node.Isolated(time.Now())
		p.mu.Unlock()

		if isolated {
			p.readSeeds(ctx)
			sleep(ctx, delay.next())
			continue
		}
		delay.reset()
		sleep(ctx, isolationCheckInterval)
	}
}

// AnnounceSeed makes this balancer one of the seeds of its failure domain in the store
// whenever there are fewer than seedsPerDomain, until the context ends.
func (p *Plane) AnnounceSeed(ctx context.Context) {
	p.holdPlace(ctx, seedPrefix, seedsPerDomain, func(leased context.Context) { <-leased.Done() })
}

func (p *Plane) readSeeds(ctx context.Context) {
	entries, err := p.store.List(ctx, seedPrefix)
	if err != nil {
		p.log.Warn("cannot read seeds", "error", err)
		return
	}

	var seeds []netip.AddrPort
	for _, e := range entries {
		address, err := netip.ParseAddrPort(string(e.Value))
		if err != nil {
			p.log.Warn("malformed seed in the store", "key", e.Key, "error", err)
			continue
		}
		seeds = append(seeds, address)
	}
	if len(seeds) == 0 {
		return
	}

	p.mu.Lock()
	defer p.mu.Unlock()
	p.node.SetSeeds(seeds)
}

// SetSeeds sets the balancers to which this process also sends its heartbeats when it
// has no home or none answers.
func (p *Plane) SetSeeds(seeds []netip.AddrPort) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.node.SetSeeds(seeds)
}
