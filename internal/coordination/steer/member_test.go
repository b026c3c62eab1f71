package steer_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/coriandershift/coriandershift/internal/coordination/steer"
	"github.com/coriandershift/coriandershift/internal/protocol/fwdmsg"
	"github.com/coriandershift/coriandershift/internal/state/flow"
	"github.com/coriandershift/coriandershift/internal/state/roster"
)

func reportLoad(r *steer.Router, now time.Time, agent byte, load, slots uint16) {
	e, payload := notice(opening(60000+uint16(agent)), endpoint(agent))
	e.Load, e.Slots = load, slots
	r.HandleAgentMessage(now, e, payload, parse)
}

func TestAFlowGoesToTheLeastLoadedAgentWhenAllAreFull(t *testing.T) {
	r := convergedRouter(agents("svc", 10, 11, 12, 13)...)
	for agent, load := range map[byte]uint16{10: 7, 11: 6, 12: 9, 13: 8} {
		reportLoad(r, start, agent, load, 5)
	}
	got := r.HandleCallerPacket(start, opening(1))
	if len(got) != 1 || got[0].Reason != steer.PlacedAllFull || got[0].To != endpoint(11) {
		t.Fatalf("got %+v", got)
	}
	if e := got[0].Envelope; !e.WaitHere || e.RankCount != 0 {
		t.Errorf("got %+v", e)
	}
}

func TestAReportThatIsAMomentOldDoesNotMakeAnAgentFull(t *testing.T) {
	r := convergedRouter(agents("svc", 10, 11)...)
	reportLoad(r, start, 10, 7, 5)
	reportLoad(r, start, 11, 6, 5)
	got := r.HandleCallerPacket(start.Add(300*time.Millisecond), opening(1))
	if len(got) != 1 || got[0].Reason != steer.Placed || got[0].Envelope.RankCount != 1 {
		t.Errorf("got %+v", got)
	}
}

func TestEligibleAgentCountAfterAChange(t *testing.T) {
	change := func(lastOctet byte, edit func(*roster.Member)) roster.Member {
		m := agents("svc", lastOctet)[0]
		edit(&m)
		return m
	}
	tests := map[string]struct {
		change roster.Member
		want   int // agents of any service that take new flows, of two
	}{
		"new agent":                    {agents("svc", 12)[0], 3},
		"known agent":                  {agents("svc", 10)[0], 2},
		"agent leaves":                 {change(10, func(m *roster.Member) { m.State = roster.Leaving }), 1},
		"agent dies":                   {change(10, func(m *roster.Member) { m.State = roster.Dead }), 1},
		"agent with weight 0":          {change(10, func(m *roster.Member) { m.Weight = 0 }), 1},
		"agent changes its service":    {change(10, func(m *roster.Member) { m.Service = "other" }), 2},
		"agent restarts":               {change(10, func(m *roster.Member) { m.Incarnation++ }), 2},
		"balancer":                     {change(12, func(m *roster.Member) { m.Role = roster.Balancer }), 2},
		"new agent of another service": {agents("other", 12)[0], 3},
		"new agent that leaves":        {change(12, func(m *roster.Member) { m.Service, m.State = "other", roster.Leaving }), 2},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			r := convergedRouter(agents("svc", 10, 11)...)
			r.UpdateMembers(start, []roster.Member{test.change})
			if got := r.EligibleAgentCount(); got != test.want {
				t.Errorf("%d agents take new flows, want %d", got, test.want)
			}
		})
	}
}

func TestAnAgentThatMovedToAnotherServiceGetsNoFlowsOfTheOld(t *testing.T) {
	r := convergedRouter(agents("svc", 10, 11)...)
	r.UpdateMembers(start, agents("other", 10))
	for port := range uint16(20) {
		got := r.HandleCallerPacket(start, opening(port))
		if len(got) != 1 || got[0].To != endpoint(11) || got[0].Envelope.RankCount != 0 {
			t.Fatalf("port %d: got %+v", port, got)
		}
	}
}

