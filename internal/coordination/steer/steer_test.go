package steer_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/pkg/errors"

	"github.com/coriandershift/coriandershift/internal/coordination/steer"
	"github.com/coriandershift/coriandershift/internal/protocol/fwdmsg"
	"github.com/coriandershift/coriandershift/internal/state/config"
	"github.com/coriandershift/coriandershift/internal/state/flow"
	"github.com/coriandershift/coriandershift/internal/state/roster"
)

var (
	start   = time.Unix(1_800_000_000, 0)
	self    = endpoint(1)
	service = flow.Endpoint{IP: [4]byte{198, 18, 0, 1}, Port: 443}
	peer    = endpoint(2)
)

func endpoint(last byte) flow.Endpoint {
	return flow.Endpoint{IP: [4]byte{10, 0, 0, last}, Port: 7000}
}

func cfg(revision uint64, services ...string) *config.Config {
	c := &config.Config{Revision: revision}
	for _, name := range services {
		c.Services = append(c.Services, config.Service{Name: name})
	}
	if len(services) > 0 {
		c.Routes = []config.Route{{
			Name: "r", Address: service.AddrPort(), Shares: []config.Share{{Service: services[0], Weight: 1}},
		}}
	}
	return c
}

func agent(last byte, service string) roster.Member {
	return roster.Member{
		Address: endpoint(last).AddrPort(), Role: roster.Agent, Service: service, Domain: "a",
		State: roster.Alive, Weight: roster.MaxWeight, Incarnation: 1,
	}
}

func balancer(last byte, weight uint8) roster.Member {
	return roster.Member{Address: endpoint(last).AddrPort(), Role: roster.Balancer, State: roster.Alive, Weight: weight, Incarnation: 1}
}

func agents(service string, lasts ...byte) []roster.Member {
	var list []roster.Member
	for _, last := range lasts {
		list = append(list, agent(last, service))
	}
	return list
}

func packet(port uint16, change func(*flow.Packet)) *flow.Packet {
	p := &flow.Packet{
		Source: flow.Endpoint{IP: [4]byte{100, 64, 0, 7}, Port: port}, Destination: service,
		Sequence: 1000, Raw: []byte{byte(port >> 8), byte(port)},
	}
	change(p)
	return p
}

func opening(port uint16) *flow.Packet {
	return packet(port, func(p *flow.Packet) { p.Open = true })
}

func data(port uint16) *flow.Packet {
	return packet(port, func(p *flow.Packet) { p.Ack, p.Acknowledged, p.DataLength = true, 500, 10 })
}

// parse turns the Raw bytes of packet back into a data packet.
func parse(raw []byte) (flow.Packet, error) {
	if len(raw) != 2 {
		return flow.Packet{}, errors.New("not a packet of this test")
	}
	return *data(uint16(raw[0])<<8 | uint16(raw[1])), nil
}

// settled returns a Router that knows all of its agents.
func settled(members ...roster.Member) *steer.Router {
	s := steer.New(self, "a", start.Add(-time.Minute))
	s.Configure(cfg(1, "svc"))
	s.UpdateMembers(start, members)
	s.Tick(start)
	return s
}

func kinds(actions []steer.Action) []steer.Reason {
	var reasons []steer.Reason
	for _, a := range actions {
		reasons = append(reasons, a.Reason)
	}
	return reasons
}

func back(e fwdmsg.Envelope, from flow.Endpoint) *fwdmsg.Envelope {
	e.Kind, e.Agent = fwdmsg.ReturnedPacket, from
	return &e
}

func note(p *flow.Packet, from flow.Endpoint) (*fwdmsg.Envelope, []byte) {
	return &fwdmsg.Envelope{Kind: fwdmsg.Notice, Agent: from, Load: 1, Slots: 5}, p.KeyFromCaller().Append(nil)
}

func TestPacketsWithoutARouteAreReset(t *testing.T) {
	s := settled(agents("svc", 10)...)
	other := opening(1)
	other.Destination.Port = 9
	got := s.HandleCallerPacket(start, other)
	if len(got) != 1 || got[0].Kind != steer.Reset || got[0].Reason != steer.NoRoute {
		t.Errorf("got %+v", got)
	}

	fresh := steer.New(self, "a", start.Add(-time.Second))
	if got := fresh.HandleCallerPacket(start, opening(1)); len(got) != 1 || got[0].Kind != steer.Drop {
		t.Errorf("without a configuration: got %+v, want a drop", got)
	}
}

