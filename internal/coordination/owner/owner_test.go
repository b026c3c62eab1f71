package owner_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"github.com/coriandershift/coriandershift/internal/coordination/owner"
	"github.com/coriandershift/coriandershift/internal/protocol/fwdmsg"
	"github.com/coriandershift/coriandershift/internal/state/config"
	"github.com/coriandershift/coriandershift/internal/state/flow"
)

var (
	start    = time.Unix(1_800_000_000, 0)
	self     = endpoint(10)
	balancer = endpoint(1)
	service  = flow.Endpoint{IP: [4]byte{198, 18, 0, 1}, Port: 443}
)

const upstreamStart = 7_000_000 // sequence number

// bornAt is the start time in Unix milliseconds of the usual upstream, bornLater that of
// its next incarnation and bornEarlier that of its previous one.
var (
	bornAt      = start.Add(-500 * time.Millisecond).UnixMilli()
	bornLater   = bornAt + 400
	bornEarlier = bornAt - 10_000
)

func endpoint(lastOctet byte) flow.Endpoint {
	return flow.Endpoint{IP: [4]byte{10, 0, 0, lastOctet}, Port: 7000}
}

func newConfig(revision uint64, change func(*config.Config)) *config.Config {
	c := &config.Config{
		Revision: revision,
		Services: []config.Service{{Name: "svc"}},
		Routes: []config.Route{{
			Name: "r", Address: service.AddrPort(), Kind: config.Idempotent, Priority: 2, Objective: 200, Timeout: 2500,
			Shares: []config.Share{{Service: "svc", Weight: 1}},
		}},
	}
	if change != nil {
		change(c)
	}
	return c
}

func announcement(change func(*flow.Announcement)) flow.Announcement {
	a := flow.Announcement{ID: "i-1", StartedUnixMilli: bornAt, Service: "svc", Slots: 2, State: flow.Serving, Sequence: 1}
	if change != nil {
		change(&a)
	}
	return a
}

// newServingOwner returns an Owner that accepts new flows.
func newServingOwner() *owner.Owner {
	o := owner.New(owner.Settings{Self: self, Domain: "a", Service: "svc"}, start.Add(-time.Minute))
	o.Configure(start, newConfig(1, nil))
	o.HandleAnnouncement(start, announcement(nil))
	return o
}

func envelope(next ...flow.Endpoint) *fwdmsg.Envelope {
	e := &fwdmsg.Envelope{Kind: fwdmsg.CallerPacket, Revision: 1, ServiceHash: config.ServiceHash("svc"), Balancer: balancer, WantNotice: true}
	e.RankCount = copy(e.Ranks[:], next)
	return e
}

func packet(port uint16, change func(*flow.Packet)) *flow.Packet {
	p := &flow.Packet{
		Source: flow.Endpoint{IP: [4]byte{100, 64, 0, 7}, Port: port}, Destination: service,
		Sequence: 1000, Raw: []byte{byte(port >> 8), byte(port)},
	}
	change(p)
	return p
}

func opening(port uint16) *flow.Packet {
	return packet(port, func(p *flow.Packet) { p.Open = true })
}

func requestData(port uint16) *flow.Packet {
	return packet(port, func(p *flow.Packet) {
		p.Ack, p.Acknowledged, p.Sequence, p.DataLength = true, upstreamStart+1, 1001, 100
	})
}

func fromUpstream(port uint16, change func(*flow.Packet)) *flow.Packet {
	p := packet(port, change)
	p.Source, p.Destination = p.Destination, p.Source
	return p
}

func openingAnswer(port uint16) *flow.Packet {
	return fromUpstream(port, func(p *flow.Packet) { p.Open, p.Ack, p.Sequence = true, true, upstreamStart })
}

func responseData(port uint16) *flow.Packet {
	return fromUpstream(port, func(p *flow.Packet) { p.Ack, p.Sequence, p.DataLength = true, upstreamStart+1, 200 })
}

func bounce(p *flow.Packet, tag uint32) *flow.Packet {
	back := *p
	back.Bounced, back.Tag = true, tag
	return &back
}

