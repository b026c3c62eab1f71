package steer_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/coriandershift/coriandershift/internal/coordination/steer"
	"github.com/coriandershift/coriandershift/internal/state/flow"
)

// The reset that refuses a flow may be lost, or a copy may be under way before it.
func TestOpeningPacketsAfterARefusal(t *testing.T) {
	type result struct {
		Kind   steer.ActionKind
		Reason steer.Reason
	}
	const first, second = 200 * time.Millisecond, 600 * time.Millisecond
	tests := map[string]struct {
		copies   []time.Duration // their times since the first; the last one counts
		sequence uint32          // added to that of the refused one
		after    time.Duration   // from the refusal to the last one
		want     result
	}{
		"the first copy is refused as well":                         {[]time.Duration{first}, 0, first, result{steer.Reset, steer.LinkBusyAgain}},
		"the second copy is refused if the first came here":         {[]time.Duration{first, second}, 0, second, result{steer.Reset, steer.LinkBusyAgain}},
		"the second copy is dropped if the first did not":           {[]time.Duration{second}, 0, second, result{steer.Drop, steer.LinkBusyAgain}},
		"a datagram that arrives twice is refused twice":            {[]time.Duration{0}, 0, time.Millisecond, result{steer.Reset, steer.LinkBusyAgain}},
		"a new flow from the same port is decided on anew":          {[]time.Duration{0}, 1, 10 * time.Millisecond, result{steer.Reset, steer.LinkBusy}},
		"a copy of another flow from the same port is placed":       {[]time.Duration{first}, 1, first, result{steer.Send, steer.Placed}},
		"a copy is placed after the time in which callers give up":  {[]time.Duration{second}, 0, 1400 * time.Millisecond, result{steer.Send, steer.Placed}},
		"a copy is refused until the time in which callers give up": {[]time.Duration{first, second}, 0, 1399 * time.Millisecond, result{steer.Reset, steer.LinkBusyAgain}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			r := uploadRouter(agents("svc", 10)...)
			caller, _ := open(r, 1, steer.LinkBusy)
			var got result
			for _, since := range test.copies {
				p := openingFrom(caller)
				p.Sequence += test.sequence
				p.SinceFirstSent = since
				actions := r.HandleCallerPacket(start.Add(test.after), p)
				got = result{actions[0].Kind, actions[0].Reason}
			}
			if diff := cmp.Diff(test.want, got); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// Load: a flood of new flows that the link cannot carry.
func TestRefusalsAreBounded(t *testing.T) {
	r := uploadRouter(agents("svc", 10)...)
	caller, _ := open(r, 1, steer.LinkBusy)
	refused := 0
	for other := caller + 1; refused < 5000; other++ {
		p := openingFrom(other)
		if got := r.HandleCallerPacket(start, p); len(got) > 0 && got[0].Reason == steer.LinkBusy {
			refused++
		}
		if other > caller+20_000 {
			t.Fatalf("%d flows are refused", refused)
		}
	}
	again := func(caller int) *flow.Packet {
		p := openingFrom(caller)
		p.SinceFirstSent = 200 * time.Millisecond
		return p
	}
	if got := r.HandleCallerPacket(start, again(caller)); got[0].Kind != steer.Send {
		t.Errorf("got %s for a copy of the earliest, want it to be forgotten", got[0].Reason)
	}
}
