package steer_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/pkg/errors"

	"github.com/coriandershift/coriandershift/internal/coordination/steer"
	"github.com/coriandershift/coriandershift/internal/protocol/hop"
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
	return packet(port, func(p *flow.Packet) { p.Ack, p.Acknowledged, p.Length = true, 500, 10 })
}

// parse turns the Raw bytes of packet back into a data packet.
func parse(raw []byte) (flow.Packet, error) {
	if len(raw) != 2 {
		return flow.Packet{}, errors.New("not a packet of this test")
	}
	return *data(uint16(raw[0])<<8 | uint16(raw[1])), nil
}

// settled returns a Steer that knows all of its agents.
func settled(members ...roster.Member) *steer.Steer {
	s := steer.New(self, "a", start.Add(-time.Minute))
	s.Configure(cfg(1, "svc"))
	s.Members(start, cfg(1, "svc"), members)
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

func back(e hop.Envelope, from flow.Endpoint) *hop.Envelope {
	e.Kind, e.Agent = hop.Return, from
	return &e
}

func note(p *flow.Packet, from flow.Endpoint) (*hop.Envelope, []byte) {
	return &hop.Envelope{Kind: hop.Note, Agent: from, Load: 1, Slots: 5}, p.FromCaller().Append(nil)
}

func TestPacketsWithoutARouteAreReset(t *testing.T) {
	s := settled(agents("svc", 10)...)
	other := opening(1)
	other.Destination.Port = 9
	got := s.FromCaller(start, other)
	if len(got) != 1 || got[0].Verb != steer.Reset || got[0].Reason != steer.NoRoute {
		t.Errorf("got %+v", got)
	}

	fresh := steer.New(self, "a", start)
	if got := fresh.FromCaller(start, opening(1)); len(got) != 1 || got[0].Verb != steer.Drop {
		t.Errorf("without a configuration: got %+v, want a drop", got)
	}
}

func TestANewFlowGoesToTheLeastLoadedOfItsRanks(t *testing.T) {
	s := settled(agents("svc", 10, 11, 12, 13)...)
	loads := map[byte]uint16{10: 9, 11: 9, 12: 1, 13: 9}
	for last, load := range loads {
		p := opening(uint16(last))
		s.FromAgent(start, &hop.Envelope{Kind: hop.Note, Agent: endpoint(last), Load: load, Slots: 5}, p.FromCaller().Append(nil), parse)
	}
	got := s.FromCaller(start, opening(500))
	if len(got) != 1 || got[0].To != endpoint(12) || got[0].Envelope.Count != 3 {
		t.Errorf("got %+v", got)
	}
}

func TestACopyOfAnOpeningPacketGoesTheSameWay(t *testing.T) {
	s := settled(agents("svc", 10, 11, 12)...)
	first := s.FromCaller(start, opening(1))[0].To
	e, payload := note(opening(1), first)
	s.FromAgent(start, e, payload, parse)
	if got := s.FromCaller(start.Add(200*time.Millisecond), opening(1)); len(got) != 1 || got[0].To != first {
		t.Errorf("got %+v, want %v", got, first)
	}
}

func TestAnUnnotedOpeningPacketGoesToTheNextAgentAsARepeat(t *testing.T) {
	s := settled(agents("svc", 10, 11, 12)...)
	first := s.FromCaller(start, opening(1))[0]
	due, waiting := s.Due()
	if !waiting {
		t.Fatal("nothing is due")
	}
	got := s.Tick(due)
	if len(got) != 1 || got[0].Reason != steer.PlacedNext || got[0].To != first.Envelope.Ranks[0] {
		t.Fatalf("got %+v", got)
	}
	if !got[0].Envelope.Repeated {
		t.Error("the next agent may refuse a flow that the first one may have")
	}
}

func TestALateTickWaitsForNotes(t *testing.T) {
	s := settled(agents("svc", 10, 11)...)
	s.FromCaller(start, opening(1))
	if got := s.Tick(start.Add(500 * time.Millisecond)); len(got) != 0 {
		t.Errorf("a process that lacked processor time sent %+v", got)
	}
}

func TestASilentAgentIsAvoidedForAWhile(t *testing.T) {
	s := settled(agents("svc", 10, 11)...)
	now := start
	for port := uint16(1); port < 12; port++ {
		a := s.FromCaller(now, opening(port))[0]
		for a.To == endpoint(10) {
			due, _ := s.Due()
			now = due
			a = s.Tick(now)[0]
		}
		e, payload := note(opening(port), endpoint(11))
		s.FromAgent(now, e, payload, parse)
	}
	if got := s.FromCaller(now, opening(99)); got[0].To != endpoint(11) {
		t.Error("a flow went to the silent agent first")
	}
}

func TestAPacketOfAnUnknownFlowGoesAlongItsRanks(t *testing.T) {
	s := settled(agents("svc", 10, 11, 12)...)
	got := s.FromCaller(start, data(1))
	if diff := cmp.Diff([]steer.Reason{steer.Lookup}, kinds(got)); diff != "" {
		t.Fatal(diff)
	}
	if got[0].Envelope.Count != 2 || !got[0].Envelope.WantNote {
		t.Errorf("got %+v", got[0].Envelope)
	}

	holder := got[0].Envelope.Ranks[1]
	e, payload := note(data(1), holder)
	s.FromAgent(start, e, payload, parse)
	if got := s.FromCaller(start, data(1)); len(got) != 1 || got[0].To != holder || got[0].Reason != "" {
		t.Errorf("after the note: got %+v", got)
	}
}

// An agent that had stopped ended the chain, and the flow was never found: FLOW
// broke 11 to 24 times a day.
func TestABrokenChainIsFollowedByAskingAll(t *testing.T) {
	s := settled(agents("svc", 10, 11, 12)...)
	s.FromCaller(start, data(1))
	got := s.FromCaller(start.Add(200*time.Millisecond), data(1))
	want := []steer.Reason{steer.LookupAll, steer.LookupAll, steer.LookupAll}
	if diff := cmp.Diff(want, kinds(got)); diff != "" {
		t.Error(diff)
	}
}

func TestAFlowThatNobodyHasIsGone(t *testing.T) {
	s := settled(agents("svc", 10, 11, 12)...)
	a := s.FromCaller(start, data(1))[0]
	a.Envelope.Tried = 2
	got := s.FromAgent(start, back(a.Envelope, endpoint(12)), a.Packet, parse)
	if len(got) != 1 || got[0].Verb != steer.Reset || got[0].Reason != steer.Gone || got[0].Sequence != 500 {
		t.Errorf("got %+v", got)
	}
}

func TestDoubtLeavesAFlowAlone(t *testing.T) {
	dead := agent(12, "svc")
	dead.State = roster.Dead
	empty := dead
	empty.Empty = true
	tests := map[string]struct {
		last    roster.Member
		started time.Duration
		unsure  bool
		want    steer.Reason
	}{
		"all sure":                      {agent(12, "svc"), -time.Minute, false, steer.Gone},
		"an agent cannot know":          {agent(12, "svc"), -time.Minute, true, steer.NotFoundUnsure},
		"an agent died just now":        {dead, -time.Minute, false, steer.NotFoundDead},
		"an agent without flows died":   {empty, -time.Minute, false, steer.Gone},
		"the balancer started just now": {agent(12, "svc"), 0, false, steer.NotFoundUnsettled},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := steer.New(self, "a", start.Add(test.started))
			s.Configure(cfg(1, "svc"))
			s.Members(start, cfg(1, "svc"), append(agents("svc", 10, 11), test.last))
			s.Tick(start)

			a := s.FromCaller(start, data(1))[0]
			a.Envelope.Tried = uint8(a.Envelope.Count)
			a.Envelope.Unsure = test.unsure
			got := s.FromAgent(start, back(a.Envelope, endpoint(11)), a.Packet, parse)
			if reasons := kinds(got); reasons[len(reasons)-1] != test.want {
				t.Errorf("got %v, want %v at last", reasons, test.want)
			}
		})
	}
}