// open opens a flow and delivers its request to the upstream.
func open(t *testing.T, o *owner.Owner, now time.Time, port uint16) {
	t.Helper()
	if got := kinds(o.HandleBalancerPacket(now, envelope(), opening(port))); got[0] != owner.Deliver {
		t.Fatalf("flow %d was not opened: %v", port, got)
	}
	o.HandleUpstreamPacket(now, openingAnswer(port))
	o.HandleBalancerPacket(now, envelope(), requestData(port))
}

func kinds(actions []owner.Action) []owner.ActionKind {
	var list []owner.ActionKind
	for _, a := range actions {
		list = append(list, a.Kind)
	}
	return list
}

func firstAction(actions []owner.Action) (owner.ActionKind, owner.Reason) {
	if len(actions) == 0 {
		return owner.Drop, "none"
	}
	return actions[0].Kind, actions[0].Reason
}

func TestAFlowFromOpeningToEnd(t *testing.T) {
	o := newServingOwner()
	if diff := cmp.Diff([]owner.ActionKind{owner.Deliver, owner.Notify}, kinds(o.HandleBalancerPacket(start, envelope(), opening(1)))); diff != "" {
		t.Error(diff)
	}
	if diff := cmp.Diff([]owner.ActionKind{owner.Answer}, kinds(o.HandleUpstreamPacket(start, openingAnswer(1)))); diff != "" {
		t.Error(diff)
	}
	o.HandleBalancerPacket(start, envelope(), requestData(1))
	if o.RequestCount() != 1 {
		t.Errorf("%d requests, want 1", o.RequestCount())
	}

	now := start.Add(30 * time.Millisecond)
	o.HandleUpstreamPacket(now, responseData(1))
	done := o.TakeCompletions()
	if o.RequestCount() != 0 || len(done) != 1 || done[0].Duration != 30*time.Millisecond || done[0].Kind != config.Idempotent {
		t.Errorf("requests %d, completions %+v", o.RequestCount(), done)
	}

	o.HandleBalancerPacket(now, envelope(), packet(1, func(p *flow.Packet) { p.Finish, p.Ack, p.Acknowledged = true, true, upstreamStart+201 }))
	o.HandleUpstreamPacket(now, fromUpstream(1, func(p *flow.Packet) { p.Finish = true }))
	o.Tick(now.Add(10 * time.Second))
	if o.FlowCount() != 0 {
		t.Error("a closed flow is still in the table")
	}
}

func TestAFlowThatMayNotOpenHereIsForwarded(t *testing.T) {
	tests := map[string]struct {
		prepare  func(*owner.Owner)
		envelope func(*fwdmsg.Envelope)
		want     owner.Reason
	}{
		"the upstream drains": {func(o *owner.Owner) {
			o.HandleAnnouncement(start, announcement(func(a *flow.Announcement) { a.State, a.Sequence = flow.Draining, 2 }))
		}, nil, owner.UpstreamDraining},
		"the upstream has departed": {func(o *owner.Owner) { o.HandleDeparture(start, "i-1") }, nil, owner.NoUpstream},
		"the failure domain is out": {func(o *owner.Owner) {
			o.Configure(start, newConfig(2, func(c *config.Config) { c.Domains = []config.Domain{{Name: "a", Number: 1, Out: true}} }))
		}, nil, owner.DomainOut},
		"the route is dropped": {func(o *owner.Owner) {
			o.Configure(start, newConfig(2, func(c *config.Config) { c.Routes = nil }))
		}, nil, owner.RouteDropped},
		"the route leads elsewhere now": {func(o *owner.Owner) {
			o.Configure(start, newConfig(2, func(c *config.Config) { c.Routes[0].Shares[0].Service = "other" }))
		}, nil, owner.WrongService},
		"the balancer means another service": {nil, func(e *fwdmsg.Envelope) { e.ServiceHash = 1 }, owner.WrongService},
		"the agent stops":                    {func(o *owner.Owner) { o.Stop(start) }, nil, owner.AgentStopping},
		"the connection limit is reached": {func(o *owner.Owner) {
			o.Configure(start, newConfig(2, func(c *config.Config) { c.Services[0].Limits.Connections = 1 }))
			o.HandleBalancerPacket(start, envelope(), opening(9))
		}, nil, owner.TableFull},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			o := newServingOwner()
			if test.prepare != nil {
				test.prepare(o)
			}
			e := envelope(endpoint(11))
			if test.envelope != nil {
				test.envelope(e)
			}
			got := o.HandleBalancerPacket(start, e, opening(1))
			if kind, reason := firstAction(got); kind != owner.Forward || reason != test.want || got[0].To != endpoint(11) {
				t.Errorf("got %+v, want it forwarded for %q", got, test.want)
			}
		})
	}
}