func TestANewFlowGoesToTheLeastLoadedOfItsRanks(t *testing.T) {
	s := settled(agents("svc", 10, 11, 12, 13)...)
	loads := map[byte]uint16{10: 9, 11: 9, 12: 1, 13: 9}
	for last, load := range loads {
		p := opening(uint16(last))
		s.HandleAgentMessage(start, &fwdmsg.Envelope{Kind: fwdmsg.Notice, Agent: endpoint(last), Load: load, Slots: 5}, p.KeyFromCaller().Append(nil), parse)
	}
	got := s.HandleCallerPacket(start, opening(500))
	if len(got) != 1 || got[0].To != endpoint(12) || got[0].Envelope.RankCount != 3 {
		t.Errorf("got %+v", got)
	}
}

func TestACopyOfAnOpeningPacketGoesTheSameWay(t *testing.T) {
	s := settled(agents("svc", 10, 11, 12)...)
	first := s.HandleCallerPacket(start, opening(1))[0].To
	e, payload := note(opening(1), first)
	s.HandleAgentMessage(start, e, payload, parse)
	if got := s.HandleCallerPacket(start.Add(200*time.Millisecond), opening(1)); len(got) != 1 || got[0].To != first {
		t.Errorf("got %+v, want %v", got, first)
	}
}

func TestAnUnnotedOpeningPacketGoesToTheNextAgentAsARepeat(t *testing.T) {
	s := settled(agents("svc", 10, 11, 12)...)
	first := s.HandleCallerPacket(start, opening(1))[0]
	due, waiting := s.NextTick()
	if !waiting {
		t.Fatal("nothing is due")
	}
	got := s.Tick(due)
	if len(got) != 1 || got[0].Reason != steer.PlacedNextAfterSilence || got[0].To != first.Envelope.Ranks[0] {
		t.Fatalf("got %+v", got)
	}
	if !got[0].Envelope.MaybeDuplicate {
		t.Error("the next agent may refuse a flow that the first one may have")
	}
}

func TestALateTickWaitsForNotes(t *testing.T) {
	s := settled(agents("svc", 10, 11)...)
	s.HandleCallerPacket(start, opening(1))
	if got := s.Tick(start.Add(500 * time.Millisecond)); len(got) != 0 {
		t.Errorf("a process that lacked processor time sent %+v", got)
	}
}

func TestASilentAgentIsAvoidedForAWhile(t *testing.T) {
	s := settled(agents("svc", 10, 11)...)
	now := start
	for port := uint16(1); port < 12; port++ {
		a := s.HandleCallerPacket(now, opening(port))[0]
		for a.To == endpoint(10) {
			due, _ := s.NextTick()
			now = due
			a = s.Tick(now)[0]
		}
		e, payload := note(opening(port), endpoint(11))
		s.HandleAgentMessage(now, e, payload, parse)
	}
	if got := s.HandleCallerPacket(now, opening(99)); got[0].To != endpoint(11) {
		t.Error("a flow went to the silent agent first")
	}
}

func TestAPacketOfAnUnknownFlowGoesAlongItsRanks(t *testing.T) {
	s := settled(agents("svc", 10, 11, 12)...)
	got := s.HandleCallerPacket(start, data(1))
	if diff := cmp.Diff([]steer.Reason{steer.Lookup}, kinds(got)); diff != "" {
		t.Fatal(diff)
	}
	if got[0].Envelope.RankCount != 2 || !got[0].Envelope.WantNotice {
		t.Errorf("got %+v", got[0].Envelope)
	}

	holder := got[0].Envelope.Ranks[1]
	e, payload := note(data(1), holder)
	s.HandleAgentMessage(start, e, payload, parse)
	if got := s.HandleCallerPacket(start, data(1)); len(got) != 1 || got[0].To != holder || got[0].Reason != "" {
		t.Errorf("after the note: got %+v", got)
	}
}