// Late answers to an earlier search were counted again, and a flow beside a frozen
// agent seemed gone (seed fresh-6aa4 of higi-sul).
func TestLateAnswersToAnEarlierSearchDoNotCount(t *testing.T) {
	s := settled(agents("svc", 10, 11, 12)...)
	first := s.FromCaller(start, data(1))[0]
	now := start.Add(200 * time.Millisecond)
	second := s.FromCaller(now, data(1))
	for _, a := range second[:2] {
		s.FromAgent(now, back(a.Envelope, a.To), a.Packet, parse)
	}

	first.Envelope.Tried = 2
	for _, late := range []*hop.Envelope{back(first.Envelope, endpoint(12)), back(second[0].Envelope, second[0].To)} {
		if got := s.FromAgent(now, late, first.Packet, parse); len(got) != 0 {
			t.Errorf("got %+v while one agent has not answered", got)
		}
	}
}

func TestAPacketThatTheKnownAgentDoesNotHoldIsLookedFor(t *testing.T) {
	s := settled(agents("svc", 10, 11, 12)...)
	e, payload := note(data(1), endpoint(10))
	s.FromAgent(start, e, payload, parse)
	a := s.FromCaller(start, data(1))[0]
	got := s.FromAgent(start, back(a.Envelope, endpoint(10)), a.Packet, parse)
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
	s.Members(start, moved, append(agents("svc", 10), agents("other", 20)...))
	got := s.FromCaller(start, data(1))
	if len(got) != 1 || got[0].To != endpoint(20) || got[0].Envelope.Ranks[0] != endpoint(10) {
		t.Errorf("got %+v", got)
	}
	if got := s.FromCaller(start, opening(2)); got[0].To != endpoint(20) || got[0].Envelope.Count != 0 {
		t.Errorf("a new flow: got %+v", got)
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
		if got := s.FromCaller(start, opening(port)); got[0].To != endpoint(10) || got[0].Envelope.Count != 0 {
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
			s.Members(start, cfg(1, "svc"), append(agents("svc", 10), test.others...))
			s.Expect(test.expected)
			s.Tick(start.Add(test.after))
			if got := s.Settled(); got != test.want {
				t.Errorf("got %v, want %v", got, test.want)
			}
		})
	}
}