func TestAFlowRoutedByALaterConfigurationIsDelivered(t *testing.T) {
	o := newServingOwner()
	o.Configure(start, newConfig(2, func(c *config.Config) { c.Routes = nil }))
	e := envelope()
	e.Revision = 3
	if kind, reason := firstAction(o.HandleBalancerPacket(start, e, opening(1))); kind != owner.Deliver {
		t.Errorf("got %v for %q", kind, reason)
	}
}

func TestDroppedRoutesResetTheirFlows(t *testing.T) {
	o := newServingOwner()
	open(t, o, start.Add(-config.ChangeBound), 1)
	got := o.Configure(start, newConfig(2, func(c *config.Config) { c.Routes = nil }))
	if kind, reason := firstAction(got); kind != owner.Reset || reason != owner.RouteDropped || got[0].Sequence != upstreamStart+1 {
		t.Errorf("got %+v", got)
	}
}

func TestOpenFlowsSurviveDrainingAndADomainThatIsOut(t *testing.T) {
	o := newServingOwner()
	open(t, o, start, 1)
	o.HandleAnnouncement(start, announcement(func(a *flow.Announcement) { a.State, a.Sequence = flow.Draining, 2 }))
	o.Configure(start, newConfig(2, func(c *config.Config) { c.Domains = []config.Domain{{Name: "a", Number: 1, Out: true}} }))
	if kind, _ := firstAction(o.HandleBalancerPacket(start, envelope(), requestData(1))); kind != owner.Deliver {
		t.Error("a packet of an open flow was not delivered")
	}
}

func TestAnnouncements(t *testing.T) {
	tests := map[string]struct {
		next func(*flow.Announcement)
		want bool
	}{
		"the next one":                      {func(a *flow.Announcement) { a.Sequence = 2 }, true},
		"a late one":                        {func(a *flow.Announcement) { a.Sequence = 0 }, false},
		"the same again":                    {nil, false},
		"a new incarnation":                 {func(a *flow.Announcement) { a.ID, a.StartedUnixMilli = "i-2", bornLater }, true},
		"the same ID, started anew":         {func(a *flow.Announcement) { a.StartedUnixMilli = bornLater }, true},
		"an older incarnation, delayed":     {func(a *flow.Announcement) { a.ID, a.StartedUnixMilli, a.Sequence = "i-0", bornEarlier, 99 }, false},
		"the same ID, an older incarnation": {func(a *flow.Announcement) { a.StartedUnixMilli, a.Sequence = bornEarlier, 99 }, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			o := newServingOwner()
			if got, _ := o.HandleAnnouncement(start, announcement(test.next)); got != test.want {
				t.Errorf("got %v, want %v", got, test.want)
			}
		})
	}
}

func TestADelayedAnnouncementIsIgnoredAfterTheDeparture(t *testing.T) {
	o := newServingOwner()
	o.HandleDeparture(start, "i-1")
	if newer, _ := o.HandleAnnouncement(start, announcement(func(a *flow.Announcement) { a.Sequence = 2 })); newer || o.Accepting() {
		t.Error("an upstream that has departed is used again")
	}
}