// query ends the chain of a search without a find and returns the round of questions.
func query(t *testing.T, s *steer.Router, now time.Time, a steer.Action) []steer.Action {
	t.Helper()
	e := a.Envelope
	e.TriedCount = uint8(e.RankCount)
	if got := s.HandleAgentMessage(now, back(e, a.To), a.Packet, parse); len(got) != 0 {
		t.Fatalf("after the chain: got %v", kinds(got))
	}
	questions := append([]steer.Action(nil), s.Tick(now)...)
	for _, q := range questions {
		if q.Envelope.Kind != fwdmsg.Query {
			t.Fatalf("got %+v, want a query", q)
		}
	}
	return questions
}

// reply answers a query for one flow.
func reply(s *steer.Router, now time.Time, q steer.Action, word fwdmsg.HeldStatus) []steer.Action {
	e := q.Envelope
	e.Kind, e.Agent = fwdmsg.QueryReply, q.To
	return s.HandleAgentMessage(now, &e, []byte{byte(word)}, parse)
}

// An agent that had stopped ended the chain, and the flow was never found: FLOW
// broke 11 to 24 times a day.
func TestABrokenChainIsFollowedByAskingAll(t *testing.T) {
	s := settled(agents("svc", 10, 11, 12)...)
	s.HandleCallerPacket(start, data(1))
	now := start.Add(150 * time.Millisecond)
	got := append([]steer.Action(nil), s.Tick(now)...)
	if len(got) != 3 || got[0].Envelope.Kind != fwdmsg.Query {
		t.Fatalf("got %+v", got)
	}
	found := reply(s, now, got[1], fwdmsg.Held)
	if len(found) != 1 || found[0].To != got[1].To || found[0].Reason != steer.Found {
		t.Errorf("got %+v", found)
	}
}

func TestAFlowThatNobodyHasIsGone(t *testing.T) {
	s := settled(agents("svc", 10, 11, 12)...)
	questions := query(t, s, start, s.HandleCallerPacket(start, data(1))[0])
	if len(questions) != 3 {
		t.Fatalf("%d agents asked", len(questions))
	}
	var got []steer.Action
	for _, q := range questions {
		if len(got) != 0 {
			t.Fatalf("got %v before all answered", kinds(got))
		}
		got = append(got, reply(s, start, q, fwdmsg.NotHeld)...)
	}
	if len(got) != 1 || got[0].Kind != steer.Reset || got[0].Reason != steer.FlowGone || got[0].Sequence != 500 {
		t.Errorf("got %+v", got)
	}
}

func TestFlowsThatAreLostTogetherAreAskedForTogether(t *testing.T) {
	s := settled(agents("svc", 10, 11)...)
	const flows = 100
	for port := range uint16(flows) {
		s.HandleCallerPacket(start, data(port))
	}
	got := s.Tick(start.Add(150 * time.Millisecond))
	if want := 2 * 2; len(got) != want { // 64 and 36 flows, two agents
		t.Errorf("%d messages, want %d", len(got), want)
	}
	asked := 0
	for _, q := range got {
		questions, err := fwdmsg.ParseQuestions(q.Packet)
		if err != nil {
			t.Fatal(err)
		}
		asked += len(questions)
	}
	if asked != 2*flows {
		t.Errorf("%d questions, want %d", asked, 2*flows)
	}
}

func TestAgentsThatCannotKnowAreOfferedThePacket(t *testing.T) {
	s := settled(agents("svc", 10, 11)...)
	questions := query(t, s, start, s.HandleCallerPacket(start, data(1))[0])
	reply(s, start, questions[0], fwdmsg.NotHeld)
	got := append([]steer.Action(nil), reply(s, start, questions[1], fwdmsg.Uncertain)...)
	if len(got) != 1 || got[0].Reason != steer.Offered || got[0].To != questions[1].To {
		t.Fatalf("got %+v", got)
	}

	t.Run("it is bounced", func(t *testing.T) {
		gone := s.HandleAgentMessage(start, back(got[0].Envelope, got[0].To), got[0].Packet, parse)
		if diff := cmp.Diff([]steer.Reason{steer.FlowGone}, kinds(gone)); diff != "" {
			t.Error(diff)
		}
	})
}

