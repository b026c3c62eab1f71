package ctrl

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/coriandershift/coriandershift"
	"github.com/coriandershift/coriandershift/internal/state/roster"
)

const (
	// censusKey is the key under which the census is stored. A starting balancer
	// reads it to find out which members it does not know yet, and an isolated
	// process to find balancers to contact.
	censusKey = "coriandershift/census"

	// censusInterval is the time between two checks whether the members have changed.
	censusInterval = 2 * time.Second

	// maxCensusSeeds is the largest number of balancers that become seeds at once. It
	// is large enough that all balancers soon learn of a process that starts after
	// an outage.
	maxCensusSeeds = 12
)

// Census lists the addresses of all members that are not dead. Both lists are sorted.
type Census struct {
	Balancers []netip.AddrPort `cbor:"1,keyasint"`
	Agents    []netip.AddrPort `cbor:"2,keyasint"`
}

func (c *Census) equal(other *Census) bool {
	return slices.Equal(c.Balancers, other.Balancers) && slices.Equal(c.Agents, other.Agents)
}

// PublishCensus keeps the census in the store up to date until the context ends. Only
// the first balancer on the ring that knows all agents writes it, and only if
// members have joined or left.
func (p *Plane) PublishCensus(ctx context.Context) {
	var written Census // by this process
	var revision int64
	var era uint64 // of the store when the census was written
	for ; ctx.Err() == nil; sleep(ctx, censusInterval) {
		census, responsible := p.currentCensus()
		if latest := p.latestEra(); latest > era {
			// What was written may be lost, and revisions are given out again.
			era, written, revision = latest, Census{}, 0
		}
		if !responsible || census.equal(&written) {
			continue
		}

		value, err := cbor.Marshal(census)
		if err != nil {
			p.log.Error("cannot encode census", "error", err)
			return
		}
		if err := p.store.CompareAndSwap(ctx, censusKey, value, revision, 0); err == nil {
			written = census
			p.log.Info("census written", "balancers", len(census.Balancers), "agents", len(census.Agents))
		} else if !errors.Is(err, coriandershift.ErrConflict) {
			p.log.Warn("cannot write census", "error", err)
			continue
		}
		revision = p.censusRevision(ctx, revision)
	}
}

func (p *Plane) latestEra() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.era
}

// censusRevision returns the store's revision of the census, 0 if there is none, or the
// given known one if the census cannot be read.
func (p *Plane) censusRevision(ctx context.Context, known int64) int64 {
	entry, err := p.store.Get(ctx, censusKey)
	if errors.Is(err, coriandershift.ErrNotFound) {
		return 0
	}
	if err != nil {
		p.log.Warn("cannot read census", "error", err)
		return known
	}
	return entry.Revision
}

// ReadCensus returns the census from the store. It returns
// coriandershift.ErrNotFound if no balancer has written one yet.
func (p *Plane) ReadCensus(ctx context.Context) (Census, error) {
	entry, err := p.store.Get(ctx, censusKey)
	if err != nil {
		return Census{}, err
	}
	return decodeCensus(entry)
}

func decodeCensus(entry coriandershift.Entry) (Census, error) {
	var census Census
	return census, errors.Wrap(cbor.Unmarshal(entry.Value, &census), "decode census")
}

// readSeedBalancers returns the balancers of a census that may be seconds old. All
// processes read it at their start.
func (p *Plane) readSeedBalancers(ctx context.Context) ([]netip.AddrPort, error) {
	entry, err := p.store.GetStale(ctx, censusKey)
	if err != nil {
		return nil, err
	}
	census, err := decodeCensus(entry)
	return census.Balancers, err
}

// SeedFromCensus takes seeds from the census whenever no balancer answers this process,
// also at its start, until the context ends. This finds balancers even if all seeds that
// the settings name are gone.
func (p *Plane) SeedFromCensus(ctx context.Context) {
	var delay backoff
	for ctx.Err() == nil {
		if !p.isolated() {
			delay.reset()
			sleep(ctx, isolationCheckInterval)
			continue
		}
		balancers, err := p.readSeedBalancers(ctx)
		if err != nil {
			p.log.Warn("no balancer answers and the census cannot be read", "error", err)
		} else {
			p.log.Warn("no balancer answers; taking seeds from the census", "known", len(balancers))
			p.SetSeeds(randomSeeds(balancers))
		}
		sleep(ctx, delay.next())
	}
}

// randomSeeds shuffles balancers in place and returns up to maxCensusSeeds of them, so
// that many processes that look for balancers do not all contact the same ones.
func randomSeeds(balancers []netip.AddrPort) []netip.AddrPort {
	rand.Shuffle(len(balancers), func(i, j int) { balancers[i], balancers[j] = balancers[j], balancers[i] })
	return balancers[:min(len(balancers), maxCensusSeeds)]
}

// currentCensus returns the census of the members known here, and whether this balancer
// is the one that writes it.
func (p *Plane) currentCensus() (Census, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()

	var census Census
	for _, m := range p.node.Roster().Members() {
		switch {
		case m.State == roster.Dead:
		case m.Role == roster.Balancer:
			census.Balancers = append(census.Balancers, m.Address)
		default:
			census.Agents = append(census.Agents, m.Address)
		}
	}
	return census, p.node.IsFirstActive()
}
