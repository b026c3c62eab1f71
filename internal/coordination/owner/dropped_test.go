package owner_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/coriandershift/coriandershift/internal/coordination/owner"
	"github.com/coriandershift/coriandershift/internal/protocol/fwdmsg"
	"github.com/coriandershift/coriandershift/internal/state/config"
)

// withoutRoute removes the route of all test flows.
func withoutRoute(c *config.Config) {
	c.Routes = nil
}

// openUnder opens a flow through a balancer with a configuration.
func openUnder(t *testing.T, o *owner.Owner, now time.Time, port uint16, revision uint64) {
	t.Helper()
	e := envelope()
	e.Revision = revision
	if got := kinds(o.HandleBalancerPacket(now, e, opening(port))); got[0] != owner.Deliver {
		t.Fatalf("flow %d was not opened: %v", port, got)
	}
	o.HandleUpstreamPacket(now, openingAnswer(port))
	o.HandleBalancerPacket(now, e, requestData(port))
}

// Guards against agents that reset open flows because they step to a configuration which is
// newer than theirs and older than the flow's route (second review, case 6).
func TestOnlyAConfigurationLaterThanAFlowDropsIt(t *testing.T) {
	type step struct {
		revision uint64
		routed   bool // the configuration has the flow's route
	}
	tests := map[string]struct {
		inForce  step // at the agent when the flow opens
		balancer uint64
		steps    []step
		want     int // revision of the step that resets the flow, 0 if none does
	}{
		"the route is dropped":                         {step{1, true}, 1, []step{{2, false}}, 2},
		"a step before the route was added":            {step{1, false}, 3, []step{{2, false}, {3, true}}, 0},
		"several steps before it":                      {step{1, false}, 9, []step{{2, false}, {5, false}, {8, false}, {9, true}}, 0},
		"dropped after such a step":                    {step{1, false}, 3, []step{{2, false}, {4, false}}, 4},
		"dropped and added again before the flow":      {step{1, true}, 3, []step{{2, false}, {3, true}}, 0},
		"dropped and added again after the flow":       {step{1, true}, 1, []step{{2, false}, {3, true}}, 2},
		"the balancer is older than the agent":         {step{4, true}, 1, []step{{5, false}}, 5},
		"added, dropped, added again, the flow is new": {step{1, false}, 4, []step{{2, true}, {3, false}, {4, true}}, 0},
		"a balancer has a later one still":             {step{1, true}, 9, []step{{2, false}, {10, false}}, 10},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			configure := func(o *owner.Owner, s step) []owner.Action {
				if s.routed {
					return o.Configure(start, newConfig(s.revision, nil))
				}
				return o.Configure(start, newConfig(s.revision, withoutRoute))
			}
			o := newServingOwner()
			configure(o, test.inForce)
			openUnder(t, o, start.Add(-config.ChangeBound), 1, test.balancer)
			got := 0
			for _, s := range test.steps {
				if len(configure(o, s)) > 0 {
					got = int(s.revision)
				}
			}
			if got != test.want {
				t.Errorf("the flow was reset at revision %d, want %d", got, test.want)
			}
		})
	}
}

// Guards against agents that reset a flow because they step through a configuration that
// dropped its route, which was added again before the flow was opened (TestNoOpenFlowIsReset-
// WhileConfigurationsFollowEachOther, seed 1). The caller is told once every configuration
// from before the flow must have arrived; until then its requests are answered.
func TestAYoungFlowOutlivesAConfigurationWithoutItsRoute(t *testing.T) {
	tests := map[string]struct {
		addedAgain time.Duration // after the flow was opened, 0 if never
		want       time.Duration // when the flow is reset, 0 if never
	}{
		"added again": {time.Second, 0},
		"dropped":     {0, config.ChangeBound},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			o := newServingOwner()
			openUnder(t, o, start, 1, 1)
			actions := o.Configure(start, newConfig(2, withoutRoute))
			var got time.Duration
			for at := time.Duration(0); at < 20*time.Second && got == 0; at += 500 * time.Millisecond {
				now := start.Add(at)
				if at > 0 && at == test.addedAgain {
					o.Configure(now, newConfig(3, nil))
				}
				if len(actions)+len(o.Tick(now)) > 0 {
					got = at
				}
				actions = nil
				if kind, _ := firstAction(o.HandleBalancerPacket(now, envelope(), requestData(1))); got == 0 && kind != owner.Deliver {
					t.Fatalf("after %v a request was not delivered: %v", at, kind)
				}
			}
			if got != test.want {
				t.Errorf("reset after %v, want %v", got, test.want)
			}
		})
	}
}

// Guards against a restarted agent that takes the route of a flow of its predecessor for
// dropped because its own configuration does not have it yet.
func TestAFlowFromBeforeTheAgentIsNotDroppedByAnOlderConfiguration(t *testing.T) {
	tests := map[string]struct {
		steps map[time.Duration]bool // whether the configuration of that time has the route
		heard uint64                 // revision of the balancers
		want  time.Duration          // when the caller is reset, 0 if never
	}{
		"the route follows":                       {map[time.Duration]bool{time.Second: false, 2 * time.Second: true}, 1, 0},
		"the route was dropped":                   {map[time.Duration]bool{time.Second: false}, 1, config.ChangeBound},
		"dropped once the flow is known for long": {map[time.Duration]bool{time.Second: true, 20 * time.Second: false}, 1, 20 * time.Second},
		"the agent is known to be behind":         {map[time.Duration]bool{time.Second: false}, 9, 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			o := newRestartedOwner()
			e := envelope()
			o.HandleBalancerPacket(start, e, requestData(1))
			o.HandleUpstreamPacket(start, responseData(1))
			var got time.Duration
			revision := uint64(1)
			for at := time.Duration(0); at <= 30*time.Second; at += time.Second {
				now := start.Add(at)
				e.Revision = test.heard
				actions := o.HandleBalancerPacket(now, e, requestData(1))
				if routed, changed := test.steps[at]; changed {
					revision++
					change := withoutRoute
					if routed {
						change = nil
					}
					actions = append(actions[:0:0], o.Configure(now, newConfig(revision, change))...)
				}
				for _, a := range append(actions, o.Tick(now)...) {
					if a.Kind == owner.Reset && got == 0 {
						got = at
					}
				}
			}
			if got != test.want {
				t.Errorf("reset after %v, want %v", got, test.want)
			}
		})
	}
}

// A restarted agent offers packets of flows of its predecessor also if it does not know
// their route yet: otherwise it could not tell whether its upstream has them.
func TestAFlowOfAnUnknownRouteIsOffered(t *testing.T) {
	o := newRestartedOwner()
	o.Configure(start, newConfig(2, withoutRoute))
	_, reason := firstAction(o.HandleBalancerPacket(start, envelope(), requestData(1)))
	if diff := cmp.Diff(owner.Offered, reason); diff != "" {
		t.Error(diff)
	}
	if got := statusOf(o, start, 1); got != fwdmsg.Uncertain {
		t.Errorf("got status %v, want %v", got, fwdmsg.Uncertain)
	}
}
