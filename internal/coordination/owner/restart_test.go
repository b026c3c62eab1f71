package owner_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/coriandershift/coriandershift/internal/coordination/owner"
	"github.com/coriandershift/coriandershift/internal/protocol/fwdmsg"
	"github.com/coriandershift/coriandershift/internal/state/config"
	"github.com/coriandershift/coriandershift/internal/state/flow"
)

// statusOf returns an agent's reply to a query about the flow of requestData.
func statusOf(o *owner.Owner, now time.Time, port uint16) fwdmsg.HeldStatus {
	question := fwdmsg.Question{Key: requestData(port).KeyFromCaller(), Acknowledged: upstreamStart + 1}
	return fwdmsg.HeldStatus(o.HandleQuery(now, &fwdmsg.Envelope{Kind: fwdmsg.Query, Balancer: balancer}, []fwdmsg.Question{question})[0].Packet[0])
}

// Guards against an agent that was restarted beside an upstream of low sequence numbers,
// took it for one without earlier flows, and denied the flows that its predecessor had
// opened there (review, case 3).
func TestOnlyAnAgentOlderThanItsUpstreamDeniesUnknownFlows(t *testing.T) {
	ago := func(d time.Duration) int64 { return start.Add(-d).UnixMilli() }
	tests := map[string]struct {
		agentAge time.Duration
		born     int64 // of the upstream, in Unix milliseconds
		sequence uint64
		want     fwdmsg.HeldStatus
	}{
		"the agent is older":                           {time.Minute, ago(500 * time.Millisecond), 1, fwdmsg.NotHeld},
		"the agent is older, announcements were lost":  {time.Minute, ago(2 * time.Second), 3, fwdmsg.NotHeld},
		"both started in the same millisecond":         {time.Second, ago(time.Second), 2, fwdmsg.NotHeld},
		"both started with their VM, a moment ago":     {10 * time.Millisecond, ago(50 * time.Millisecond), 3, fwdmsg.NotHeld},
		"both started with their VM, the agent slowly": {10 * time.Millisecond, ago(160 * time.Millisecond), 3, fwdmsg.Uncertain},
		"the agent is a little younger":                {time.Second, ago(time.Second + 30*time.Millisecond), 2, fwdmsg.Uncertain},
		"the agent is younger, second announcement":    {300 * time.Millisecond, ago(900 * time.Millisecond), 2, fwdmsg.Uncertain},
		"the agent is younger, first announcement":     {300 * time.Millisecond, ago(900 * time.Millisecond), 1, fwdmsg.Uncertain},
		"the agent is younger, many announcements":     {300 * time.Millisecond, ago(time.Minute), 80, fwdmsg.Uncertain},
		"the upstream does not tell":                   {30 * time.Second, 0, 1, fwdmsg.Uncertain},
		"the time was set back since":                  {300 * time.Millisecond, ago(-40 * time.Minute), 2, fwdmsg.Uncertain},
		"the time was set back, the upstream is old":   {300 * time.Millisecond, ago(200 * time.Millisecond), 4, fwdmsg.Uncertain},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			o := owner.New(owner.Settings{Self: self, Domain: "a", Service: "svc"}, start.Add(-test.agentAge))
			o.Configure(start, newConfig(1, nil))
			o.HandleAnnouncement(start, announcement(func(a *flow.Announcement) { a.StartedUnixMilli, a.Sequence = test.born, test.sequence }))
			if got := statusOf(o, start, 1); got != test.want {
				t.Errorf("got status %v, want %v", got, test.want)
			}
			wantReason := owner.NotHeld
			if test.want == fwdmsg.Uncertain {
				wantReason = owner.Offered
			}
			if _, reason := firstAction(o.HandleBalancerPacket(start, envelope(), requestData(1))); reason != wantReason {
				t.Errorf("a packet of an unknown flow: got %q, want %q", reason, wantReason)
			}
		})
	}
}

