package owner_test

import (
	"slices"
	"testing"
	"time"

	"github.com/coriandershift/coriandershift/internal/coordination/owner"
	"github.com/coriandershift/coriandershift/internal/state/config"
	"github.com/coriandershift/coriandershift/internal/state/flow"
)

// newFullOwner returns an Owner whose upstream has as many requests as it may have:
// 3 for its 2 slots.
func newFullOwner(t *testing.T) *owner.Owner {
	t.Helper()
	o := newServingOwner()
	for port := uint16(1); port <= 3; port++ {
		open(t, o, start, port)
	}
	return o
}

func TestAFullAgentForwardsAFlowWithItsLoad(t *testing.T) {
	got := newFullOwner(t).HandleBalancerPacket(start, envelope(endpoint(11)), opening(9))
	if kind, reason := firstAction(got); kind != owner.Forward || reason != owner.Full {
		t.Fatalf("got %+v", got)
	}
	if e := got[0].Envelope; e.LeastLoaded != self || e.MinLoadPercent != 150 {
		t.Errorf("least loaded is %v with %d, want the agent itself with 150", e.LeastLoaded, e.MinLoadPercent)
	}
}

func TestTheLastOfFullAgentsSendsAFlowToTheLeastLoaded(t *testing.T) {
	tests := map[string]struct {
		leastLoaded flow.Endpoint
		load        uint16
		want        owner.ActionKind
	}{
		"another is less loaded": {endpoint(11), 120, owner.Forward},
		"another is more loaded": {endpoint(11), 300, owner.Hold},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			e := envelope()
			e.LeastLoaded, e.MinLoadPercent = test.leastLoaded, test.load
			got := newFullOwner(t).HandleBalancerPacket(start, e, opening(9))
			if kind, _ := firstAction(got); kind != test.want {
				t.Fatalf("got %+v", got)
			}
			if test.want == owner.Forward && (got[0].To != test.leastLoaded || !got[0].Envelope.WaitHere) {
				t.Errorf("got %+v", got[0])
			}
		})
	}
}

func TestAWaitingFlowOpensWhenARequestEnds(t *testing.T) {
	o := newFullOwner(t)
	o.HandleBalancerPacket(start, envelope(), opening(9))
	got := o.HandleUpstreamPacket(start.Add(20*time.Millisecond), responseData(1))
	if len(got) != 2 || got[1].Kind != owner.Deliver || got[1].Key.Caller.Port != 9 {
		t.Errorf("got %+v", got)
	}
}

func TestACopyOfAWaitingOpeningPacketOnlyCausesANotice(t *testing.T) {
	o := newFullOwner(t)
	o.HandleBalancerPacket(start, envelope(), opening(9))
	if got := o.HandleBalancerPacket(start, envelope(), opening(9)); len(got) != 1 || got[0].Kind != owner.Notify {
		t.Errorf("got %+v", got)
	}
}

func TestAFlowThatCannotBeServedInTimeIsRefusedAtOnce(t *testing.T) {
	o := newFullOwner(t)
	var kind owner.ActionKind
	var reason owner.Reason
	for port := uint16(100); kind != owner.Reset; port++ {
		if port > 300 {
			t.Fatal("200 flows wait for 2 slots")
		}
		kind, reason = firstAction(o.HandleBalancerPacket(start, envelope(), opening(port)))
	}
	if reason != owner.Overloaded {
		t.Errorf("refused for %q", reason)
	}
}

// A second agent refused a flow that waited at the first one. The reset ended the
// caller's attempt, and the first agent then opened the flow in vain.
func TestAnOpeningPacketThatAnotherAgentMayHaveIsNotRefused(t *testing.T) {
	o := newServingOwner()
	o.HandleAnnouncement(start, announcement(func(a *flow.Announcement) { a.State, a.Sequence = flow.Draining, 2 }))
	e := envelope()
	e.MaybeDuplicate = true
	if kind, _ := firstAction(o.HandleBalancerPacket(start, e, opening(1))); kind != owner.Drop {
		t.Errorf("got %v", kind)
	}
	if kind, reason := firstAction(o.HandleBalancerPacket(start, envelope(), opening(2))); kind != owner.Reset || reason != owner.UpstreamDraining {
		t.Errorf("a packet that no other agent has: got %v for %q", kind, reason)
	}
}