func TestSettlingAnswersCallersThatWaited(t *testing.T) {
	s := steer.New(self, "a", start)
	s.Configure(cfg(1, "svc"))
	s.Members(start, cfg(1, "svc"), agents("svc", 10))
	a := s.FromCaller(start, data(1))[0]
	s.FromAgent(start, back(a.Envelope, endpoint(10)), a.Packet, parse)

	s.Expect([]flow.Endpoint{endpoint(10)})
	got := s.Tick(start.Add(200 * time.Millisecond))
	if diff := cmp.Diff([]steer.Reason{steer.Lookup}, kinds(got)); diff != "" {
		t.Fatal(diff)
	}
	got = s.FromAgent(start, back(got[0].Envelope, endpoint(10)), got[0].Packet, parse)
	if diff := cmp.Diff([]steer.Reason{steer.Gone}, kinds(got)); diff != "" {
		t.Error(diff)
	}
}

func TestFlowsAreForgotten(t *testing.T) {
	s := settled(agents("svc", 10)...)
	e, payload := note(data(1), endpoint(10))
	s.FromAgent(start, e, payload, parse)
	s.Tick(start.Add(30 * time.Second))
	if s.Flows() != 1 {
		t.Fatal("forgotten too soon")
	}
	s.Tick(start.Add(2 * time.Minute))
	if s.Flows() != 0 {
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
	for name, broken := range map[string]bool{"one after the other": false, "side by side": true} {
		t.Run(name, func(t *testing.T) {
			s := settled(agents("svc", lasts...)...)
			queue := append([]steer.Action(nil), s.FromCaller(start, data(1))...)
			now := start
			if broken {
				now = start.Add(200 * time.Millisecond)
				queue = append([]steer.Action(nil), s.FromCaller(now, data(1))...)
			}
			asked := map[flow.Endpoint]bool{}
			for len(queue) > 0 {
				a := queue[0]
				queue = queue[1:]
				if a.Verb == steer.Reset {
					if len(asked) != len(lasts) {
						t.Errorf("reset after %d of %d agents", len(asked), len(lasts))
					}
					return
				}
				e, at := a.Envelope, a.To
				asked[at] = true
				for next, ok := e.Next(); ok; next, ok = e.Next() {
					asked[next], at = true, next
				}
				queue = append(queue, s.FromAgent(now, back(e, at), a.Packet, parse)...)
			}
			t.Errorf("no reset after %d of %d agents", len(asked), len(lasts))
		})
	}
}

// Each answer of an agent that was taken for dead led to the same question again.
func TestAnAnsweredSearchAsksNobodyAnew(t *testing.T) {
	dead := agent(12, "svc")
	dead.State = roster.Dead
	s := settled(agent(10, "svc"), dead)
	a := s.FromCaller(start, data(1))[0]
	got := append([]steer.Action(nil), s.FromAgent(start, back(a.Envelope, endpoint(10)), a.Packet, parse)...)
	if diff := cmp.Diff([]steer.Reason{steer.LookupAll, steer.NotFoundDead}, kinds(got)); diff != "" {
		t.Fatal(diff)
	}
	if again := s.FromAgent(start, back(got[0].Envelope, endpoint(12)), a.Packet, parse); len(again) != 0 {
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
			s.Members(start, cfg(1, "svc"), append(agents("svc", 10), test.others...))
			s.Tick(start.Add(test.age))
			if got := s.Ready(); got != test.want {
				t.Errorf("got %v, want %v", got, test.want)
			}
		})
	}
}
