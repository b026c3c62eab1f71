package steer_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/coriandershift/coriandershift/internal/coordination/steer"
	"github.com/coriandershift/coriandershift/internal/protocol/fwdmsg"
	"github.com/coriandershift/coriandershift/internal/state/flow"
)

// settle has the agents of a Router answer what it sends for a packet: only holder, if it is
// not the zero Endpoint, has the flow. It returns the reasons of the actions that are no
// queries, until the search ends or two seconds have passed.
func settle(r *steer.Router, now time.Time, actions []steer.Action, holder flow.Endpoint) []steer.Reason {
	var reasons []steer.Reason
	for end := now.Add(2 * time.Second); now.Before(end); now = now.Add(10 * time.Millisecond) {
		for pending := append([]steer.Action(nil), actions...); len(pending) > 0; pending = pending[1:] {
			a := pending[0]
			e := a.Envelope
			e.Agent = a.To
			status := fwdmsg.NotHeld
			if a.To == holder {
				status = fwdmsg.Held
			}
			switch {
			case a.Kind != steer.Send:
				return append(reasons, a.Reason)
			case e.Kind == fwdmsg.Query:
				e.Kind = fwdmsg.QueryReply
				pending = append(pending, r.HandleAgentMessage(now, &e, []byte{byte(status)}, parse)...)
			case a.Reason == steer.Found:
				return append(reasons, a.Reason)
			default: // the agents of its chain do not have the flow
				reasons = append(reasons, a.Reason)
				e.Kind, e.RankCount = fwdmsg.ReturnedPacket, 0
				pending = append(pending, r.HandleAgentMessage(now, &e, a.Packet, parse)...)
			}
		}
		actions = r.Tick(now)
	}
	return reasons
}

// Guards against balancers that declare a flow gone which is open at a service to which its
// route led in a configuration that they skipped or have not heard of (second review, case 7).
func TestAFlowAtAServiceThatThisBalancerDoesNotExpectIsFound(t *testing.T) {
	tests := map[string]struct {
		holder flow.Endpoint
		want   []steer.Reason
	}{
		"at the service of the route": {endpoint(11), []steer.Reason{steer.Lookup, steer.Found}},
		"at another service":          {endpoint(20), []steer.Reason{steer.Lookup, steer.Found}},
		"lost":                        {flow.Endpoint{}, []steer.Reason{steer.Lookup, steer.FlowGone}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			r := steer.New(self, "a", start.Add(-2*time.Minute))
			r.Configure(start.Add(-2*time.Minute), newConfig(1, "svc", "other"))
			r.UpdateMembers(start, append(agents("svc", 10, 11), agents("other", 20, 21)...))
			r.Tick(start)
			got := settle(r, start, r.HandleCallerPacket(start, data(1)), test.holder)
			if diff := cmp.Diff(test.want, got); diff != "" {
				t.Error(diff)
			}
		})
	}
}
