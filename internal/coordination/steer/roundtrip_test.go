package steer_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/coriandershift/coriandershift/internal/coordination/steer"
	"github.com/coriandershift/coriandershift/internal/protocol/fwdmsg"
)

func TestRoundTripsOfOpeningPacketsAndQueriesAreObserved(t *testing.T) {
	var got []time.Duration
	observe := func(_ time.Time, d time.Duration) { got = append(got, d) }
	r := steer.New(self, "a", start.Add(-time.Minute), steer.WithRoundTripObserver(observe))
	r.Configure(start, newConfig(1, "svc"))
	r.UpdateMembers(start, agents("svc", 10))
	r.Tick(start)
	ms := time.Millisecond

	r.HandleCallerPacket(start, opening(1))
	e, payload := notice(opening(1), endpoint(10))
	r.HandleAgentMessage(start.Add(3*ms), e, payload, parse)
	r.HandleAgentMessage(start.Add(4*ms), e, payload, parse) // again, as for a copy
	r.HandleCallerPacket(start, opening(2))
	e, payload = notice(opening(2), endpoint(11)) // the packet was handed on
	r.HandleAgentMessage(start.Add(5*ms), e, payload, parse)

	r.HandleCallerPacket(start, data(3))
	query := r.Tick(start.Add(150 * ms))[0]
	reply(r, start.Add(157*ms), query, fwdmsg.NotHeld)
	if diff := cmp.Diff([]time.Duration{3 * ms, 7 * ms}, got); diff != "" {
		t.Error(diff)
	}
}