// Guards against an agent that says for as long as it runs that it cannot tell whether its
// upstream has a flow: callers of flows that are lost were then never told.
func TestARestartedAgentIsCertainOnceEarlierFlowsHaveEnded(t *testing.T) {
	o := owner.New(owner.Settings{Self: self, Domain: "a", Service: "svc"}, start)
	o.Configure(start, newConfig(1, nil))
	o.HandleAnnouncement(start, announcement(func(a *flow.Announcement) { a.Sequence = 40 }))
	got := map[string]fwdmsg.HeldStatus{
		"59 s after the start": statusOf(o, start.Add(59*time.Second), 1),
		"a minute after it":    statusOf(o, start.Add(time.Minute), 1),
	}
	want := map[string]fwdmsg.HeldStatus{"59 s after the start": fwdmsg.Uncertain, "a minute after it": fwdmsg.NotHeld}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
}

// newRestartedOwner returns an Owner that started beside an upstream which may hold flows.
func newRestartedOwner() *owner.Owner {
	o := owner.New(owner.Settings{Self: self, Domain: "a", Service: "svc"}, start)
	o.Configure(start, newConfig(1, nil))
	o.HandleAnnouncement(start, announcement(func(a *flow.Announcement) { a.Sequence = 40 }))
	return o
}

// laterData returns a request on a flow whose upstream has sent 5,000 bytes.
func laterData(port uint16) *flow.Packet {
	p := requestData(port)
	p.Acknowledged, p.Sequence = upstreamStart+5001, 3001
	return p
}

// Guards against an agent that was restarted, took a late copy of an opening packet for a
// new flow, and denied the flow that had long been open (review, case 4).
func TestALateCopyDoesNotHideAFlowFromARestartedAgent(t *testing.T) {
	question := []fwdmsg.Question{{Key: requestData(1).KeyFromCaller(), Acknowledged: upstreamStart + 5001}}
	status := func(o *owner.Owner) fwdmsg.HeldStatus {
		return fwdmsg.HeldStatus(o.HandleQuery(start, &fwdmsg.Envelope{Kind: fwdmsg.Query, Balancer: balancer}, question)[0].Packet[0])
	}
	laterAnswer := fromUpstream(1, func(p *flow.Packet) { p.Ack, p.Sequence, p.DataLength = true, upstreamStart+5001, 200 })
	tests := map[string]func(*owner.Owner){
		"a late copy": func(o *owner.Owner) {
			o.HandleBalancerPacket(start, envelope(), opening(1))
			o.HandleUpstreamPacket(start, openingAnswer(1))
		},
		"a late copy, its handshake has timed out": func(o *owner.Owner) {
			o.HandleBalancerPacket(start, envelope(), opening(1))
			o.HandleUpstreamPacket(start, openingAnswer(1))
			o.Tick(start.Add(time.Second))
		},
		"a late copy that is not answered yet": func(o *owner.Owner) {
			o.HandleBalancerPacket(start, envelope(), opening(1))
		},
		"a late copy after the upstream has shown the flow": func(o *owner.Owner) {
			o.HandleUpstreamPacket(start, responseData(1))
			o.HandleBalancerPacket(start, envelope(), opening(1))
			o.HandleUpstreamPacket(start, openingAnswer(1))
		},
		"no copy": func(*owner.Owner) {},
	}
	for name, prepare := range tests {
		t.Run(name, func(t *testing.T) {
			o := newRestartedOwner()
			prepare(o)
			if got := status(o); got != fwdmsg.Uncertain {
				t.Errorf("before the upstream is asked: got status %v", got)
			}
			got := o.HandleBalancerPacket(start, envelope(), laterData(1))
			if kind, reason := firstAction(got); kind != owner.Deliver || reason != owner.Offered || got[0].Tag == 0 {
				t.Fatalf("the packet is not offered: %+v", got)
			}
			if actions := kinds(o.HandleUpstreamPacket(start, laterAnswer)); !cmp.Equal(actions, []owner.ActionKind{owner.Notify, owner.Answer}) {
				t.Errorf("the upstream's answer: got %v", actions)
			}
			if got := status(o); got != fwdmsg.Held {
				t.Errorf("after the upstream has shown the flow: got status %v", got)
			}
			if kind, reason := firstAction(o.HandleBalancerPacket(start, envelope(), laterData(1))); kind != owner.Deliver || reason != "" {
				t.Errorf("the next packet: got %v for %q", kind, reason)
			}
		})
		t.Run(name+", not held", func(t *testing.T) {
			o := newRestartedOwner()
			prepare(o)
			tag := o.HandleBalancerPacket(start, envelope(), laterData(1))[0].Tag
			got := o.HandleUpstreamPacket(start, bounce(laterData(1), tag))
			if len(got) != 1 || got[0].Kind != owner.Forward || got[0].Envelope.Kind != fwdmsg.ReturnedPacket || got[0].Envelope.Uncertain {
				t.Errorf("the upstream does not hold it: got %+v", got)
			}
		})
	}
}

