package link

import (
	"context"
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
	// it to know whom it has not heard of yet.
	censusKey = "coriandershift/census"

	// censusEvery is the time between two looks at whether it must be written.
	censusEvery = 2 * time.Second
)

// KeepCensus keeps the list of members in the store up to date. Only the first
// balancer that knows all agents writes, and only when members came or went.
func (l *Link) KeepCensus(ctx context.Context) {
	var written []netip.AddrPort
	var revision int64
	for ; ctx.Err() == nil; sleep(ctx, censusEvery) {
		members, first := l.census()
		if !first || slices.Equal(members, written) {
			continue
		}

		value, err := cbor.Marshal(members)
		if err != nil {
			l.log.Error("census not encoded", "error", err)
			return
		}
		if err := l.store.Swap(ctx, censusKey, value, revision, 0); err == nil {
			written = members
			l.log.Info("census written", "members", len(members))
		} else if !errors.Is(err, coriandershift.ErrConflict) {
			l.log.Warn("census not written", "error", err)
			continue
		}
		revision = l.censusRevision(ctx, revision)
	}
}

// censusRevision reads the key's revision; it stays the known one if the store does not answer.
func (l *Link) censusRevision(ctx context.Context, known int64) int64 {
	entry, err := l.store.Get(ctx, censusKey)
	if err != nil {
		l.log.Warn("census not read", "error", err)
		return known
	}
	return entry.Revision
}

// Census returns the members that were known before. It returns ErrNotFound if
// no balancer has written them yet.
func (l *Link) Census(ctx context.Context) ([]netip.AddrPort, error) {
	entry, err := l.store.Get(ctx, censusKey)
	if err != nil {
		return nil, err
	}
	var members []netip.AddrPort
	return members, errors.Wrap(cbor.Unmarshal(entry.Value, &members), "decode census")
}

// census returns the addresses of the living members, sorted, and whether this
// balancer is the first on the ring.
func (l *Link) census() ([]netip.AddrPort, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()

	var members []netip.AddrPort
	for _, m := range l.node.Roster().Members() {
		if m.State != roster.Dead {
			members = append(members, m.Address)
		}
	}
	return members, l.node.First()
}
