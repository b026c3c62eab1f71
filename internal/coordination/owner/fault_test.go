package owner_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/coriandershift/coriandershift/internal/coordination/owner"
	"github.com/coriandershift/coriandershift/internal/state/flow"
)

// told returns what the agent tells balancers with its next note.
func told(t *testing.T, o *owner.Owner, now time.Time) (faults uint8) {
	t.Helper()
	for _, a := range o.HandleBalancerPacket(now, envelope(), opening(5000)) {
		if a.Kind == owner.Notify {
			return a.Envelope.UnansweredPercent
		}
	}
	t.Fatal("no note")
	return 0
}

func outcomes(o *owner.Owner) map[owner.Outcome]int {
	count := map[owner.Outcome]int{}
	for _, c := range o.TakeCompletions() {
		count[c.Outcome]++
	}
	return count
}

func cut(port uint16) *flow.Packet {
	p := answer(port)
	p.DataLength, p.Reset = 0, true
	return p
}

func TestRequestsThatTheUpstreamFails(t *testing.T) {
	tests := map[string]struct {
		end  func(o *owner.Owner, now time.Time, port uint16)
		want map[owner.Outcome]int
		most uint8
	}{
		"answered": {func(o *owner.Owner, now time.Time, port uint16) {
			o.HandleUpstreamPacket(now.Add(20*time.Millisecond), answer(port))
		}, map[owner.Outcome]int{owner.Answered: 10}, 0},
		"reset": {func(o *owner.Owner, now time.Time, port uint16) {
			o.HandleUpstreamPacket(now.Add(20*time.Millisecond), cut(port))
		}, map[owner.Outcome]int{owner.ResetByUpstream: 10}, 50},
		"left": {func(o *owner.Owner, now time.Time, _ uint16) {
			o.Tick(now.Add(3 * time.Second))
		}, map[owner.Outcome]int{owner.Unanswered: 10}, 50},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			o := ready()
			now := start
			for port := uint16(1); port <= 10; port++ {
				open(t, o, now, port)
				test.end(o, now, port)
				now = now.Add(4 * time.Second)
				o.HandleAnnouncement(now, announcement(func(a *flow.Announcement) { a.Sequence = uint64(port) + 1 }))
			}
			if diff := cmp.Diff(test.want, outcomes(o)); diff != "" {
				t.Error(diff)
			}
			if o.RequestCount() != 0 {
				t.Errorf("%d requests are still counted", o.RequestCount())
			}
			faults := told(t, o, now.Add(-4*time.Second))
			if failed := test.most > 0; failed != (faults > 0) || faults > test.most {
				t.Errorf("tells %d faults of a hundred", faults)
			}
		})
	}
}

func TestACallerThatGivesUpIsNoFaultOfTheUpstream(t *testing.T) {
	o := ready()
	open(t, o, start, 1)
	leaving := data(1)
	leaving.Reset, leaving.DataLength = true, 0
	o.HandleBalancerPacket(start.Add(time.Second), envelope(), leaving)
	o.Tick(start.Add(4 * time.Second))
	if diff := cmp.Diff(map[owner.Outcome]int{}, outcomes(o)); diff != "" {
		t.Error(diff)
	}
}

func TestFaultsAreForgotten(t *testing.T) {
	o := ready()
	for port := uint16(1); port <= 10; port++ {
		open(t, o, start, port)
		o.HandleUpstreamPacket(start, cut(port))
	}
	early, late := told(t, o, start), told(t, o, start.Add(30*time.Second))
	if early < 40 || late > 1 {
		t.Errorf("%d at once, %d after half a minute", early, late)
	}
}