func TestADeadAgentIsRemovedWhenItsFlowsHaveEnded(t *testing.T) {
	dead := agents("svc", 10)[0]
	dead.State = roster.Dead
	r := convergedRouter(dead)
	sentCount := func(now time.Time) int {
		count := 0
		for _, a := range r.HandleCallerPacket(now, data(1)) {
			if a.Kind == steer.Send {
				count++
			}
		}
		return count
	}
	if sentCount(start.Add(time.Second)) == 0 {
		t.Error("a flow is not searched for at an agent that died a moment ago")
	}
	r.Tick(start.Add(2 * time.Minute))
	if sentCount(start.Add(2*time.Minute)) != 0 {
		t.Error("the agent is still known after two minutes")
	}
}

// NextTick used to scan all pending opening packets for each packet; the oldest one
// that is tracked instead must give the same time.
func TestNextTickIsWhenTheOldestOpeningPacketTimesOut(t *testing.T) {
	r := convergedRouter(agents("svc", 10, 11)...)
	if _, pending := r.NextTick(); pending {
		t.Fatal("a tick is due before any flow")
	}
	r.HandleCallerPacket(start, opening(1))
	r.HandleCallerPacket(start.Add(20*time.Millisecond), opening(2))
	first, _ := r.NextTick()

	e, payload := notice(opening(1), flow.Endpoint{})
	r.HandleAgentMessage(start.Add(30*time.Millisecond), e, payload, parse)
	r.Tick(first)
	second, pending := r.NextTick()
	if !pending || second.Sub(first) != 20*time.Millisecond {
		t.Errorf("due %v after the first, want 20 ms", second.Sub(first))
	}
}

// While all processes restarted, agents often changed their weight and state. Each
// such change used to make all searches for lost flows inconclusive, although it
// does not change which flows the agents may hold. Later, each new agent and process
// did so: among hundreds of agents that start together, no search ended for seconds.
func TestWhichAgentChangesNeedAnotherQuestion(t *testing.T) {
	tests := map[string]struct {
		change    func(*roster.Member)
		wantAsked []flow.Endpoint
	}{
		"takes no flows":     {func(m *roster.Member) { m.Weight = 0 }, nil},
		"leaves":             {func(m *roster.Member) { m.State = roster.Leaving }, nil},
		"has no flows":       {func(m *roster.Member) { m.NoFlows = true }, nil},
		"is another process": {func(m *roster.Member) { m.Incarnation++ }, []flow.Endpoint{endpoint(10)}},
		"is new":             {func(m *roster.Member) { m.Address = endpoint(12).AddrPort() }, []flow.Endpoint{endpoint(12)}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			r := convergedRouter(agents("svc", 10, 11)...)
			queries := queryAfterChain(t, r, start, r.HandleCallerPacket(start, data(1))[0])
			if len(queries) != 2 {
				t.Fatalf("%d agents were asked", len(queries))
			}
			reply(r, start, queries[0], fwdmsg.NotHeld)
			m := agents("svc", 10)[0]
			test.change(&m)
			r.UpdateMembers(start, []roster.Member{m})
			got := append([]steer.Action(nil), reply(r, start, queries[1], fwdmsg.NotHeld)...)
			var asked []flow.Endpoint
			for _, a := range got {
				if a.Envelope.Kind == fwdmsg.Query {
					asked = append(asked, a.To)
				}
			}
			if diff := cmp.Diff(test.wantAsked, asked); diff != "" {
				t.Fatal(diff)
			}
			if len(asked) > 0 {
				if len(got) != 1 {
					t.Fatalf("got %v before the agent has replied", reasonsOf(got))
				}
				got = reply(r, start, got[0], fwdmsg.NotHeld)
			}
			if diff := cmp.Diff([]steer.Reason{steer.FlowGone}, reasonsOf(got)); diff != "" {
				t.Error(diff)
			}
		})
	}
}
