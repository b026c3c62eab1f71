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

// report tells a balancer the load of an agent.
func report(s *steer.Router, now time.Time, agent byte, load, slots uint16) {
	e, payload := note(opening(60000+uint16(agent)), endpoint(agent))
	e.Load, e.Slots = load, slots
	s.HandleAgentMessage(now, e, payload, parse)
}

func TestAFlowGoesStraightToTheShortestWaitWhenAllAreFull(t *testing.T) {
	s := settled(agents("svc", 10, 11, 12, 13)...)
	for agent, load := range map[byte]uint16{10: 7, 11: 6, 12: 9, 13: 8} {
		report(s, start, agent, load, 5)
	}
	got := s.HandleCallerPacket(start, opening(1))
	if len(got) != 1 || got[0].Reason != steer.PlacedAllFull || got[0].To != endpoint(11) {
		t.Fatalf("got %+v", got)
	}
	if e := got[0].Envelope; !e.WaitHere || e.RankCount != 0 {
		t.Errorf("got %+v", e)
	}
}

func TestAReportThatIsAMomentOldDoesNotMakeAnAgentFull(t *testing.T) {
	s := settled(agents("svc", 10, 11)...)
	report(s, start, 10, 7, 5)
	report(s, start, 11, 6, 5)
	got := s.HandleCallerPacket(start.Add(300*time.Millisecond), opening(1))
	if len(got) != 1 || got[0].Reason != steer.Placed || got[0].Envelope.RankCount != 1 {
		t.Errorf("got %+v", got)
	}
}

func TestChangesOfAgentsOneByOne(t *testing.T) {
	change := func(last byte, edit func(*roster.Member)) roster.Member {
		m := agents("svc", last)[0]
		edit(&m)
		return m
	}
	tests := map[string]struct {
		change roster.Member
		want   int // agents of any service that take new flows, of two
	}{
		"one more":                {agents("svc", 12)[0], 3},
		"one that is known":       {agents("svc", 10)[0], 2},
		"one leaves":              {change(10, func(m *roster.Member) { m.State = roster.Leaving }), 1},
		"one dies":                {change(10, func(m *roster.Member) { m.State = roster.Dead }), 1},
		"one takes nothing":       {change(10, func(m *roster.Member) { m.Weight = 0 }), 1},
		"one serves another":      {change(10, func(m *roster.Member) { m.Service = "other" }), 2},
		"one started anew":        {change(10, func(m *roster.Member) { m.Incarnation++ }), 2},
		"a balancer is no agent":  {change(12, func(m *roster.Member) { m.Role = roster.Balancer }), 2},
		"one of another service":  {agents("other", 12)[0], 3},
		"another service, leaves": {change(12, func(m *roster.Member) { m.Service, m.State = "other", roster.Leaving }), 2},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := settled(agents("svc", 10, 11)...)
			s.UpdateMembers(start, []roster.Member{test.change})
			if got := s.EligibleAgentCount(); got != test.want {
				t.Errorf("%d take new flows, want %d", got, test.want)
			}
		})
	}
}

func TestAnAgentThatMovedToAnotherServiceGetsNoFlowsOfTheOld(t *testing.T) {
	s := settled(agents("svc", 10, 11)...)
	s.UpdateMembers(start, agents("other", 10))
	for port := range uint16(20) {
		got := s.HandleCallerPacket(start, opening(port))
		if len(got) != 1 || got[0].To != endpoint(11) || got[0].Envelope.RankCount != 0 {
			t.Fatalf("port %d: got %+v", port, got)
		}
	}
}

func TestADeadAgentIsForgottenWhenNoFlowOfItsTimeLives(t *testing.T) {
	dead := agents("svc", 10)[0]
	dead.State = roster.Dead
	s := settled(dead)
	asked := func(now time.Time) int {
		count := 0
		for _, a := range s.HandleCallerPacket(now, data(1)) {
			if a.Kind == steer.Send {
				count++
			}
		}
		return count
	}
	if asked(start.Add(time.Second)) == 0 {
		t.Error("a living flow is not looked for at an agent that died a moment ago")
	}
	s.Tick(start.Add(2 * time.Minute))
	if asked(start.Add(2*time.Minute)) != 0 {
		t.Error("the agent is still known after two minutes")
	}
}

// The due time was found by looking at all opening packets for each packet.
func TestDueIsWhenTheOldestOpeningPacketIsToBeTriedAgain(t *testing.T) {
	s := settled(agents("svc", 10, 11)...)
	if _, waiting := s.NextTick(); waiting {
		t.Fatal("something is due before any flow")
	}
	s.HandleCallerPacket(start, opening(1))
	s.HandleCallerPacket(start.Add(20*time.Millisecond), opening(2))
	first, _ := s.NextTick()

	e, payload := note(opening(1), flow.Endpoint{})
	s.HandleAgentMessage(start.Add(30*time.Millisecond), e, payload, parse)
	s.Tick(first)
	second, waiting := s.NextTick()
	if !waiting || second.Sub(first) != 20*time.Millisecond {
		t.Errorf("due %v after the first, want 20 ms", second.Sub(first))
	}
}

// While all processes started anew, agents said every moment that they took flows
// now, and each time all searches for lost flows ended in doubt.
func TestASearchGoesOnWhenAnAgentOnlyTakesMoreOrLess(t *testing.T) {
	tests := map[string]struct {
		change func(*roster.Member)
		want   steer.Reason
	}{
		"takes no flows":     {func(m *roster.Member) { m.Weight = 0 }, steer.FlowGone},
		"leaves":             {func(m *roster.Member) { m.State = roster.Leaving }, steer.FlowGone},
		"has no flows":       {func(m *roster.Member) { m.NoFlows = true }, steer.FlowGone},
		"is another process": {func(m *roster.Member) { m.Incarnation++ }, steer.NotFoundAgentUncertain},
		"is new":             {func(m *roster.Member) { m.Address = endpoint(12).AddrPort() }, steer.NotFoundAgentUncertain},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := settled(agents("svc", 10, 11)...)
			questions := query(t, s, start, s.HandleCallerPacket(start, data(1))[0])
			if len(questions) != 2 {
				t.Fatalf("%d agents were asked", len(questions))
			}
			reply(s, start, questions[0], fwdmsg.NotHeld)
			m := agents("svc", 10)[0]
			test.change(&m)
			s.UpdateMembers(start, []roster.Member{m})
			got := reply(s, start, questions[1], fwdmsg.NotHeld)
			if diff := cmp.Diff([]steer.Reason{test.want}, kinds(got)); diff != "" {
				t.Error(diff)
			}
		})
	}
}
