package steer_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/coriandershift/coriandershift/internal/coordination/steer"
	"github.com/coriandershift/coriandershift/internal/state/flow"
)

// The fabric kept delivering to balancers that were back within a second of being
// killed. They dropped hundreds of packets before they knew their agents.
func TestABalancerThatJustStartedHoldsPackets(t *testing.T) {
	r := steer.New(self, "a", start)
	r.ExpectMembers([]flow.Endpoint{endpoint(10), endpoint(11), endpoint(12), endpoint(13)})
	got := r.HandleCallerPacket(start, opening(1))
	if diff := cmp.Diff([]steer.Reason{steer.Starting}, reasonsOf(got)); diff != "" {
		t.Fatal(diff)
	}

	r.Configure(start, newConfig(1, "svc"))
	r.UpdateMembers(start, agents("svc", 10))
	if got := r.Tick(start.Add(100 * time.Millisecond)); len(got) != 0 {
		t.Fatalf("with one of four agents: got %+v", got)
	}
	r.UpdateMembers(start, agents("svc", 11))
	got = r.Tick(start.Add(150 * time.Millisecond))
	if diff := cmp.Diff([]steer.Reason{steer.Placed}, reasonsOf(got)); diff != "" {
		t.Error(diff)
	}
	got = r.HandleCallerPacket(start.Add(160*time.Millisecond), opening(2))
	if diff := cmp.Diff([]steer.Reason{steer.Placed}, reasonsOf(got)); diff != "" {
		t.Error(diff)
	}
}

// Held packets used to wait for the next tick, up to 50 ms after enough agents were known.
func TestHeldPacketsAreRoutedOnceAgentsAreKnown(t *testing.T) {
	r := steer.New(self, "a", start)
	r.ExpectMembers([]flow.Endpoint{endpoint(10), endpoint(11)})
	r.HandleCallerPacket(start, opening(1))
	r.Configure(start, newConfig(1, "svc"))
	if got := r.RouteHeld(start.Add(time.Millisecond)); len(got) != 0 {
		t.Fatalf("without agents: got %+v", got)
	}
	r.UpdateMembers(start, agents("svc", 10))
	got := r.RouteHeld(start.Add(2 * time.Millisecond))
	if diff := cmp.Diff([]steer.Reason{steer.Placed}, reasonsOf(got)); diff != "" {
		t.Error(diff)
	}
}

func TestPacketsAreNotHeldForLong(t *testing.T) {
	r := steer.New(self, "a", start)
	r.HandleCallerPacket(start, opening(1))
	if due, pending := r.NextTick(); !pending || due.Sub(start) > 100*time.Millisecond {
		t.Errorf("due %v, %v", due.Sub(start), pending)
	}
	got := r.Tick(start.Add(500 * time.Millisecond))
	if diff := cmp.Diff([]steer.Reason{steer.NoRoute}, reasonsOf(got)); diff != "" {
		t.Error(diff)
	}
	got = r.HandleCallerPacket(start.Add(600*time.Millisecond), opening(2))
	if diff := cmp.Diff([]steer.Reason{steer.NoRoute}, reasonsOf(got)); diff != "" {
		t.Error(diff)
	}
}

func TestAFloodIsNotHeld(t *testing.T) {
	r := steer.New(self, "a", start)
	heldCount := 0
	for port := range uint16(2000) {
		for _, a := range r.HandleCallerPacket(start, opening(port)) {
			if a.Kind == steer.Hold {
				heldCount++
			}
		}
	}
	if heldCount != 512 {
		t.Errorf("%d packets are held, want 512", heldCount)
	}
}
