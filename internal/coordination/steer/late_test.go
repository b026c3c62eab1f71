package steer_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/coriandershift/coriandershift/internal/coordination/steer"
	"github.com/coriandershift/coriandershift/internal/state/flow"
)

// Guards against a balancer that was paused and places opening packets seconds late: an
// agent that was restarted takes them for new flows and hides the open ones, as in case 4 of
// the review, where an agent was paused.
func TestAPausedBalancerPlacesNoLateOpenings(t *testing.T) {
	const pause = 4 * time.Second
	resumed := start.Add(pause)
	newPausedRouter := func(before ...*flow.Packet) *steer.Router {
		r := convergedRouter(agents("svc", 10, 11)...)
		r.RecordRunning(start)
		for _, p := range before {
			r.HandleCallerPacket(start, p)
		}
		return r
	}
	tests := map[string]struct {
		actions func() []steer.Action
		want    []steer.Reason
	}{
		"it waited in the socket": {func() []steer.Action {
			return newPausedRouter().HandleCallerPacket(resumed, opening(1))
		}, []steer.Reason{steer.Resuming}},
		"it waited for a notice": {func() []steer.Action {
			r := newPausedRouter(opening(1))
			r.Tick(resumed)
			return r.Tick(resumed.Add(100 * time.Millisecond))
		}, nil},
		"a tick comes first": {func() []steer.Action {
			r := newPausedRouter()
			r.RecordRunning(resumed)
			return r.HandleCallerPacket(resumed.Add(time.Millisecond), opening(1))
		}, []steer.Reason{steer.Resuming}},
		"it came a moment later": {func() []steer.Action {
			r := newPausedRouter()
			r.RecordRunning(resumed)
			return r.HandleCallerPacket(resumed.Add(400*time.Millisecond), opening(1))
		}, []steer.Reason{steer.Placed}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			if diff := cmp.Diff(test.want, reasonsOf(test.actions())); diff != "" {
				t.Error(diff)
			}
		})
	}
}