// Guards against a reset of flows that an upstream got between its start and its first
// announcement, while the agent still took it for its predecessor.
func TestANewIncarnationEndsTheFlowsOfTheOld(t *testing.T) {
	bornAfter := func(d time.Duration) int64 { return start.Add(d).UnixMilli() }
	tests := map[string]struct {
		born  int64 // of the new incarnation, in Unix milliseconds
		ended bool  // the flow, which is opened 500 ms after the old one's last announcement
	}{
		"it started after the flow":  {bornAfter(600 * time.Millisecond), true},
		"it started before the flow": {bornAfter(400 * time.Millisecond), false},
		"its start is in the future": {bornAfter(time.Hour), false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			o := newServingOwner()
			open(t, o, start.Add(-time.Second), 1)
			open(t, o, start.Add(500*time.Millisecond), 2)
			_, got := o.HandleAnnouncement(start.Add(time.Second), announcement(func(a *flow.Announcement) { a.StartedUnixMilli = test.born }))
			want := []owner.Action{{Kind: owner.Reset, Reason: owner.UpstreamGone, Key: requestData(1).KeyFromCaller(), Sequence: upstreamStart + 1}}
			flows := 1
			if test.ended {
				want = append(want, want[0])
				want[1].Key = requestData(2).KeyFromCaller()
				flows = 0
			}
			byPort := cmpopts.SortSlices(func(a, b owner.Action) bool { return a.Key.Caller.Port < b.Key.Caller.Port })
			if diff := cmp.Diff(want, got, byPort, cmpopts.IgnoreFields(owner.Action{}, "Load")); diff != "" {
				t.Error(diff)
			}
			if o.RequestCount() != flows || o.FlowCount() != flows {
				t.Errorf("%d requests and %d flows are left, want %d", o.RequestCount(), o.FlowCount(), flows)
			}
		})
	}
}

// Guards against a late message by which an earlier incarnation of an ID announced its end:
// it was taken for that of the present one, whose announcements were ignored from then on
// and whose flows were denied.
func TestALateDepartureIsRevoked(t *testing.T) {
	next := func(sequence uint64, state flow.UpstreamState) flow.Announcement {
		return announcement(func(a *flow.Announcement) { a.Sequence, a.State = sequence, state })
	}
	tests := map[string]struct {
		draining bool // before the departure
		after    time.Duration
		revoked  bool
	}{
		"it serves on":                        {false, 2 * time.Second, true},
		"an announcement that was on its way": {false, 500 * time.Millisecond, false},
		"it had announced that it drains":     {true, 2 * time.Second, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			o := newServingOwner()
			open(t, o, start, 1)
			if test.draining {
				o.HandleAnnouncement(start, next(2, flow.Draining))
			}
			o.HandleDeparture(start, "i-1")
			if got := o.NoFlows(); got != test.draining {
				t.Errorf("after the departure: certain to hold no flows: %v, want %v", got, test.draining)
			}
			if got := o.UpstreamSuspected(start); got == test.draining {
				t.Errorf("after the departure: to be probed: %v", got)
			}
			accepted, _ := o.HandleAnnouncement(start.Add(test.after), next(3, flow.Serving))
			if accepted != test.revoked || o.Accepting() != test.revoked {
				t.Errorf("announcement accepted: %v, new flows: %v, want %v", accepted, o.Accepting(), test.revoked)
			}
			if kind, _ := firstAction(o.HandleBalancerPacket(start.Add(test.after), envelope(), requestData(1))); kind != owner.Deliver {
				t.Errorf("a packet of the open flow: got %v", kind)
			}
		})
	}
}

// Copies of an opening packet may reach two upstreams; the caller goes on with one of them.
func TestPacketsOfAFlowThatIsOpenElsewhereArePassedOn(t *testing.T) {
	o := newServingOwner()
	o.HandleBalancerPacket(start, envelope(), opening(1))
	o.HandleUpstreamPacket(start, openingAnswer(1))
	p := requestData(1)
	p.Acknowledged = upstreamStart - 1_000_000
	got := o.HandleBalancerPacket(start, envelope(endpoint(11)), p)
	if kind, reason := firstAction(got); kind != owner.Forward || reason != owner.NotHeld || got[0].To != endpoint(11) {
		t.Errorf("got %+v", got)
	}
}

