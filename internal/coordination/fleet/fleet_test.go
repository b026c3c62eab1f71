package fleet_test

import (
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/coriandershift/coriandershift/internal/coordination/fleet"
	"github.com/coriandershift/coriandershift/internal/state/config"
	"github.com/coriandershift/coriandershift/internal/state/flow"
	"github.com/coriandershift/coriandershift/internal/state/roster"
)

const agentCount = 6

var start = time.Unix(1_800_000_000, 0)

func endpoint(lastOctet byte) flow.Endpoint {
	return flow.Endpoint{IP: [4]byte{10, 0, 0, lastOctet}, Port: 7000}
}

// agent returns the record of an agent; its failure domain is a to c by its number.
func agent(number byte, service string) roster.Member {
	return roster.Member{
		Address: endpoint(number).AddrPort(), Role: roster.Agent, Service: service, Domain: string('a' + rune(number%3)),
		State: roster.Alive, Weight: roster.MaxWeight, Incarnation: 1,
	}
}

func routeTo(services ...string) *config.Config {
	route := config.Route{Address: netip.MustParseAddrPort("198.18.0.1:443")}
	for _, s := range services {
		route.Shares = append(route.Shares, config.Share{Service: s, Weight: 1})
	}
	return &config.Config{Revision: 1, Routes: []config.Route{route}}
}

// newFleet returns a Fleet of agentCount agents of the service desk whose balancer started
// two minutes ago.
func newFleet() (*fleet.Fleet, *config.Route) {
	f := fleet.New(start.Add(-2 * time.Minute))
	cfg := routeTo("desk")
	f.Configure(start, cfg)
	for number := range byte(agentCount) {
		f.Update(start, []roster.Member{agent(number, "desk")})
	}
	return f, &cfg.Routes[0]
}

func numbersOf(agents []*fleet.Agent) []byte {
	var numbers []byte
	for _, a := range agents {
		numbers = append(numbers, a.Endpoint.IP[3])
	}
	slices.Sort(numbers)
	return numbers
}

// What a packet of an unknown flow is passed along, who is asked about it, and who takes
// new flows while one agent of six is not as the others.
func TestHolders(t *testing.T) {
	all, others := []byte{0, 1, 2, 3, 4, 5}, []byte{1, 2, 3, 4, 5}
	change := func(apply func(*roster.Member)) func(*fleet.Fleet) {
		return func(f *fleet.Fleet) {
			m := agent(0, "desk")
			m.Sequence = 1
			apply(&m)
			f.Update(start, []roster.Member{m})
		}
	}
	tests := map[string]struct {
		prepare                    func(*fleet.Fleet)
		likely, live, dead, ranked []byte
	}{
		"like the others":      {func(*fleet.Fleet) {}, all, all, nil, all},
		"it leaves":            {change(func(m *roster.Member) { m.Weight = 0 }), all, all, nil, others},
		"it holds no flows":    {change(func(m *roster.Member) { m.Weight, m.NoFlows = 0, true }), others, all, nil, others},
		"it has just died":     {change(func(m *roster.Member) { m.State = roster.Dead }), others, others, []byte{0}, others},
		"it died without flow": {change(func(m *roster.Member) { m.State, m.NoFlows = roster.Dead, true }), others, others, nil, others},
		"its domain is out": {func(f *fleet.Fleet) {
			cfg := routeTo("desk")
			cfg.Domains = []config.Domain{{Name: "a", Out: true}, {Name: "b"}, {Name: "c"}}
			f.Configure(start, cfg)
		}, all, all, nil, []byte{1, 2, 4, 5}},
		"it left a question unanswered": {func(f *fleet.Fleet) {
			f.Agent(endpoint(0)).RecordAsked(start.Add(-200 * time.Millisecond))
		}, others, all, nil, all},
		"it has answered": {func(f *fleet.Fleet) {
			f.Agent(endpoint(0)).RecordAsked(start.Add(-200 * time.Millisecond))
			f.Agent(endpoint(0)).RecordHeard(start.Add(-100 * time.Millisecond))
		}, all, all, nil, all},
		"it left opening packets without a notice": {func(f *fleet.Fleet) {
			f.Agent(endpoint(0)).RecordMissedNotice(start)
			f.Agent(endpoint(0)).RecordMissedNotice(start)
		}, others, all, nil, others},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			f, route := newFleet()
			test.prepare(f)
			live, dead := f.PossibleHolders(start, route, 7)
			got := [][]byte{numbersOf(f.LikelyHolders(start, route, 7)), numbersOf(live), numbersOf(dead), numbersOf(f.Ranked(start, 7, "desk", agentCount))}
			if diff := cmp.Diff([][]byte{test.likely, test.live, test.dead, test.ranked}, got); diff != "" {
				t.Error(diff)
			}
		})
	}
}

func TestAgentsOfAFormerServiceMayHoldFlows(t *testing.T) {
	f, _ := newFleet()
	f.Update(start, []roster.Member{agent(10, "hub")})
	next := routeTo("hub")
	f.Configure(start, next)
	live, _ := f.PossibleHolders(start, &next.Routes[0], 7)
	if diff := cmp.Diff([]byte{0, 1, 2, 3, 4, 5, 10}, numbersOf(live)); diff != "" {
		t.Error(diff)
	}
}

func TestADeadAgentIsForgottenAfterAMinute(t *testing.T) {
	f, _ := newFleet()
	m := agent(0, "desk")
	m.State = roster.Dead
	f.Update(start, []roster.Member{m})
	f.Evict(start.Add(59 * time.Second))
	if f.Agent(endpoint(0)) == nil {
		t.Error("it is forgotten after 59 s")
	}
	f.Evict(start.Add(time.Minute))
	if f.Agent(endpoint(0)) != nil || f.EligibleCount() != agentCount-1 {
		t.Errorf("after a minute %v is known, %d are eligible", f.Agent(endpoint(0)), f.EligibleCount())
	}
}
