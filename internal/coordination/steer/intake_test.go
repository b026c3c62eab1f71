package steer_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/coriandershift/coriandershift/internal/coordination/steer"
	"github.com/coriandershift/coriandershift/internal/state/flow"
	"github.com/coriandershift/coriandershift/internal/state/roster"
)

// uploadPackets is the number of packets of an upload of 40 KB.
const uploadPackets = 34

// openingFrom returns the opening packet of one of a thousand callers.
func openingFrom(caller int) *flow.Packet {
	return packet(uint16(1000+caller), func(p *flow.Packet) {
		p.Open, p.Source.IP[2], p.Source.IP[3] = true, byte(caller>>8), byte(caller)
	})
}

// uploadPacket returns a packet of data of a caller's upload.
func uploadPacket(caller, index int) *flow.Packet {
	p := openingFrom(caller)
	p.Open, p.Ack, p.Acknowledged = false, true, 1
	p.Sequence, p.DataLength, p.Raw = uint32(1001+1200*index), 1200, make([]byte, 1231)
	return p
}

func finish(caller int) *flow.Packet {
	p := openingFrom(caller)
	p.Open, p.Ack, p.Finish, p.Acknowledged = false, true, true, 301
	return p
}

// uploadRouter returns a converged router with a link of 10 Mbit/s that has carried an
// upload.
func uploadRouter(members ...roster.Member) *steer.Router {
	r := steer.New(self, "a", start.Add(-time.Minute), steer.WithLinkRate(1_250_000))
	r.Configure(start, newConfig(1, "svc"))
	r.UpdateMembers(start, members)
	r.Tick(start)
	before := start.Add(-10 * time.Second)
	r.HandleCallerPacket(before, openingFrom(0))
	e, payload := notice(openingFrom(0), endpoint(10))
	r.HandleAgentMessage(before, e, payload, parse)
	for i := range uploadPackets {
		r.HandleCallerPacket(before, uploadPacket(0, i))
	}
	r.HandleCallerPacket(before, finish(0))
	return r
}

// open places flows of new callers and returns the first action with another reason.
func open(r *steer.Router, firstCaller int, until steer.Reason) (caller int, action steer.Action) {
	for caller := firstCaller; caller < firstCaller+100; caller++ {
		if got := r.HandleCallerPacket(start, openingFrom(caller)); len(got) > 0 && got[0].Reason == until {
			return caller, got[0]
		}
		e, payload := notice(openingFrom(caller), endpoint(10))
		r.HandleAgentMessage(start, e, payload, parse)
	}
	return 0, steer.Action{}
}

func TestNewFlowsBeyondWhatTheLinkCarriesAreReset(t *testing.T) {
	r := uploadRouter(agents("svc", 10)...)
	caller, got := open(r, 1, steer.LinkBusy)
	want := steer.Action{Kind: steer.Reset, Reason: steer.LinkBusy, Key: openingFrom(caller).KeyFromCaller()}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
	if outstanding := r.OutstandingBytes(); outstanding[0] == 0 {
		t.Errorf("%v bytes are outstanding", outstanding)
	}
	for _, a := range r.Tick(start.Add(time.Second)) {
		if a.Key == want.Key && a.Kind == steer.Send {
			t.Errorf("the refused flow is placed later: %+v", a)
		}
	}
	if got := r.HandleCallerPacket(start, uploadPacket(caller, 0)); len(got) != 1 || got[0].Reason != steer.Lookup {
		t.Errorf("got %+v for data of the refused flow, want a lookup", got)
	}
}

func TestCopiesOfOpeningPacketsAreNotRefused(t *testing.T) {
	r := uploadRouter(agents("svc", 10)...)
	open(r, 1, steer.LinkBusy)

	placed := openingFrom(1)
	placed.SinceFirstSent = 200 * time.Millisecond
	if got := r.HandleCallerPacket(start, placed); len(got) != 1 || got[0].Kind != steer.Send {
		t.Errorf("copy of a placed one: got %+v", got)
	}
	elsewhere := openingFrom(500)
	elsewhere.SinceFirstSent = 200 * time.Millisecond
	if got := r.HandleCallerPacket(start, elsewhere); len(got) != 1 || got[0].Kind != steer.Send || !got[0].Envelope.MaybeDuplicate {
		t.Errorf("copy of one that another balancer may have placed: got %+v", got)
	}
}

func TestANewFlowWaitsForTheLinkAndIsPlacedOnce(t *testing.T) {
	r := uploadRouter(agents("svc", 10)...)
	caller, got := open(r, 1, steer.LinkQueued)
	if got.Kind != steer.Hold {
		t.Fatalf("got %+v", got)
	}
	again := openingFrom(caller)
	again.SinceFirstSent = 200 * time.Millisecond
	if got := r.HandleCallerPacket(start, again); len(got) > 0 {
		t.Errorf("copy of a waiting one: got %+v", got)
	}

	now := start.Add(50 * time.Millisecond)
	actions := r.HandleCallerPacket(now, finish(1))
	if len(actions) != 2 || actions[1].Reason != steer.Placed || actions[1].Key != openingFrom(caller).KeyFromCaller() {
		t.Errorf("got %+v, want the waiting flow to be placed after the finish", actions)
	}
	if got := r.HandleCallerPacket(now, uploadPacket(1, 0)); len(got) != 1 || got[0].Kind != steer.Send {
		t.Errorf("got %+v", got)
	}
}

func TestAFlowThatWaitsForTheLinkForTooLongIsReset(t *testing.T) {
	r := uploadRouter(agents("svc", 10)...)
	caller, _ := open(r, 1, steer.LinkQueued)
	due, pending := r.NextTick()
	if !pending || due.After(start.Add(100*time.Millisecond)) {
		t.Fatalf("due %v, pending %v", due.Sub(start), pending)
	}
	got := r.Tick(due)
	want := []steer.Action{{Kind: steer.Reset, Reason: steer.LinkBusy, Key: openingFrom(caller).KeyFromCaller()}}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
}

func TestWaitingFlowsOfARemovedRouteAreReset(t *testing.T) {
	r := uploadRouter(agents("svc", 10)...)
	open(r, 1, steer.LinkQueued)
	r.Configure(start, newConfig(2))
	got := r.Tick(start.Add(100 * time.Millisecond))
	if len(got) != 1 || got[0].Kind != steer.Reset || got[0].Reason != steer.NoRoute {
		t.Errorf("got %+v", got)
	}
}

func TestWithoutALinkRateAllNewFlowsArePlaced(t *testing.T) {
	r := convergedRouter(agents("svc", 10)...)
	for i := range uploadPackets {
		r.HandleCallerPacket(start, uploadPacket(0, i))
	}
	if caller, got := open(r, 1, steer.LinkBusy); caller != 0 {
		t.Errorf("got %+v", got)
	}
	if got := r.OutstandingBytes(); len(got) > 0 {
		t.Errorf("%v bytes are outstanding", got)
	}
}
