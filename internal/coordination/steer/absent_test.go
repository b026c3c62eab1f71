package steer_test

import (
	"encoding/binary"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/coriandershift/coriandershift/internal/coordination/steer"
	"github.com/coriandershift/coriandershift/internal/protocol/fwdmsg"
	"github.com/coriandershift/coriandershift/internal/state/flow"
	"github.com/coriandershift/coriandershift/internal/state/roster"
)

const (
	tickStep   = 50 * time.Millisecond
	fleetSize  = 204 // agents
	lostFlows  = 300
	goneWithin = 2 * time.Second // after the start of all processes
)

// fleetAgent returns the address of an agent of a fleet of hundreds.
func fleetAgent(i int) flow.Endpoint {
	e := flow.Endpoint{IP: [4]byte{10, 1, 0, 0}, Port: 7000}
	binary.BigEndian.PutUint16(e.IP[2:], uint16(i))
	return e
}

// fleetMembers returns the records of the agents with a number from first to last-1.
func fleetMembers(first, last int) []roster.Member {
	var members []roster.Member
	for i := first; i < last; i++ {
		m := agent(1, "svc")
		m.Address = fleetAgent(i).AddrPort()
		members = append(members, m)
	}
	return members
}

// startedRouter returns a balancer that started at start, with a census of fleetSize
// agents of which it has heard of the first known.
func startedRouter(known int) *steer.Router {
	r := steer.New(self, "a", start)
	r.Configure(start, newConfig(1, "svc"))
	var expected []flow.Endpoint
	for i := range fleetSize {
		expected = append(expected, fleetAgent(i))
	}
	r.ExpectMembers(expected)
	r.UpdateMembers(start, append(fleetMembers(0, known), balancer(2, 0)))
	return r
}

// answerAll answers each query to one of the agents below known with a status, and
// returns all other actions, also those that follow from the replies.
func answerAll(r *steer.Router, now time.Time, actions []steer.Action, known int, status fwdmsg.HeldStatus) []steer.Action {
	var rest []steer.Action
	pending := append([]steer.Action(nil), actions...)
	for len(pending) > 0 {
		a := pending[0]
		pending = pending[1:]
		if a.Envelope.Kind != fwdmsg.Query {
			rest = append(rest, a)
			continue
		}
		if number := int(binary.BigEndian.Uint16(a.To.IP[2:])); number >= known {
			continue
		}
		questions, err := fwdmsg.ParseQuestions(a.Packet)
		if err != nil {
			panic(err)
		}
		statuses := make([]byte, len(questions))
		for i := range statuses {
			statuses[i] = byte(status)
		}
		e := a.Envelope
		e.Kind, e.Agent = fwdmsg.QueryReply, a.To
		pending = append(pending, r.HandleAgentMessage(now, &e, statuses, parse)...)
	}
	return rest
}

// After all VMs of the simulated deployment higi-sul-large had lost power (trouble-1),
// the census still listed an agent whose VM had been removed a second before. All
// balancers waited ten seconds for it, and nearly every caller of a long flow lost a
// request because nobody could tell that its flow was gone.
func TestAMemberThatWasRemovedBeforeARestartIsNotWaitedFor(t *testing.T) {
	tests := map[string]struct {
		known int
		want  bool
	}{
		"one is absent":           {fleetSize - 1, true},
		"a few are absent":        {fleetSize - 20, true},
		"a failure domain is cut": {fleetSize - 34, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			r := startedRouter(test.known)
			for port := range uint16(lostFlows) {
				r.HandleCallerPacket(start, data(port))
			}
			reset := map[uint16]bool{}
			for now := start; now.Sub(start) <= goneWithin; now = now.Add(tickStep) {
				for _, a := range answerAll(r, now, r.Tick(now), test.known, fwdmsg.NotHeld) {
					if a.Kind == steer.Reset {
						reset[a.Key.Caller.Port] = true
					}
				}
			}
			if r.Converged() != test.want {
				t.Errorf("converged: %v, want %v", r.Converged(), test.want)
			}
			wantResets := 0
			if test.want {
				wantResets = lostFlows
			}
			if len(reset) != wantResets {
				t.Errorf("%d of %d lost flows were reset, want %d", len(reset), lostFlows, wantResets)
			}
		})
	}
}

