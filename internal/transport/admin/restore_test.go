package admin_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/coriandershift/coriandershift/internal/coordination/commit"
)

// waitForStore waits until the configuration in the store has a revision.
func (f *fleet) waitForStore(revision uint64) {
	f.t.Helper()
	committer := commit.New(f.store)
	var got uint64
	for end := time.Now().Add(applyTimeout); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		snapshot, err := committer.Load(f.t.Context())
		if err != nil {
			f.t.Fatal(err)
		}
		if got = snapshot.Config.Revision; got == revision {
			return
		}
	}
	f.t.Fatalf("the store has revision %d after %s, want %d", got, applyTimeout, revision)
}

// The store loses a change that is in force. Without a write of the balancers, it would
// give the change's revision out again.
func TestAStoreThatCameBackFromACopyGetsTheLostChangeBack(t *testing.T) {
	f := newFleet(t)
	first := f.start(netip.AddrPort{}, netip.AddrPort{}, false)
	second := f.start(netip.AddrPort{}, netip.AddrPort{}, false, first.address)
	f.waitForRevision(second, f.mustChange(first, putDomain("a", "south-1", 1)))
	copied := f.storeServer.Copy()
	lost := f.mustChange(first, putDomain("b", "south-2", 2))
	f.waitForRevision(first, lost)
	f.waitForRevision(second, lost)

	f.storeServer.Restore(copied)
	f.waitForStore(lost)
	next := f.mustChange(second, putDomain("c", "south-3", 3))
	if next != lost+1 {
		t.Errorf("the next change is revision %d, want %d", next, lost+1)
	}
	for _, b := range []*balancer{first, second} {
		f.waitForRevision(b, next)
		if domains := b.control.Config().Domains; len(domains) != 3 {
			t.Errorf("got %d failure domains, want 3", len(domains))
		}
	}
}

// A restore between a read of the configuration and the watch that follows it, which
// cannot see it.
func TestAStoreThatCameBackBeforeTheWatchBeganGetsTheLostChangeBack(t *testing.T) {
	tests := map[string]struct{ readLost bool }{
		"the lost change had been read":     {readLost: true},
		"the lost change had not been read": {},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t)
			b := f.start(netip.AddrPort{}, netip.AddrPort{}, false)
			f.watches.waitForPassed(t, 0)
			if !test.readLost {
				f.watches.close()
			}
			f.mustChange(b, putDomain("a", "south-1", 1))
			if test.readLost {
				f.watches.waitForPassed(t, f.rootRevision())
				f.watches.close()
			} else {
				f.watches.waitForHeld(t, f.rootRevision())
			}
			copied := f.storeServer.Copy()
			lost := f.mustChange(b, putDomain("b", "south-2", 2))
			if test.readLost {
				f.watches.waitForHeld(t, f.rootRevision())
			}

			f.storeServer.Restore(copied)
			f.watches.open()
			f.waitForStore(lost)
		})
	}
}

// rootRevision returns the store's revision of the configuration.
func (f *fleet) rootRevision() int64 {
	f.t.Helper()
	entry, err := f.store.Get(f.t.Context(), commit.RootKey)
	if err != nil {
		f.t.Fatal(err)
	}
	return entry.Revision
}
