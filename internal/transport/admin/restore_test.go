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
