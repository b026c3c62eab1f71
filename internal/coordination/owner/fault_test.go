package owner_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/coriandershift/coriandershift/internal/coordination/owner"
	"github.com/coriandershift/coriandershift/internal/state/flow"
)

// reportedFailures returns the percentage of requests that were reset or unanswered,
// as the agent's next notice reports it.
func reportedFailures(t *testing.T, o *owner.Owner, now time.Time) (percent uint8) {
	t.Helper()
	for _, a := range o.HandleBalancerPacket(now, envelope(), opening(5000)) {
		if a.Kind == owner.Notify {
			return a.Envelope.UnansweredPercent
		}
	}
	t.Fatal("no notice was sent")
	return 0
}

func countOutcomes(o *owner.Owner) map[owner.Outcome]int {
	count := map[owner.Outcome]int{}
	for _, c := range o.TakeCompletions() {
		count[c.Outcome]++
	}
	return count
}

func upstreamReset(port uint16) *flow.Packet {
	p := responseData(port)
	p.DataLength, p.Reset = 0, true
	return p
}

func TestRequestsThatTheUpstreamFails(t *testing.T) {
	tests := map[string]struct {
		end        func(o *owner.Owner, now time.Time, port uint16)
		want       map[owner.Outcome]int
		maxPercent uint8 // the largest percentage that may be reported
	}{
		"answered": {func(o *owner.Owner, now time.Time, port uint16) {
			o.HandleUpstreamPacket(now.Add(20*time.Millisecond), responseData(port))
		}, map[owner.Outcome]int{owner.Answered: 10}, 0},
		"reset": {func(o *owner.Owner, now time.Time, port uint16) {
			o.HandleUpstreamPacket(now.Add(20*time.Millisecond), upstreamReset(port))
		}, map[owner.Outcome]int{owner.ResetByUpstream: 10}, 50},
		"unanswered": {func(o *owner.Owner, now time.Time, _ uint16) {
			for elapsed := time.Second; elapsed <= 3*time.Second; elapsed += time.Second { // longer gaps are pauses
				o.Tick(now.Add(elapsed))
			}
		}, map[owner.Outcome]int{owner.Unanswered: 10}, 50},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			o := newServingOwner()
			now := start
			for port := uint16(1); port <= 10; port++ {
				open(t, o, now, port)
				test.end(o, now, port)
				now = now.Add(4 * time.Second)
				o.HandleAnnouncement(now, announcement(func(a *flow.Announcement) { a.Sequence = uint64(port) + 1 }))
			}
			if diff := cmp.Diff(test.want, countOutcomes(o)); diff != "" {
				t.Error(diff)
			}
			if o.RequestCount() != 0 {
				t.Errorf("%d requests are still counted, want 0", o.RequestCount())
			}
			percent := reportedFailures(t, o, now.Add(-4*time.Second))
			if failed := test.maxPercent > 0; failed != (percent > 0) || percent > test.maxPercent {
				t.Errorf("reported %d%% reset or unanswered", percent)
			}
		})
	}
}

func TestACallerThatGivesUpIsNoFaultOfTheUpstream(t *testing.T) {
	o := newServingOwner()
	open(t, o, start, 1)
	reset := requestData(1)
	reset.Reset, reset.DataLength = true, 0
	o.HandleBalancerPacket(start.Add(time.Second), envelope(), reset)
	o.Tick(start.Add(4 * time.Second))
	if diff := cmp.Diff(map[owner.Outcome]int{}, countOutcomes(o)); diff != "" {
		t.Error(diff)
	}
}

func TestTheFailureRateDecays(t *testing.T) {
	o := newServingOwner()
	for port := uint16(1); port <= 10; port++ {
		open(t, o, start, port)
		o.HandleUpstreamPacket(start, upstreamReset(port))
	}
	early, late := reportedFailures(t, o, start), reportedFailures(t, o, start.Add(30*time.Second))
	if early < 40 || late > 1 {
		t.Errorf("%d%% at once and %d%% after 30 s, want at least 40%% and at most 1%%", early, late)
	}
}

// The agent used to report no failures, since the last packet might not have been the last.
func TestAHungUpstreamFailsRequestsWhoseLastPacketIsFull(t *testing.T) {
	tests := map[string]struct{ acknowledged int }{
		"it acknowledges data":    {fullLength},
		"it acknowledges nothing": {0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			o := newServingOwner()
			upload(o, start, 1, time.Millisecond, 20*time.Millisecond)
			o.TakeCompletions()
			now := start.Add(time.Second)
			for port := uint16(2); port < 4; port++ {
				handshake(o, now, port)
				o.HandleBalancerPacket(now, envelope(), dataAt(port, 0, fullLength))
				o.HandleUpstreamPacket(now, acknowledgement(port, test.acknowledged))
			}
			for elapsed := time.Duration(0); elapsed < 5*time.Second; elapsed += 100 * time.Millisecond {
				o.Tick(now.Add(elapsed))
			}
			if diff := cmp.Diff(map[owner.Outcome]int{owner.Unanswered: 2}, countOutcomes(o)); diff != "" {
				t.Error(diff)
			}
		})
	}
}