func TestDoubtLeavesAFlowAlone(t *testing.T) {
	dead := agent(12, "svc")
	dead.State = roster.Dead
	empty := dead
	empty.NoFlows = true
	tests := map[string]struct {
		last    roster.Member
		started time.Duration
		unsure  bool
		want    steer.Reason
	}{
		"all sure":                      {agent(12, "svc"), -time.Minute, false, steer.FlowGone},
		"an agent cannot know":          {agent(12, "svc"), -time.Minute, true, steer.NotFoundAgentUncertain},
		"an agent died just now":        {dead, -time.Minute, false, steer.NotFoundAgentDied},
		"an agent without flows died":   {empty, -time.Minute, false, steer.FlowGone},
		"the balancer started just now": {agent(12, "svc"), 0, false, steer.NotFoundAgentsUnknown},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := steer.New(self, "a", start.Add(test.started))
			s.Configure(cfg(1, "svc"))
			s.UpdateMembers(start, append(agents("svc", 10, 11), test.last))
			s.Tick(start)

			var got []steer.Action
			for _, q := range query(t, s, start, s.HandleCallerPacket(start, data(1))[0]) {
				word := fwdmsg.NotHeld
				if test.unsure {
					word = fwdmsg.Uncertain
				}
				got = append(got, reply(s, start, q, word)...)
			}
			if test.unsure { // the offers are not answered
				got = append(got, s.Tick(start.Add(500*time.Millisecond))...)
			}
			if reasons := kinds(got); len(reasons) == 0 || reasons[len(reasons)-1] != test.want {
				t.Errorf("got %v, want %v at last", reasons, test.want)
			}
		})
	}
}

// Late answers to an earlier search were counted again, and a flow beside a frozen
// agent seemed gone (seed fresh-6aa4 of higi-sul).
func TestLateAnswersToAnEarlierSearchDoNotCount(t *testing.T) {
	s := settled(agents("svc", 10, 11, 12)...)
	first := query(t, s, start, s.HandleCallerPacket(start, data(1))[0])
	reply(s, start, first[0], fwdmsg.NotHeld)
	now := start.Add(500 * time.Millisecond)
	s.Tick(now) // two agents are silent
	s.HandleCallerPacket(now, data(1))
	second := append([]steer.Action(nil), s.Tick(now)...)
	if len(second) != 3 {
		t.Fatalf("got %v", kinds(second))
	}
	for _, late := range append(first, second[0], second[0], second[1]) {
		if got := reply(s, now, late, fwdmsg.NotHeld); len(got) != 0 {
			t.Errorf("got %v while one agent has not answered", kinds(got))
		}
	}
}

func TestAPacketThatTheKnownAgentDoesNotHoldIsLookedFor(t *testing.T) {
	s := settled(agents("svc", 10, 11, 12)...)
	e, payload := note(data(1), endpoint(10))
	s.HandleAgentMessage(start, e, payload, parse)
	a := s.HandleCallerPacket(start, data(1))[0]
	got := s.HandleAgentMessage(start, back(a.Envelope, endpoint(10)), a.Packet, parse)
	if diff := cmp.Diff([]steer.Reason{steer.Lookup}, kinds(got)); diff != "" {
		t.Fatal(diff)
	}
	if got[0].To == endpoint(10) {
		t.Error("asked the agent again that does not have it")
	}
}

func TestOpenFlowsAreLookedForWhereTheirRouteLedBefore(t *testing.T) {
	s := settled(append(agents("svc", 10), agents("other", 20)...)...)
	moved := cfg(2, "other", "svc")
	s.Configure(moved)
	s.UpdateMembers(start, append(agents("svc", 10), agents("other", 20)...))
	got := s.HandleCallerPacket(start, data(1))
	if len(got) != 1 || got[0].To != endpoint(20) || got[0].Envelope.Ranks[0] != endpoint(10) {
		t.Errorf("got %+v", got)
	}
	if got := s.HandleCallerPacket(start, opening(2)); got[0].To != endpoint(20) || got[0].Envelope.RankCount != 0 {
		t.Errorf("a new flow: got %+v", got)
	}
}

// A balancer that starts after a route was led elsewhere cannot know it, and must
// not say that a flow is gone which is open where the route led before.
func TestABalancerThatStartsAsksAllServices(t *testing.T) {
	for name, test := range map[string]struct {
		age  time.Duration
		want int
	}{
		"within the life of a flow": {20 * time.Second, 2},
		"later":                     {2 * time.Minute, 1},
	} {
		t.Run(name, func(t *testing.T) {
			s := steer.New(self, "a", start.Add(-test.age))
			s.Configure(cfg(1, "svc", "other"))
			s.UpdateMembers(start, append(agents("svc", 10), agents("other", 20)...))
			s.Tick(start)
			s.HandleCallerPacket(start, data(1))
			if got := s.Tick(start.Add(150 * time.Millisecond)); len(got) != test.want {
				t.Errorf("%d agents asked, want %d", len(got), test.want)
			}
		})
	}
}