// An upstream with three slots got one flow more, whatever handshakes and requests took, so
// that slots were idle while flows were refused.
func TestOpenFlowsCoverTheHandshakes(t *testing.T) {
	tests := map[string]struct {
		handshake, request time.Duration
		want               int
	}{
		"short handshakes":             {handshake: time.Millisecond, request: 100 * time.Millisecond, want: 4},
		"half as long as a request":    {handshake: 10 * time.Millisecond, request: 20 * time.Millisecond, want: 5},
		"longer than a request":        {handshake: 50 * time.Millisecond, request: 20 * time.Millisecond, want: 6},
		"as many as there are at most": {handshake: 50 * time.Millisecond, request: 5 * time.Millisecond, want: 6},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			o := owner.New(owner.Settings{Self: self, Domain: "a", Service: "svc"}, start.Add(-time.Minute))
			o.Configure(start, newConfig(1, nil))
			o.HandleAnnouncement(start, announcement(func(a *flow.Announcement) { a.Slots = 3 }))
			now := start
			for port := uint16(1); port <= 200; port++ {
				o.HandleBalancerPacket(now, envelope(), opening(port))
				o.HandleUpstreamPacket(now, openingAnswer(port))
				now = now.Add(test.handshake)
				o.HandleBalancerPacket(now, envelope(), requestData(port))
				now = now.Add(test.request)
				o.HandleUpstreamPacket(now, responseData(port))
			}

			opened := 0
			for port := uint16(1001); port <= 1010; port++ {
				if kind, _ := firstAction(o.HandleBalancerPacket(now, envelope(), opening(port))); kind == owner.Deliver {
					opened++
				}
			}
			if opened != test.want {
				t.Errorf("%d flows were opened, want %d", opened, test.want)
			}
		})
	}
}

func TestWaitingFlowsEndWithTheirCallers(t *testing.T) {
	tests := map[string]struct {
		kind    config.Kind
		timeout config.Milliseconds
		want    time.Duration
	}{
		"a third of an idempotent request's timeout": {config.Idempotent, 900, 300 * time.Millisecond},
		"another request's timeout":                  {config.NonIdempotent, 900, 900 * time.Millisecond},
		"what callers wait at most":                  {config.Download, 8000, 1200 * time.Millisecond},
		"no timeout":                                 {config.Idempotent, 0, 1200 * time.Millisecond},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			o := newFullOwner(t)
			o.Configure(start, newConfig(2, func(c *config.Config) { c.Routes[0].Kind, c.Routes[0].Timeout = test.kind, test.timeout }))
			o.HandleBalancerPacket(start, envelope(), opening(9))
			if hasReset(o.Tick(start.Add(test.want-time.Millisecond)), 9) {
				t.Error("the flow was refused too early")
			}
			if !hasReset(o.Tick(start.Add(test.want)), 9) {
				t.Error("the flow was not refused")
			}
		})
	}
}

// hasReset reports whether the caller at a port is reset.
func hasReset(actions []owner.Action, port uint16) bool {
	return slices.ContainsFunc(actions, func(a owner.Action) bool { return a.Kind == owner.Reset && a.Key.Caller.Port == port })
}

// Callers that had given up during the handshake kept their slots for a second and
// more, and the service collapsed after a surge.
func TestTheSlotOfACallerThatGaveUpIsSoonFree(t *testing.T) {
	o := newServingOwner()
	for port := uint16(1); port <= 3; port++ {
		o.HandleBalancerPacket(start, envelope(), opening(port))
		o.HandleUpstreamPacket(start, openingAnswer(port))
	}
	o.HandleBalancerPacket(start, envelope(), opening(9))
	due, _ := o.NextTick()
	for range 5 {
		if o.RequestCount() < 3 {
			break
		}
		o.Tick(due)
		due = due.Add(50 * time.Millisecond)
	}
	if due.Sub(start) > 200*time.Millisecond {
		t.Errorf("the slot is free after %v, want at most 200ms", due.Sub(start))
	}
}

func TestAFlowThatWaitedTooLongIsRefused(t *testing.T) {
	o := newFullOwner(t)
	o.HandleBalancerPacket(start, envelope(), opening(9))
	var reasons []owner.Reason
	for _, a := range o.Tick(start.Add(2 * time.Second)) {
		if a.Kind == owner.Reset && a.Key.Caller.Port == 9 {
			reasons = append(reasons, a.Reason)
		}
	}
	if len(reasons) != 1 || reasons[0] != owner.Expired {
		t.Errorf("got %v", reasons)
	}
}

func TestWaitingFlowsLeaveADrainingUpstream(t *testing.T) {
	o := newFullOwner(t)
	e := envelope()
	e.LeastLoaded, e.MinLoadPercent, e.WaitHere = self, 150, true
	o.HandleBalancerPacket(start, e, opening(9))
	_, got := o.HandleAnnouncement(start, announcement(func(a *flow.Announcement) { a.State, a.Sequence = flow.Draining, 2 }))
	if kind, reason := firstAction(got); kind != owner.Reset || reason != owner.UpstreamDraining {
		t.Errorf("got %+v", got)
	}
}

