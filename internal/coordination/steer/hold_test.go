package steer_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/coriandershift/coriandershift/internal/coordination/steer"
	"github.com/coriandershift/coriandershift/internal/state/flow"
)

// The fabric delivered to balancers that were back within a second of their kill,
// and these dropped hundreds of packets before they knew their agents.
func TestPacketsWaitForABalancerThatHasJustStarted(t *testing.T) {
	s := steer.New(self, "a", start)
	s.ExpectMembers([]flow.Endpoint{endpoint(10), endpoint(11), endpoint(12), endpoint(13)})
	got := s.HandleCallerPacket(start, opening(1))
	if diff := cmp.Diff([]steer.Reason{steer.Starting}, kinds(got)); diff != "" {
		t.Fatal(diff)
	}

	s.Configure(cfg(1, "svc"))
	s.UpdateMembers(start, agents("svc", 10))
	if got := s.Tick(start.Add(100 * time.Millisecond)); len(got) != 0 {
		t.Fatalf("with one of four agents: got %+v", got)
	}
	s.UpdateMembers(start, agents("svc", 11))
	got = s.Tick(start.Add(150 * time.Millisecond))
	if diff := cmp.Diff([]steer.Reason{steer.Placed}, kinds(got)); diff != "" {
		t.Error(diff)
	}
	got = s.HandleCallerPacket(start.Add(160*time.Millisecond), opening(2))
	if diff := cmp.Diff([]steer.Reason{steer.Placed}, kinds(got)); diff != "" {
		t.Error(diff)
	}
}

func TestPacketsAreNotHeldForLong(t *testing.T) {
	s := steer.New(self, "a", start)
	s.HandleCallerPacket(start, opening(1))
	if due, waiting := s.NextTick(); !waiting || due.Sub(start) > 100*time.Millisecond {
		t.Errorf("due %v, %v", due.Sub(start), waiting)
	}
	got := s.Tick(start.Add(500 * time.Millisecond))
	if diff := cmp.Diff([]steer.Reason{steer.NoRoute}, kinds(got)); diff != "" {
		t.Error(diff)
	}
	got = s.HandleCallerPacket(start.Add(600*time.Millisecond), opening(2))
	if diff := cmp.Diff([]steer.Reason{steer.NoRoute}, kinds(got)); diff != "" {
		t.Error(diff)
	}
}

func TestAFloodIsNotHeld(t *testing.T) {
	s := steer.New(self, "a", start)
	heldCount := 0
	for port := range uint16(2000) {
		for _, a := range s.HandleCallerPacket(start, opening(port)) {
			if a.Kind == steer.Hold {
				heldCount++
			}
		}
	}
	if heldCount != 512 {
		t.Errorf("%d packets are held, want 512", heldCount)
	}
}