// Guards against copies that a paused agent passed on seconds late and that were delivered
// to an upstream which had announced meanwhile that it drains (TestSoak, seed 9101).
func TestACopyOfAnOpeningPacketIsDeliveredOnlyDuringTheHandshake(t *testing.T) {
	drain := func(o *owner.Owner) {
		o.HandleAnnouncement(start, announcement(func(a *flow.Announcement) { a.State, a.Sequence = flow.Draining, 2 }))
	}
	tests := map[string]struct {
		prepare func(*owner.Owner)
		after   time.Duration
		want    []owner.ActionKind
	}{
		"unanswered": {func(*owner.Owner) {}, 30 * time.Millisecond, []owner.ActionKind{owner.Deliver, owner.Notify}},
		"answered":   {func(o *owner.Owner) { o.HandleUpstreamPacket(start, openingAnswer(1)) }, 600 * time.Millisecond, []owner.ActionKind{owner.Deliver, owner.Notify}},
		"answered, the caller has given up": {func(o *owner.Owner) {
			o.HandleUpstreamPacket(start, openingAnswer(1))
			drain(o)
		}, 4 * time.Second, []owner.ActionKind{owner.Notify}},
		"open, the upstream drains": {func(o *owner.Owner) {
			o.HandleUpstreamPacket(start, openingAnswer(1))
			o.HandleBalancerPacket(start, envelope(), requestData(1))
			drain(o)
		}, 4 * time.Second, []owner.ActionKind{owner.Notify}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			o := newServingOwner()
			o.HandleBalancerPacket(start, envelope(), opening(1))
			test.prepare(o)
			if diff := cmp.Diff(test.want, kinds(o.HandleBalancerPacket(start.Add(test.after), envelope(), opening(1)))); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// Guards against an agent that is restarted beside a cold upstream and admits a whole
// window of flows at once, since it heard of the upstream before it had the limit (TestModel,
// seed 52).
func TestTheRampIsFullAfterARestartWithoutAConfiguration(t *testing.T) {
	o := owner.New(owner.Settings{Self: self, Domain: "a", Service: "svc"}, start)
	o.HandleAnnouncement(start, announcement(func(a *flow.Announcement) { a.Sequence, a.WarmUpLeft = 3, 10*time.Second }))
	configured := start.Add(300 * time.Millisecond)
	o.Configure(configured, newConfig(1, func(c *config.Config) { c.Services[0].Limits.ColdPerSecond = 1 }))
	if _, reason := firstAction(o.HandleBalancerPacket(configured, envelope(endpoint(11)), opening(1))); reason != owner.ColdLimit {
		t.Errorf("within a second of the start: got %q", reason)
	}
	if kind, _ := firstAction(o.HandleBalancerPacket(start.Add(1200*time.Millisecond), envelope(endpoint(11)), opening(2))); kind != owner.Deliver {
		t.Errorf("after that: got %v", kind)
	}
}

// Guards against a restarted agent that first receives a late announcement of a crashed
// incarnation, takes the running one for its successor, and denies the flows that it got
// from the agent's predecessor (second review, case 10).
func TestALateAnnouncementDoesNotMakeARestartedAgentCertain(t *testing.T) {
	running := func(born time.Duration, sequence uint64) flow.Announcement {
		return announcement(func(a *flow.Announcement) {
			a.ID, a.StartedUnixMilli, a.Sequence = "i-2", start.Add(born).UnixMilli(), sequence
		})
	}
	crashed := announcement(func(a *flow.Announcement) { a.StartedUnixMilli, a.Sequence = start.Add(-time.Minute).UnixMilli(), 60 })
	tests := map[string]struct {
		before  func(*owner.Owner)
		running flow.Announcement
		want    fwdmsg.HeldStatus
	}{
		"a late announcement": {func(o *owner.Owner) { o.HandleAnnouncement(start, crashed) }, running(-10*time.Second, 3), fwdmsg.Uncertain},
		"late announcement and departure": {func(o *owner.Owner) {
			o.HandleAnnouncement(start, crashed)
			o.HandleDeparture(start, crashed.ID)
		}, running(-10*time.Second, 12), fwdmsg.Uncertain},
		"the running one started after the agent": {func(o *owner.Owner) { o.HandleAnnouncement(start, crashed) }, running(500*time.Millisecond, 1), fwdmsg.NotHeld},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			o := owner.New(owner.Settings{Self: self, Domain: "a", Service: "svc"}, start)
			o.Configure(start, newConfig(1, nil))
			test.before(o)
			now := start.Add(time.Second)
			o.HandleAnnouncement(now, test.running)
			if got := statusOf(o, now, 1); got != test.want {
				t.Errorf("got status %v, want %v", got, test.want)
			}
		})
	}
}

// Guards against a restarted agent that takes a cold upstream for a warm one because the first
// announcement that it receives is a late one of a crashed incarnation.
func TestALateAnnouncementDoesNotEndTheWarmUp(t *testing.T) {
	crashed := announcement(func(a *flow.Announcement) { a.StartedUnixMilli, a.Sequence = start.Add(-time.Minute).UnixMilli(), 60 })
	running := func(sequence uint64) flow.Announcement {
		return announcement(func(a *flow.Announcement) {
			a.ID, a.StartedUnixMilli, a.Sequence = "i-2", start.Add(-time.Second).UnixMilli(), sequence
			a.WarmUpLeft = 5 * time.Second
		})
	}
	tests := map[string]struct {
		announcements []flow.Announcement // half a second apart
		want          owner.Reason
	}{
		"a late one":                     {[]flow.Announcement{crashed}, owner.ColdLimit},
		"a late one, then the running":   {[]flow.Announcement{crashed, running(2)}, owner.ColdLimit},
		"two of the same, which is warm": {[]flow.Announcement{crashed, announcement(func(a *flow.Announcement) { a.StartedUnixMilli, a.Sequence = crashed.StartedUnixMilli, 61 })}, owner.Opened},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			o := owner.New(owner.Settings{Self: self, Domain: "a", Service: "svc"}, start)
			o.Configure(start, newConfig(1, func(c *config.Config) { c.Services[0].Limits.ColdPerSecond = 2 }))
			now := start
			for _, a := range test.announcements {
				now = now.Add(500 * time.Millisecond)
				o.HandleAnnouncement(now, a)
			}
			if _, reason := firstAction(o.HandleBalancerPacket(now, envelope(endpoint(11)), opening(1))); reason != test.want {
				t.Errorf("got %q, want %q", reason, test.want)
			}
		})
	}
}