func TestThePacketsOfAnUnknownFlowReturnToTheBalancerIfNoAgentIsLeft(t *testing.T) {
	o := newServingOwner()
	got := o.HandleBalancerPacket(start, envelope(), requestData(1))
	if len(got) != 1 || got[0].To != balancer || got[0].Envelope.Kind != fwdmsg.ReturnedPacket || got[0].Envelope.Uncertain {
		t.Errorf("got %+v", got)
	}
}

func TestAnAgentThatRestartedAsksItsUpstream(t *testing.T) {
	restarted := func() *owner.Owner {
		o := owner.New(owner.Settings{Self: self, Domain: "a", Service: "svc"}, start)
		o.Configure(start, newConfig(1, nil))
		o.HandleAnnouncement(start, announcement(func(a *flow.Announcement) { a.Sequence = 40 }))
		return o
	}

	t.Run("it has the flow", func(t *testing.T) {
		o := restarted()
		if kind, reason := firstAction(o.HandleBalancerPacket(start, envelope(), requestData(1))); kind != owner.Deliver || reason != owner.Offered {
			t.Fatalf("got %v for %q", kind, reason)
		}
		o.HandleUpstreamPacket(start, responseData(1))
		if kind, reason := firstAction(o.HandleBalancerPacket(start, envelope(), requestData(1))); kind != owner.Deliver || reason != "" {
			t.Errorf("got %v for %q", kind, reason)
		}
	})

	t.Run("it does not", func(t *testing.T) {
		o := restarted()
		tag := o.HandleBalancerPacket(start, envelope(endpoint(11)), requestData(1))[0].Tag
		got := o.HandleUpstreamPacket(start, bounce(requestData(1), tag))
		if kind, _ := firstAction(got); kind != owner.Forward || got[0].To != endpoint(11) {
			t.Errorf("got %+v", got)
		}
	})

	// Agents offered packets of open flows to upstreams that had just started and never
	// had them, so that open flows were reset or delivered to another upstream.
	t.Run("a fresh upstream is not asked", func(t *testing.T) {
		o := newServingOwner()
		if kind, reason := firstAction(o.HandleBalancerPacket(start, envelope(), requestData(1))); kind != owner.Forward || reason != owner.NotHeld {
			t.Errorf("got %v for %q", kind, reason)
		}
	})
}

func TestAReturnedPacketSaysWhetherTheAgentIsUncertain(t *testing.T) {
	tests := map[string]struct {
		prepare func(*owner.Owner)
		want    bool // Uncertain
	}{
		"its upstream is not heard of yet": {func(*owner.Owner) {}, true},
		"nothing listens at its address":   {func(o *owner.Owner) { o.HandleUpstreamGone() }, false},
		"its upstream started after it":    {func(o *owner.Owner) { o.HandleAnnouncement(start, announcement(nil)) }, false},
		"its upstream has departed": {func(o *owner.Owner) {
			o.HandleAnnouncement(start, announcement(func(a *flow.Announcement) { a.State = flow.Draining }))
			o.HandleDeparture(start, "i-1")
		}, false},
		"it may have departed": {func(o *owner.Owner) { o.HandleAnnouncement(start, announcement(nil)); o.HandleDeparture(start, "i-1") }, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			o := owner.New(owner.Settings{Self: self, Domain: "a", Service: "svc"}, start)
			o.Configure(start, newConfig(1, nil))
			test.prepare(o)
			got := o.HandleBalancerPacket(start, envelope(), requestData(1))
			if got[0].Envelope.Uncertain != test.want {
				t.Errorf("Uncertain is %v, want %v", got[0].Envelope.Uncertain, test.want)
			}
		})
	}
}

func TestAnUnansweredOpeningPacketIsForwarded(t *testing.T) {
	o := newServingOwner()
	o.HandleBalancerPacket(start, envelope(endpoint(11)), opening(1))
	due, ok := o.NextTick()
	if !ok {
		t.Fatal("no tick is due")
	}
	got := o.Tick(due)
	if kind, reason := firstAction(got); kind != owner.Forward || reason != owner.NoAnswer || o.RequestCount() != 0 {
		t.Errorf("got %+v, %d requests", got, o.RequestCount())
	}
}