// A quarter of the objective, about one request, was the limit in bursts too: callers were
// refused three times within 30 ms, although all could have been answered in time.
func TestHowManyFlowsWait(t *testing.T) {
	// A request is assumed to take 50 ms until one was answered, the objective is
	// 200 ms, and two run at once.
	tests := map[string]struct {
		backlogFor time.Duration
		want       int
	}{
		"as many as can be answered in time in a burst":          {backlogFor: 0, want: 4},
		"up to a quarter of the objective in a lasting overload": {backlogFor: time.Second, want: 2},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			o := newFullOwner(t)
			waiting := 0
			at := start
			for port := uint16(100); port < 110; port++ {
				if kind, _ := firstAction(o.HandleBalancerPacket(at, envelope(), opening(port))); kind == owner.Hold {
					waiting++
				}
				at = start.Add(test.backlogFor)
			}
			if waiting != test.want {
				t.Errorf("%d flows wait, want %d", waiting, test.want)
			}
		})
	}
}

func TestALateFlowIsEvictedForAYoungerOne(t *testing.T) {
	o := newFullOwner(t)
	old := opening(100)
	old.SinceFirstSent = 600 * time.Millisecond
	o.HandleBalancerPacket(start, envelope(), old)
	for port := uint16(101); port < 104; port++ {
		o.HandleBalancerPacket(start, envelope(), opening(port))
	}

	got := o.HandleBalancerPacket(start, envelope(), opening(104))
	if kind, reason := firstAction(got); kind != owner.Reset || reason != owner.EvictedForYounger || got[0].Key.Caller.Port != 100 {
		t.Errorf("got %+v", got)
	}
	if last := got[len(got)-2]; last.Kind != owner.Hold || last.Key.Caller.Port != 104 {
		t.Errorf("got %+v", got)
	}
}

// Agents that had just started let callers wait for a second and more although they
// could not serve them. Only those that can be served within recoveryMaxWait are to wait.
func TestAnAgentThatJustStartedLetsMoreFlowsWaitAndRefusesTheRest(t *testing.T) {
	o := owner.New(owner.Settings{Self: self, Domain: "a", Service: "svc"}, start)
	o.Configure(start, newConfig(1, nil))
	o.HandleAnnouncement(start, announcement(nil))
	for port := uint16(1); port <= 3; port++ {
		open(t, o, start, port)
	}
	waiting := 0
	var kind owner.ActionKind
	var reason owner.Reason
	for port := uint16(100); port < 200; port++ {
		if kind, reason = firstAction(o.HandleBalancerPacket(start, envelope(), opening(port))); kind == owner.Hold {
			waiting++
		}
	}
	// At 50 ms a request and two at once, 32 are served within 0.8 s.
	if waiting != 32 {
		t.Errorf("%d flows wait, want 32", waiting)
	}
	if kind != owner.Reset || reason != owner.Overloaded {
		t.Errorf("got %v for %q", kind, reason)
	}
}

// Balancers that were not notified tried one agent after another while all were overloaded.
func TestABalancerIsNotifiedOfAnOverloadedAgent(t *testing.T) {
	o := newFullOwner(t)
	for port := uint16(100); port < 110; port++ {
		o.HandleBalancerPacket(start, envelope(), opening(port))
	}
	e := envelope()
	e.MaybeDuplicate = true
	got := o.HandleBalancerPacket(start, e, opening(1000))
	if len(got) != 2 || got[0].Kind != owner.Drop || got[1].Kind != owner.Notify || !got[1].Envelope.Refused {
		t.Errorf("got %+v", got)
	}
	if load := got[1].Envelope.Load; load != 7 {
		t.Errorf("load %d, want 7: 3 requests and 4 waiting flows", load)
	}
}

// The caller has reused its port, and the upstream still repeats packets of the earlier flow.
func TestAWaitingFlowReplacesAnEarlierOneThatItsUpstreamStillKnows(t *testing.T) {
	o := newServingOwner()
	for port := uint16(1); port <= 3; port++ { // 2 slots, and one more during a handshake
		handshake(o, start, port)
		o.HandleBalancerPacket(start, envelope(), requestData(port))
	}
	if kind, reason := firstAction(o.HandleBalancerPacket(start, envelope(), opening(4))); kind != owner.Hold {
		t.Fatalf("got %v, %v, want the flow to wait", kind, reason)
	}
	o.HandleUpstreamPacket(start, openingAnswer(4))
	o.HandleBalancerPacket(start, envelope(), requestData(4)) // the earlier flow counts
	for port := uint16(1); port <= 3; port++ {
		o.HandleUpstreamPacket(start.Add(10*time.Millisecond), responseData(port))
	}
	handshake(o, start, 4)
	o.HandleBalancerPacket(start, envelope(), requestData(4))
	o.HandleUpstreamPacket(start.Add(20*time.Millisecond), responseData(4))
	if o.RequestCount() != 0 {
		t.Errorf("%d requests, want 0", o.RequestCount())
	}
}