// An agent that runs answers the probes, although no record of it has arrived. It may
// have flows, so it is waited for.
func TestAnAbsentMemberThatAnswersIsWaitedFor(t *testing.T) {
	r := startedRouter(fleetSize - 1)
	for now := start; now.Sub(start) <= goneWithin; now = now.Add(tickStep) {
		answerAll(r, now, r.Tick(now), fleetSize, fwdmsg.NotHeld)
	}
	if r.Converged() {
		t.Fatal("converged although an agent that runs is not known")
	}
	r.UpdateMembers(start.Add(goneWithin), fleetMembers(fleetSize-1, fleetSize))
	r.Tick(start.Add(goneWithin))
	if !r.Converged() {
		t.Error("not converged although all members are known")
	}
}

// One lost datagram in a thousand used to leave a third of the searches among 204
// agents without a result until the caller sent another packet.
func TestAQuestionIsRepeatedToAnAgentThatDoesNotReply(t *testing.T) {
	r := steer.New(self, "a", start.Add(-time.Minute))
	r.Configure(start, newConfig(1, "svc"))
	r.UpdateMembers(start, fleetMembers(0, fleetSize))
	r.Tick(start)
	queries := queryAfterChain(t, r, start, r.HandleCallerPacket(start, data(1))[0])
	lost := queries[7]
	for _, q := range queries {
		if q.To != lost.To {
			reply(r, start, q, fwdmsg.NotHeld)
		}
	}
	now := start.Add(120 * time.Millisecond)
	again := append([]steer.Action(nil), r.Tick(now)...)
	if len(again) != 1 || again[0].To != lost.To || again[0].Envelope.Kind != fwdmsg.Query {
		t.Fatalf("got %+v, want the question repeated to %v", again, lost.To)
	}
	if diff := cmp.Diff([]steer.Reason{steer.FlowGone}, reasonsOf(reply(r, now, again[0], fwdmsg.NotHeld))); diff != "" {
		t.Error(diff)
	}
}

// Among more agents than are asked at once, a lost flow used to be never reset.
func TestALostFlowOfALargeServiceIsReset(t *testing.T) {
	const count = 700
	r := steer.New(self, "a", start.Add(-time.Minute))
	r.Configure(start, newConfig(1, "svc"))
	r.UpdateMembers(start, fleetMembers(0, count))
	r.Tick(start)
	r.HandleCallerPacket(start, data(1))
	now := start.Add(150 * time.Millisecond)
	got := answerAll(r, now, r.Tick(now), count, fwdmsg.NotHeld)
	if diff := cmp.Diff([]steer.Reason{steer.FlowGone}, reasonsOf(got)); diff != "" {
		t.Error(diff)
	}
}

// While upstreams start, their agents cannot tell which flows they have. A search used
// to end there until the caller's next packet, up to 1.6 s later.
func TestASearchAsksAgainWhenAgentsCouldNotTell(t *testing.T) {
	r := convergedRouter(agents("svc", 10, 11)...)
	for _, q := range queryAfterChain(t, r, start, r.HandleCallerPacket(start, data(1))[0]) {
		reply(r, start, q, fwdmsg.Uncertain)
	}
	for now := start; now.Sub(start) < time.Second; now = now.Add(tickStep) {
		for _, a := range append([]steer.Action(nil), r.Tick(now)...) {
			if a.Envelope.Kind != fwdmsg.Query {
				continue
			}
			for _, result := range reply(r, now, a, fwdmsg.NotHeld) {
				if result.Kind == steer.Reset {
					return
				}
			}
		}
	}
	t.Error("the flow was not reset within a second")
}