// Agents whose upstream bounced packets while it started never accepted flows again:
// they reported that they accept none, so no opening packet came that could have
// shown the upstream to be running.
func TestASilentUpstreamIsTriedAgainAfterItsNextAnnouncement(t *testing.T) {
	o := newServingOwner()
	for port := uint16(1); port <= 3; port++ {
		o.HandleBalancerPacket(start, envelope(endpoint(11)), opening(port))
		o.HandleUpstreamPacket(start, bounce(opening(port), 0))
	}
	if o.Accepting() || !o.UpstreamSuspected(start) {
		t.Fatal("the upstream is not suspected after three bounced packets")
	}
	if kind, reason := firstAction(o.HandleBalancerPacket(start, envelope(endpoint(11)), opening(4))); kind != owner.Forward || reason != owner.UpstreamSilent {
		t.Errorf("got %v for %q", kind, reason)
	}

	o.HandleAnnouncement(start, announcement(func(a *flow.Announcement) { a.Sequence = 2 }))
	if !o.Accepting() {
		t.Fatal("no new flow is accepted after an announcement")
	}
	open(t, o, start, 5)
	if o.UpstreamSuspected(start) {
		t.Error("the upstream is still suspected after an answer")
	}
}

func TestAnUpstreamThatStopsAnnouncingItselfIsNotUsed(t *testing.T) {
	o := newServingOwner()
	o.Tick(start.Add(5 * time.Second))
	if o.Accepting() || !o.UpstreamSuspected(start.Add(5*time.Second)) {
		t.Error("an upstream that was silent for 5 s is used")
	}
}

func TestTheRampOfAColdUpstreamHoldsInAnySecond(t *testing.T) {
	const perSecond = 6
	o := owner.New(owner.Settings{Self: self, Domain: "a", Service: "svc"}, start.Add(-time.Minute))
	o.Configure(start, newConfig(1, func(c *config.Config) { c.Services[0].Limits.ColdPerSecond = perSecond }))
	o.HandleAnnouncement(start, announcement(func(a *flow.Announcement) { a.Slots, a.WarmUpLeft = 500, 10*time.Second }))

	var admitted []time.Time
	for i := range 5000 {
		now := start.Add(time.Duration(i) * time.Millisecond)
		port := uint16(i + 1)
		for _, a := range o.HandleBalancerPacket(now, envelope(endpoint(11)), opening(port)) {
			if a.Kind == owner.Deliver {
				admitted = append(admitted, now)
				o.HandleUpstreamPacket(now, openingAnswer(port))
			}
		}
	}
	for i := range admitted {
		if i >= perSecond && admitted[i].Sub(admitted[i-perSecond]) <= time.Second {
			t.Fatalf("%d flows within %v", perSecond+1, admitted[i].Sub(admitted[i-perSecond]))
		}
	}
	if len(admitted) < 4*perSecond {
		t.Errorf("%d flows in 5 s, want at least %d", len(admitted), 4*perSecond)
	}
	if admitted[0].Sub(start) < time.Second {
		t.Error("a flow was admitted within 1 s of the first announcement, although earlier ones may fill the limit")
	}
}

func TestAColdUpstreamWaitsForAConfiguration(t *testing.T) {
	o := owner.New(owner.Settings{Self: self, Domain: "a", Service: "svc"}, start)
	o.HandleAnnouncement(start, announcement(func(a *flow.Announcement) { a.WarmUpLeft = 2 * time.Second }))
	if kind, reason := firstAction(o.HandleBalancerPacket(start, envelope(endpoint(11)), opening(1))); kind != owner.Hold || reason != owner.Queued {
		t.Fatalf("got %v for %q", kind, reason)
	}
	o.Configure(start, newConfig(1, nil))
	if kind, reason := firstAction(o.Tick(start.Add(50 * time.Millisecond))); kind != owner.Deliver || reason != owner.Opened {
		t.Errorf("got %v for %q", kind, reason)
	}
}

