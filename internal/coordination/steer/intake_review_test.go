package steer_test

import (
	"testing"
	"time"

	"github.com/coriandershift/coriandershift/internal/coordination/steer"
	"github.com/coriandershift/coriandershift/internal/state/flow"
)

// resets returns how many of the actions reset a flow.
func resets(actions []steer.Action) int {
	count := 0
	for _, a := range actions {
		if a.Kind == steer.Reset {
			count++
		}
	}
	return count
}

// Callers repeat an opening packet after 200 ms, and the fabric may have delivered the
// copy to another balancer: a reset would then end a flow that is open.
func TestAFlowThatIsOlderThanACopyIsNotReset(t *testing.T) {
	tests := map[string]func() []steer.Action{
		"the process had no processor time while the flow waited for the link": func() []steer.Action {
			r := uploadRouter(agents("svc", 10)...)
			open(r, 1, steer.LinkQueued)
			return r.Tick(start.Add(400 * time.Millisecond))
		},
		"another packet arrives first after that": func() []steer.Action {
			r := uploadRouter(agents("svc", 10)...)
			open(r, 1, steer.LinkQueued)
			return r.HandleCallerPacket(start.Add(400*time.Millisecond), uploadPacket(1, 0))
		},
		"the balancer held the packet after its start": func() []steer.Action {
			r := steer.New(self, "a", start, steer.WithLinkRate(1_250_000))
			r.ExpectMembers([]flow.Endpoint{endpoint(10)})
			for caller := range 10 { // uploads that the fabric moved here
				for i := range 10 {
					r.HandleCallerPacket(start, uploadPacket(caller, i))
				}
			}
			r.HandleCallerPacket(start, openingFrom(500))
			r.Configure(start, newConfig(1, "svc"))
			r.UpdateMembers(start, agents("svc", 10))
			r.RouteHeld(start.Add(450 * time.Millisecond))
			return r.Tick(start.Add(550 * time.Millisecond))
		},
	}
	for name, run := range tests {
		t.Run(name, func(t *testing.T) {
			if got := resets(run()); got != 0 {
				t.Errorf("%d flows are reset", got)
			}
		})
	}
}

// A copy that was under way when the caller was told used to open the flow that its
// caller had given up, which then counted on the link for 900 ms.
func TestACopyThatFollowsARefusalOpensNoFlow(t *testing.T) {
	r := uploadRouter(agents("svc", 10)...)
	caller, _ := open(r, 1, steer.LinkBusy)
	before := r.OutstandingBytes()[0]
	again := openingFrom(caller)
	again.SinceFirstSent = 200 * time.Millisecond
	for _, a := range r.HandleCallerPacket(start.Add(150*time.Millisecond), again) {
		if a.Kind == steer.Send {
			t.Errorf("got %s", a.Reason)
		}
	}
	if got := r.OutstandingBytes()[0]; got > before {
		t.Errorf("%.0f bytes are outstanding, %.0f before", got, before)
	}
}

// Room that an agent's refusal frees used to be noticed only with the next packet or tick.
func TestAWaitingFlowIsPlacedWhenAnAgentRefusesOnesAhead(t *testing.T) {
	r := uploadRouter(agents("svc", 10)...)
	waiting, _ := open(r, 1, steer.LinkQueued)
	placed := 0
	now := start.Add(10 * time.Millisecond)
	for caller := 1; caller < waiting; caller++ {
		e, payload := notice(openingFrom(caller), endpoint(10))
		e.Refused = true
		for _, a := range r.HandleAgentMessage(now, e, payload, parse) {
			if a.Reason == steer.Placed {
				placed++
			}
		}
	}
	if placed != 1 {
		t.Errorf("%d flows are placed, want the waiting one", placed)
	}
}

// A packet that was held after the start may be older than its copies: an agent that
// refuses it must not reset the flow, which may be open at another.
func TestAPacketThatWasHeldForLongMayBeADuplicate(t *testing.T) {
	r := steer.New(self, "a", start)
	r.ExpectMembers([]flow.Endpoint{endpoint(10)})
	r.HandleCallerPacket(start, opening(1))
	r.Configure(start, newConfig(1, "svc"))
	r.UpdateMembers(start, agents("svc", 10))
	got := r.RouteHeld(start.Add(450 * time.Millisecond))
	if len(got) != 1 || got[0].Reason != steer.Placed || !got[0].Envelope.MaybeDuplicate {
		t.Errorf("got %+v", got)
	}
}
