package steer_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/coriandershift/coriandershift/internal/coordination/steer"
)

// refill has new flows of ten callers arrive, so that some wait for the link.
func refill(r *steer.Router, now time.Time) {
	for caller := range 10 {
		r.HandleCallerPacket(now, openingFrom(800+caller))
	}
}

// A first opening packet that waited at the link in, or in the socket of a process without
// processor time, may be older than its copy, which another balancer may have placed.
func TestNewFlowsAreRefusedOnlyWhilePacketsArrivePromptly(t *testing.T) {
	type result struct {
		Kind   steer.ActionKind
		Reason steer.Reason
	}
	full := func() *steer.Router {
		r := uploadRouter(agents("svc", 10)...)
		open(r, 1, steer.LinkBusy) // others wait, which makes ticks due
		return r
	}
	// afterNotices returns a router on whose link notices take a time, which is then full.
	afterNotices := func(delay time.Duration) *steer.Router {
		r := uploadRouter(agents("svc", 10)...)
		for i := range 50 {
			at := start.Add(time.Duration(i-55) * 100 * time.Millisecond)
			caller := 600 + i
			r.HandleCallerPacket(at, openingFrom(caller))
			e, payload := notice(openingFrom(caller), endpoint(10))
			r.HandleAgentMessage(at.Add(delay), e, payload, parse)
			r.HandleCallerPacket(at.Add(delay), finish(caller))
		}
		for caller := 1; caller < 20; caller++ {
			for i := range 3 { // uploads that the fabric moved here
				r.HandleCallerPacket(start, uploadPacket(caller, i))
			}
		}
		return r
	}
	tests := map[string]struct {
		router func() *steer.Router
		at     time.Duration
		want   result
	}{
		"ticks are in time": {
			func() *steer.Router {
				r := full()
				r.Tick(start.Add(100 * time.Millisecond))
				refill(r, start.Add(100*time.Millisecond))
				return r
			}, 101 * time.Millisecond, result{steer.Reset, steer.LinkBusy},
		},
		"a tick is late": {full, 125 * time.Millisecond, result{steer.Drop, steer.LinkLate}},
		"the last tick was late": {
			func() *steer.Router {
				r := full()
				r.Tick(start.Add(125 * time.Millisecond))
				refill(r, start.Add(125*time.Millisecond))
				return r
			}, 126 * time.Millisecond, result{steer.Drop, steer.LinkLate},
		},
		"a tick was late some time ago": {
			func() *steer.Router {
				r := full()
				r.Tick(start.Add(125 * time.Millisecond))
				refill(r, start.Add(125*time.Millisecond))
				return r
			}, 225 * time.Millisecond, result{steer.Reset, steer.LinkBusy},
		},
		"notices come before callers repeat an opening packet": {
			func() *steer.Router { return afterNotices(175 * time.Millisecond) }, 0, result{steer.Reset, steer.LinkBusy},
		},
		"notices take as long as that": {
			func() *steer.Router { return afterNotices(190 * time.Millisecond) }, 0, result{steer.Drop, steer.LinkLate},
		},
		"the link is slow": {
			func() *steer.Router {
				r := narrowRouter(steer.WithLinkRate(narrowLink))
				lateness(r, narrowLink, 0.8, func(int) bool { return true })
				now := start.Add(time.Second)
				for i := range uploadPackets {
					r.HandleCallerPacket(now, uploadPacket(0, i))
				}
				r.Tick(now)
				return r
			}, time.Second, result{steer.Drop, steer.LinkLate},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			r := test.router()
			p := openingFrom(500)
			var got result
			for _, a := range r.HandleCallerPacket(start.Add(test.at), p) {
				if a.Key == p.KeyFromCaller() {
					got = result{a.Kind, a.Reason}
				}
			}
			if diff := cmp.Diff(test.want, got); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// A flow that was dropped because it might be open elsewhere is not placed either while the
// link is full, and placed as a copy when there is room.
func TestCopiesOfDroppedFlowsWaitForRoom(t *testing.T) {
	r := uploadRouter(agents("svc", 10)...)
	placed, _ := open(r, 1, steer.LinkBusy)
	late := start.Add(125 * time.Millisecond) // a tick was due after 100 ms
	p := openingFrom(500)
	if got := r.HandleCallerPacket(late, p); got[0].Reason != steer.LinkLate {
		t.Fatalf("got %+v", got[0])
	}
	refill(r, late)
	p.SinceFirstSent = 200 * time.Millisecond
	if got := r.HandleCallerPacket(late.Add(time.Millisecond), p); len(got) != 1 || got[0].Reason != steer.LinkLate {
		t.Errorf("got %+v while the link is full", got)
	}
	for caller := 1; caller < placed; caller++ {
		r.HandleCallerPacket(late.Add(2*time.Millisecond), finish(caller))
	}
	for caller := range 10 {
		r.HandleCallerPacket(late.Add(3*time.Millisecond), finish(800+caller))
	}
	r.Tick(late.Add(500 * time.Millisecond))
	p.SinceFirstSent = 600 * time.Millisecond
	got := r.HandleCallerPacket(late.Add(600*time.Millisecond), p)
	if len(got) != 1 || got[0].Reason != steer.Placed || !got[0].Envelope.MaybeDuplicate {
		t.Errorf("got %+v with room", got)
	}
}

// The wait of a flow may end in time, and the link may have become slow since its arrival.
func TestAWaitingFlowIsPlacedIfNoticesBecameSlow(t *testing.T) {
	r := uploadRouter(agents("svc", 10)...)
	waiting, _ := open(r, 1, steer.LinkQueued)
	known := openingFrom(700)
	known.SinceFirstSent = 200 * time.Millisecond
	for i := range 10 { // copies, which are always placed
		known.Source.Port++
		r.HandleCallerPacket(start, known)
		e, payload := notice(known, endpoint(10))
		r.HandleAgentMessage(start.Add(95*time.Millisecond+time.Duration(i)), e, payload, parse)
	}
	var got []steer.Action
	for _, a := range r.Tick(start.Add(119 * time.Millisecond)) {
		if a.Key == openingFrom(waiting).KeyFromCaller() {
			got = append(got, a)
		}
	}
	if len(got) != 1 || got[0].Reason != steer.Placed || !got[0].Envelope.MaybeDuplicate {
		t.Errorf("got %+v", got)
	}
}