func TestAnUpstreamThatListensAgainIsUsedAgain(t *testing.T) {
	o := newServingOwner()
	open(t, o, start, 1)
	if kind, reason := firstAction(o.HandleUpstreamGone()); kind != owner.Reset || reason != owner.UpstreamGone {
		t.Errorf("got %v for %q", kind, reason)
	}
	if !o.NoFlows() || o.Accepting() {
		t.Error("an upstream that is gone is still used")
	}
	o.HandleAnnouncement(start, announcement(func(a *flow.Announcement) { a.Sequence = 2 }))
	if o.NoFlows() || !o.Accepting() {
		t.Error("an upstream that announces itself again is not used")
	}
}

// Found by the simulation in package model (seed 1): a copy of an opening packet had
// reached a second upstream, and when that one ended its agent reset the flow that was
// open at the first.
func TestTheEndOfAnUpstreamSparesFlowsThatAreOpenElsewhere(t *testing.T) {
	o := newServingOwner()
	o.HandleBalancerPacket(start, envelope(), opening(1))
	o.HandleUpstreamPacket(start, openingAnswer(1))
	if got := o.HandleUpstreamGone(); len(got) != 0 {
		t.Errorf("got %+v", got)
	}
}

// Found by the simulation in package model (seed 1): the same fault, before the second
// upstream had answered.
func TestAnUnansweredOpeningPacketMakesNoFlow(t *testing.T) {
	o := newServingOwner()
	o.HandleBalancerPacket(start, envelope(), opening(1))
	if kind, reason := firstAction(o.HandleBalancerPacket(start, envelope(endpoint(11)), requestData(1))); kind != owner.Forward || reason != owner.NotHeld {
		t.Errorf("got %v for %q", kind, reason)
	}
}

// Flows that had ended, or whose callers never completed the handshake, counted against
// the upstream's connections until they were removed from the table.
func TestOnlyFlowsThatTheUpstreamHoldsCountAsConnections(t *testing.T) {
	o := newServingOwner()
	o.Configure(start, newConfig(2, func(c *config.Config) { c.Services[0].Limits.Connections = 2 }))
	for port := uint16(1); port < 50; port++ {
		runWholeFlow(o, port)
	}
	for port := uint16(100); port < 102; port++ {
		open(t, o, start, port)
	}
	if kind, reason := firstAction(o.HandleBalancerPacket(start, envelope(endpoint(11)), opening(200))); kind != owner.Forward || reason != owner.TableFull {
		t.Errorf("got %v for %q", kind, reason)
	}
}

func TestAFlowWhoseHandshakeIsNotCompletedIsSoonRemoved(t *testing.T) {
	o := newServingOwner()
	o.HandleBalancerPacket(start, envelope(), opening(1))
	o.HandleUpstreamPacket(start, openingAnswer(1))
	o.HandleAnnouncement(start.Add(9*time.Second), announcement(func(a *flow.Announcement) { a.Sequence = 2 }))
	o.Tick(start.Add(10 * time.Second))
	if o.FlowCount() != 0 {
		t.Error("the flow is still in the table after 10 s")
	}
}

// Guards against an upstream that is ignored for good because it started after the time of
// day was set back, so that it seems to be older than its predecessor.
func TestAnUpstreamThatSeemsOlderReplacesASilentOne(t *testing.T) {
	older := func(sequence uint64) flow.Announcement {
		return announcement(func(a *flow.Announcement) { a.ID, a.StartedUnixMilli, a.Sequence = "i-0", bornEarlier, sequence })
	}
	tests := map[string]struct {
		silence   time.Duration // of the known upstream, when the first of the others arrives
		sequences []uint64      // of the announcements of the other one, a second apart
		want      bool          // the last of them counts
	}{
		"the known one announces itself":       {time.Second, []uint64{1, 2, 3}, false},
		"it is silent, one announcement":       {5 * time.Second, []uint64{1}, false},
		"it is silent, two announcements":      {5 * time.Second, []uint64{1, 2}, true},
		"it is silent, a late copy of the one": {5 * time.Second, []uint64{2, 2}, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			o := newServingOwner()
			got := false
			for i, sequence := range test.sequences {
				got, _ = o.HandleAnnouncement(start.Add(test.silence+time.Duration(i)*time.Second), older(sequence))
			}
			if got != test.want {
				t.Errorf("got %v, want %v", got, test.want)
			}
		})
	}
}