func TestAgentsOfADomainThatIsOutGetNoNewFlows(t *testing.T) {
	away := agent(11, "svc")
	away.Domain = "b"
	s := settled(agent(10, "svc"), away)
	out := cfg(2, "svc")
	out.Domains = []config.Domain{{Name: "b", Number: 1, Out: true}}
	s.Configure(out)
	for port := range uint16(50) {
		if got := s.HandleCallerPacket(start, opening(port)); got[0].To != endpoint(10) || got[0].Envelope.RankCount != 0 {
			t.Fatalf("got %+v", got)
		}
	}
}

func TestSettling(t *testing.T) {
	tests := map[string]struct {
		expected []flow.Endpoint
		others   []roster.Member
		after    time.Duration
		want     bool
	}{
		"all started anew, all known":              {[]flow.Endpoint{endpoint(10), peer}, []roster.Member{balancer(2, 0)}, 100 * time.Millisecond, true},
		"all started anew, one missing":            {[]flow.Endpoint{endpoint(10), endpoint(11)}, []roster.Member{balancer(2, 0)}, 5 * time.Second, false},
		"others ran before: the census may be old": {[]flow.Endpoint{endpoint(10)}, []roster.Member{balancer(2, 100)}, 100 * time.Millisecond, false},
		"others ran before, after a while":         {[]flow.Endpoint{endpoint(10)}, []roster.Member{balancer(2, 100)}, 3 * time.Second, true},
		"a missing one is not waited for forever":  {[]flow.Endpoint{endpoint(11)}, nil, 10 * time.Second, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := steer.New(self, "a", start)
			s.Configure(cfg(1, "svc"))
			s.UpdateMembers(start, append(agents("svc", 10), test.others...))
			s.ExpectMembers(test.expected)
			s.Tick(start.Add(test.after))
			if got := s.Converged(); got != test.want {
				t.Errorf("got %v, want %v", got, test.want)
			}
		})
	}
}

func TestABalancerThatAgreesWithOneThatKnowsAllIsSettled(t *testing.T) {
	s := steer.New(self, "a", start)
	s.Configure(cfg(1, "svc"))
	s.UpdateMembers(start, append(agents("svc", 10), balancer(2, 100)))
	s.ExpectMembers([]flow.Endpoint{endpoint(10), endpoint(11)})
	s.MarkSynced()
	s.Tick(start.Add(500 * time.Millisecond))
	if s.Converged() {
		t.Error("settled without an agent that was known before")
	}
	s.UpdateMembers(start, agents("svc", 11))
	s.Tick(start.Add(600 * time.Millisecond))
	if !s.Converged() {
		t.Error("not settled")
	}
}

func TestSettlingAnswersCallersThatWaited(t *testing.T) {
	s := steer.New(self, "a", start)
	s.Configure(cfg(1, "svc"))
	s.UpdateMembers(start, agents("svc", 10))
	questions := query(t, s, start, s.HandleCallerPacket(start, data(1))[0])
	if diff := cmp.Diff([]steer.Reason{steer.NotFoundAgentsUnknown}, kinds(reply(s, start, questions[0], fwdmsg.NotHeld))); diff != "" {
		t.Fatal(diff)
	}

	s.ExpectMembers([]flow.Endpoint{endpoint(10)})
	again := append([]steer.Action(nil), s.Tick(start.Add(200*time.Millisecond))...)
	if len(again) != 1 || again[0].Envelope.Kind != fwdmsg.Query {
		t.Fatalf("got %+v", again)
	}
	got := reply(s, start.Add(200*time.Millisecond), again[0], fwdmsg.NotHeld)
	if diff := cmp.Diff([]steer.Reason{steer.FlowGone}, kinds(got)); diff != "" {
		t.Error(diff)
	}
}

