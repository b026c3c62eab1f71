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
	// censusKey holds the addresses of all members. A balancer that starts reads
	// it to know whom it has not heard of yet, and a process that hears nobody to
	// know whom to call.
	censusKey = "coriandershift/census"

	// censusEvery is the time between two looks at whether it must be written.
	censusEvery = 2 * time.Second

	// censusSeeds is how many balancers of the census are called at once: enough
	// that all soon know of a process that starts after an outage.
	censusSeeds = 12
)

// Census is the addresses of all members, each list sorted.
type Census struct {
	Balancers []netip.AddrPort `cbor:"1,keyasint"`
	Agents    []netip.AddrPort `cbor:"2,keyasint"`
}

func (c *Census) equal(other *Census) bool {
	return slices.Equal(c.Balancers, other.Balancers) && slices.Equal(c.Agents, other.Agents)
}

// PublishCensus keeps the list of members in the store up to date. Only the first
// balancer that knows all agents writes, and only when members came or went.
func (l *Plane) PublishCensus(ctx context.Context) {
	var written Census
	var revision int64
	for ; ctx.Err() == nil; sleep(ctx, censusEvery) {
		members, first := l.census()
		if !first || members.equal(&written) {
			continue
		}

		value, err := cbor.Marshal(members)
		if err != nil {
			l.log.Error("census not encoded", "error", err)
			return
		}
		if err := l.store.CompareAndSwap(ctx, censusKey, value, revision, 0); err == nil {
			written = members
			l.log.Info("census written", "balancers", len(members.Balancers), "agents", len(members.Agents))
		} else if !errors.Is(err, coriandershift.ErrConflict) {
			l.log.Warn("census not written", "error", err)
			continue
		}
		revision = l.censusRevision(ctx, revision)
	}
}

// censusRevision reads the key's revision; it stays the known one if the store does not answer.
func (l *Plane) censusRevision(ctx context.Context, known int64) int64 {
	entry, err := l.store.Get(ctx, censusKey)
	if err != nil {
		l.log.Warn("census not read", "error", err)
		return known
	}
	return entry.Revision
}

// ReadCensus returns the members that were known before. It returns ErrNotFound if
// no balancer has written them yet.
func (l *Plane) ReadCensus(ctx context.Context) (Census, error) {
	entry, err := l.store.Get(ctx, censusKey)
	if err != nil {
		return Census{}, err
	}
	var members Census
	return members, errors.Wrap(cbor.Unmarshal(entry.Value, &members), "decode census")
}

// SeedFromCensus looks for balancers in the store while this process hears none, at
// its start among others. The settings may name only some that are gone.
func (l *Plane) SeedFromCensus(ctx context.Context) {
	var pause backoff
	for ctx.Err() == nil {
		if !l.isolated() {
			pause.reset()
			sleep(ctx, seedRead)
			continue
		}
		members, err := l.ReadCensus(ctx)
		if err != nil {
			l.log.Warn("hears no balancer, and no census", "error", err)
		} else {
			l.log.Warn("hears no balancer, takes some from the census", "known", len(members.Balancers))
			l.SetSeeds(some(members.Balancers))
		}
		sleep(ctx, pause.next())
	}
}

// some returns a few balancers at random, so that those that many look for are
// not called by all.
func some(balancers []netip.AddrPort) []netip.AddrPort {
	rand.Shuffle(len(balancers), func(i, j int) { balancers[i], balancers[j] = balancers[j], balancers[i] })
	return balancers[:min(len(balancers), censusSeeds)]
}

// census returns the addresses of the living members, and whether this balancer
// is the one to write them.
func (l *Plane) census() (Census, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()

	var members Census
	for _, m := range l.node.Roster().Members() {
		switch {
		case m.State == roster.Dead:
		case m.Role == roster.Balancer:
			members.Balancers = append(members.Balancers, m.Address)
		default:
			members.Agents = append(members.Agents, m.Address)
		}
	}
	return members, l.node.IsFirstActive()
}
