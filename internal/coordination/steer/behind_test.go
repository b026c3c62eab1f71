package steer_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/coriandershift/coriandershift/internal/coordination/steer"
	"github.com/coriandershift/coriandershift/internal/protocol/fwdmsg"
	"github.com/coriandershift/coriandershift/internal/state/config"
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

// unroutedRouter returns a Router that has run for two minutes and knows two services, whose
// configuration has no route.
func unroutedRouter() *steer.Router {
	r := steer.New(self, "a", start.Add(-2*time.Minute))
	r.Configure(start.Add(-2*time.Minute), newConfig(1))
	r.UpdateMembers(start, append(agents("svc", 10, 11), agents("other", 20, 21)...))
	r.Tick(start)
	return r
}

// Guards against balancers that reset open flows of a route which they have not received yet
// (second review, case 9).
func TestAFlowOfAnUnknownRouteIsSearchedFor(t *testing.T) {
	tests := map[string]struct {
		holder flow.Endpoint
		want   []steer.Reason
	}{
		"it is open": {endpoint(21), []steer.Reason{steer.Lookup, steer.Found}},
		"it is lost": {flow.Endpoint{}, []steer.Reason{steer.Lookup, steer.FlowGone}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			r := unroutedRouter()
			got := settle(r, start, r.HandleCallerPacket(start, data(1)), test.holder)
			if diff := cmp.Diff(test.want, got); diff != "" {
				t.Error(diff)
			}
		})
	}

	t.Run("its agent does not have it any more", func(t *testing.T) {
		r := convergedRouter(agents("svc", 10, 11)...)
		e, payload := notice(data(1), endpoint(10))
		r.HandleAgentMessage(start, e, payload, parse)
		r.Configure(start, newConfig(2))
		a := r.HandleCallerPacket(start, data(1))[0]
		got := settle(r, start, []steer.Action{a}, endpoint(11))
		if diff := cmp.Diff([]steer.Reason{"", steer.Lookup, steer.Found}, got); diff != "" {
			t.Error(diff)
		}
	})
}

// The opening packet of a flow to an address without a route waits for the configuration that
// adds the route: operators use it as soon as the store has acknowledged it.
func TestAnOpeningPacketWaitsForItsRoute(t *testing.T) {
	copyOf := func(p *flow.Packet) *flow.Packet {
		p.SinceFirstSent = 200 * time.Millisecond
		return p
	}
	drop := func(r *steer.Router) {
		r.Configure(start, newConfig(2, "svc"))
		r.Configure(start, newConfig(3))
	}
	tests := map[string]struct {
		prepare func(*steer.Router)
		packet  *flow.Packet
		routeAt time.Duration // when a configuration with the route arrives, 0 if never
		want    steer.Reason
		within  time.Duration
	}{
		"the route arrives":                        {nil, opening(1), 150 * time.Millisecond, steer.Placed, 150 * time.Millisecond},
		"it arrives late":                          {nil, opening(1), 700 * time.Millisecond, steer.Placed, 700 * time.Millisecond},
		"it does not arrive":                       {nil, opening(1), 0, steer.NoRoute, 800 * time.Millisecond},
		"the route was dropped":                    {drop, opening(1), 0, steer.NoRoute, 0},
		"a copy, and the route was dropped":        {drop, copyOf(opening(1)), 0, steer.NoRoute, 0},
		"dropped, but this balancer is behind":     {func(r *steer.Router) { drop(r); hearRevision(r, 4) }, opening(1), 200 * time.Millisecond, steer.Placed, 200 * time.Millisecond},
		"a copy, which another balancer may place": {nil, copyOf(opening(1)), 0, steer.NoRoute, 600 * time.Millisecond},
		"a copy, the route arrives late":           {nil, copyOf(opening(1)), 500 * time.Millisecond, steer.Placed, 500 * time.Millisecond},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			r := unroutedRouter()
			if test.prepare != nil {
				test.prepare(r)
			}
			actions := r.HandleCallerPacket(start, test.packet)
			for at := time.Duration(0); at < 2*time.Second; at += 10 * time.Millisecond {
				now := start.Add(at)
				switch {
				case at > 0 && at == test.routeAt:
					r.Configure(now, newConfig(9, "svc"))
					actions = r.RouteHeld(now)
				case at > 0:
					actions = r.Tick(now)
				}
				for _, a := range actions {
					if a.Kind == steer.Hold {
						continue
					}
					isReset := a.Kind == steer.Reset
					if wantReset := test.want == steer.NoRoute && test.within == 0 && test.packet.SinceFirstSent == 0; a.Reason != test.want || isReset != wantReset || at > test.within {
						t.Errorf("after %v got %q, reset %v; want %q within %v, reset %v", at, a.Reason, isReset, test.want, test.within, wantReset)
					}
					return
				}
			}
			t.Error("nothing became of the packet")
		})
	}
}

// hearRevision has an agent send a notice with a revision.
func hearRevision(r *steer.Router, revision uint64) {
	e, payload := notice(data(99), endpoint(10))
	e.Revision = revision
	r.HandleAgentMessage(start, e, payload, parse)
}

// With many services no search covers all agents, so only time tells: within ChangeBound this
// balancer has the configuration under which a flow was opened.
func TestAFlowOfAnUnknownRouteIsGoneOnceTheConfigurationMustHaveArrived(t *testing.T) {
	for name, test := range map[string]struct {
		heard uint64
		want  bool
	}{
		"no later configuration is known": {1, true},
		"a later one is known":            {2, false},
	} {
		t.Run(name, func(t *testing.T) {
			r := steer.New(self, "a", start.Add(-2*time.Minute))
			r.Configure(start.Add(-2*time.Minute), newConfig(1))
			for number := range byte(12) {
				r.UpdateMembers(start, agents(string('a'+rune(number)), 10+number))
			}
			r.Tick(start)
			hearRevision(r, test.heard)
			gone := false
			for at := time.Duration(0); at < 9*time.Second && !gone; at += 50 * time.Millisecond {
				now := start.Add(at)
				actions := r.Tick(now)
				if at%time.Second == 0 {
					actions = append(append([]steer.Action{}, actions...), r.HandleCallerPacket(now, data(1))...)
				}
				for _, a := range actions {
					if a.Kind == steer.Reset {
						gone = true
						if at < config.ChangeBound {
							t.Errorf("reset after %v", at)
						}
					}
				}
			}
			if gone != test.want {
				t.Errorf("reset: %v, want %v", gone, test.want)
			}
		})
	}
}

// Packets to arbitrary addresses leave room for searches of flows of known routes.
func TestPacketsToArbitraryAddressesLeaveRoom(t *testing.T) {
	r := convergedRouter(agents("svc", 10)...)
	for port := range uint16(5000) {
		p := data(port)
		p.Destination.Port = 9
		r.HandleCallerPacket(start, p)
	}
	if got := reasonsOf(r.HandleCallerPacket(start, data(1))); !cmp.Equal(got, []steer.Reason{steer.Lookup}) {
		t.Errorf("got %v", got)
	}
	openings := 0
	for port := range uint16(5000) {
		p := opening(port)
		p.Destination.Port = 9
		if r.HandleCallerPacket(start, p)[0].Kind == steer.Hold {
			openings++
		}
	}
	if openings > 512 {
		t.Errorf("%d opening packets wait for a route", openings)
	}
}
