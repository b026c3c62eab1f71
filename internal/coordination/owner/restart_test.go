package owner_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/coriandershift/coriandershift/internal/coordination/owner"
	"github.com/coriandershift/coriandershift/internal/protocol/fwdmsg"
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
		"the agent is older":                          {time.Minute, ago(500 * time.Millisecond), 1, fwdmsg.NotHeld},
		"the agent is older, announcements were lost": {time.Minute, ago(2 * time.Second), 3, fwdmsg.NotHeld},
		"both started in the same millisecond":        {time.Second, ago(time.Second), 2, fwdmsg.NotHeld},
		"the agent is younger, second announcement":   {300 * time.Millisecond, ago(900 * time.Millisecond), 2, fwdmsg.Uncertain},
		"the agent is younger, first announcement":    {300 * time.Millisecond, ago(900 * time.Millisecond), 1, fwdmsg.Uncertain},
		"the agent is younger, many announcements":    {300 * time.Millisecond, ago(time.Minute), 80, fwdmsg.Uncertain},
		"the upstream does not tell":                  {30 * time.Second, 0, 1, fwdmsg.Uncertain},
		"the time was set back since":                 {300 * time.Millisecond, ago(-40 * time.Minute), 2, fwdmsg.Uncertain},
		"the time was set back, the upstream is old":  {300 * time.Millisecond, ago(200 * time.Millisecond), 4, fwdmsg.Uncertain},
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