func TestFlowsAreForgotten(t *testing.T) {
	s := settled(agents("svc", 10)...)
	e, payload := note(data(1), endpoint(10))
	s.HandleAgentMessage(start, e, payload, parse)
	s.Tick(start.Add(30 * time.Second))
	if s.FlowCount() != 1 {
		t.Fatal("forgotten too soon")
	}
	s.Tick(start.Add(2 * time.Minute))
	if s.FlowCount() != 0 {
		t.Error("an idle flow is still cached")
	}
}

// A balancer that had just started placed a flow among the few agents it knew; the
// next one looked at the first 24 of 46 ranks and reset it (FLOW on the grown higi-sul).
func TestAllAgentsAreAskedBeforeAFlowIsGone(t *testing.T) {
	var lasts []byte
	for last := byte(10); last < 56; last++ {
		lasts = append(lasts, last)
	}
	s := settled(agents("svc", lasts...)...)
	questions := query(t, s, start, s.HandleCallerPacket(start, data(1))[0])
	if len(questions) != len(lasts) {
		t.Fatalf("%d of %d agents asked", len(questions), len(lasts))
	}
	for i, q := range questions {
		got := reply(s, start, q, fwdmsg.NotHeld)
		if last := i == len(questions)-1; (len(got) == 1) != last {
			t.Fatalf("after %d answers: got %v", i+1, kinds(got))
		}
	}
}

// Agents of VMs that had been taken away came back for a second after an outage and
// kept all lost flows in doubt for eight (trouble-1 of the grown higi-sul).
func TestAnEmptyAgentIsWaitedForAMomentOnly(t *testing.T) {
	for name, empty := range map[string]bool{"empty": true, "not empty": false} {
		t.Run(name, func(t *testing.T) {
			last := agent(12, "svc")
			last.NoFlows = empty
			s := settled(append(agents("svc", 10, 11), last)...)
			for _, q := range query(t, s, start, s.HandleCallerPacket(start, data(1))[0]) {
				if q.To != endpoint(12) {
					reply(s, start, q, fwdmsg.NotHeld)
				}
			}
			want := []steer.Reason{steer.FlowGone}
			if !empty {
				want = nil
			}
			if diff := cmp.Diff(want, kinds(s.Tick(start.Add(200*time.Millisecond)))); diff != "" {
				t.Error(diff)
			}
		})
	}
}

func TestAnAnsweredSearchAsksNobodyAnew(t *testing.T) {
	dead := agent(12, "svc")
	dead.State = roster.Dead
	s := settled(agent(10, "svc"), dead)
	questions := query(t, s, start, s.HandleCallerPacket(start, data(1))[0])
	reply(s, start, questions[0], fwdmsg.NotHeld)
	got := reply(s, start, questions[1], fwdmsg.NotHeld)
	if diff := cmp.Diff([]steer.Reason{steer.NotFoundAgentDied}, kinds(got)); diff != "" {
		t.Fatal(diff)
	}
	if again := s.Tick(start.Add(time.Second)); len(again) != 0 {
		t.Errorf("got %v", kinds(again))
	}
}

func TestReadiness(t *testing.T) {
	tests := map[string]struct {
		others []roster.Member
		age    time.Duration
		want   bool
	}{
		"all started anew":               {[]roster.Member{balancer(2, 0)}, 0, true},
		"others go on":                   {[]roster.Member{balancer(2, 100)}, 0, false},
		"others go on, all agents known": {[]roster.Member{balancer(2, 100)}, 11 * time.Second, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := steer.New(self, "a", start)
			if s.Ready() {
				t.Error("ready without a configuration")
			}
			s.Configure(cfg(1, "svc"))
			s.UpdateMembers(start, append(agents("svc", 10), test.others...))
			s.Tick(start.Add(test.age))
			if got := s.Ready(); got != test.want {
				t.Errorf("got %v, want %v", got, test.want)
			}
		})
	}
}

func TestAFloodOfOpeningPacketsHoldsNoMemory(t *testing.T) {
	s := settled(agents("svc", 10, 11)...)
	for i := range 200000 {
		p := opening(uint16(i))
		p.Source.IP[3] = byte(i >> 16)
		if got := s.HandleCallerPacket(start, p); len(got) != 1 || got[0].Kind != steer.Send {
			t.Fatalf("got %+v", got)
		}
	}
	if s.FlowCount() > 10000 {
		t.Errorf("%d flows are cached that no agent has noted", s.FlowCount())
	}
}
