package route_test

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"math"
	"net/netip"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/coriandershift/coriandershift/internal/coordination/route"
	"github.com/coriandershift/coriandershift/internal/state/config"
	"github.com/coriandershift/coriandershift/internal/state/connid"
	"github.com/coriandershift/coriandershift/internal/state/keyset"
	"github.com/coriandershift/coriandershift/internal/state/roster"
)

var keys = keyset.Set{
	ConnectionIDKeys: map[uint8][]byte{0: bytes.Repeat([]byte{1}, keyset.KeyLength)},
	ClusterKey:       bytes.Repeat([]byte{2}, keyset.KeyLength),
}

func agentAddress(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)}), 7200)
}

// deployment returns services and agents, which are spread evenly over the services
// and over four failure domains.
func deployment(services, agents int) (*config.Config, []roster.Member) {
	cfg := &config.Config{Revision: 1}
	for i := range 4 {
		cfg.Domains = append(cfg.Domains, config.Domain{Name: fmt.Sprint("d", i), Number: uint8(i + 1)})
	}
	for i := range services {
		cfg.Services = append(cfg.Services, config.Service{Name: fmt.Sprint("s", i), Number: uint32(i + 1)})
	}

	var members []roster.Member
	for i := range agents {
		members = append(members, roster.Member{
			Address: agentAddress(i), Role: roster.Agent, Name: fmt.Sprint("a", i), Domain: fmt.Sprint("d", i%4),
			Service: fmt.Sprint("s", i%services), State: roster.Alive, Weight: roster.MaxWeight,
		})
	}
	return cfg, members
}

func newRouter(cfg *config.Config, members []roster.Member) (*route.Router, *connid.Codec) {
	ids := connid.New(keys)
	r := route.New(keys, ids)
	r.Configure(cfg, members)
	return r, ids
}

func firstID(i int) []byte {
	return binary.BigEndian.AppendUint64(nil, uint64(i)*0x9e3779b97f4a7c15)
}

func TestEstablishedFlows(t *testing.T) {
	cfg, members := deployment(2, 8)
	cfg.Domains[2].Out = true
	members[4].State = roster.Dead
	members[0].State = roster.Leaving
	r, ids := newRouter(cfg, members)

	target := func(agent int, domain uint8, service uint32) connid.Target {
		return connid.Target{DomainNumber: domain, ServiceNumber: service, Agent: agentAddress(agent)}
	}
	tests := map[string]struct {
		target  connid.Target
		service uint32
		verdict route.Verdict
		reason  route.Reason
	}{
		"agent is alive":            {target(1, 2, 2), 2, route.RouteByID, ""},
		"leaving agent keeps flows": {target(0, 1, 1), 1, route.RouteByID, ""},
		"agent is unknown":          {target(99, 1, 1), 1, route.RouteByID, ""},
		"other service":             {target(1, 2, 2), 1, route.Drop, route.WrongService},
		"domain is out":             {target(2, 3, 1), 1, route.Reset, route.DomainOut},
		"agent is dead":             {target(4, 1, 1), 1, route.Reset, route.AgentDead},
		"unknown service":           {target(1, 2, 9), 9, route.Drop, route.UnknownService},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			id := ids.Seal(test.target, 7)
			d := r.Decide(route.Packet{DestinationID: id[:], ServiceNumber: test.service})
			if d.Verdict != test.verdict || d.Reason != test.reason {
				t.Fatalf("got %d %q, want %d %q", d.Verdict, d.Reason, test.verdict, test.reason)
			}
			if d.Verdict == route.RouteByID && d.Ranks[0] != test.target.Agent {
				t.Errorf("sent to %s, want %s", d.Ranks[0], test.target.Agent)
			}
		})
	}
}

func TestNewFlowsGoOnlyToEligibleAgents(t *testing.T) {
	cfg, members := deployment(1, 8)
	cfg.Domains[2].Out = true // agents 2 and 6
	cfg.DrainedUpstreams = []string{"a0"}
	members[1].State = roster.Leaving
	members[3].State = roster.Dead
	members[5].Weight = 0
	r, _ := newRouter(cfg, members)

	allowed := []netip.AddrPort{agentAddress(4), agentAddress(7)}
	for i := range 1000 {
		d := r.Decide(route.Packet{DestinationID: firstID(i), ServiceNumber: 1, MayOpenFlow: true})
		if d.Verdict != route.RouteByRank || d.RankCount != len(allowed) {
			t.Fatalf("got verdict %d with %d ranks", d.Verdict, d.RankCount)
		}
		for _, agent := range d.Ranks[:d.RankCount] {
			if !slices.Contains(allowed, agent) {
				t.Fatalf("flow goes to %s", agent)
			}
		}
	}
}

func TestMemberUpdatesLeadToTheSameTableAsANewRouter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg, members := deployment(3, 24)
		updated, ids := newRouter(cfg, members)
		for range rapid.IntRange(1, 40).Draw(t, "changes") {
			m := &members[rapid.IntRange(0, len(members)-1).Draw(t, "member")]
			m.State = rapid.SampledFrom([]roster.State{roster.Alive, roster.Leaving, roster.Dead}).Draw(t, "state")
			m.Weight = uint8(rapid.IntRange(0, roster.MaxWeight).Draw(t, "weight"))
			updated.UpdateMembers([]roster.Member{*m})
		}

		configured, _ := newRouter(cfg, members)
		for i := range 50 {
			first := route.Packet{DestinationID: firstID(i), ServiceNumber: uint32(i%3 + 1), MayOpenFlow: true}
			id := ids.Seal(connid.Target{DomainNumber: 1, ServiceNumber: uint32(i%3 + 1), Agent: agentAddress(i % 24)}, 1)
			established := route.Packet{DestinationID: id[:], ServiceNumber: uint32(i%3 + 1)}
			if updated.Decide(first) != configured.Decide(first) || updated.Decide(established) != configured.Decide(established) {
				t.Fatal("tables differ")
			}
		}
	})
}

func TestUnknownIDsAreDropped(t *testing.T) {
	cfg, members := deployment(1, 2)
	r, ids := newRouter(cfg, members)
	forged := ids.Seal(connid.Target{ServiceNumber: 1, Agent: agentAddress(0)}, 1)
	forged[5] ^= 1
	tests := map[string]struct {
		packet route.Packet
		want   route.Reason
	}{
		"forged":      {route.Packet{DestinationID: forged[:], ServiceNumber: 1}, route.ForgedID},
		"too short":   {route.Packet{DestinationID: firstID(1), ServiceNumber: 1}, route.UnknownID},
		"no upstream": {route.Packet{DestinationID: firstID(1), ServiceNumber: 1, MayOpenFlow: true}, route.NoUpstream},
	}
	withoutAgents, _ := newRouter(cfg, nil)
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			router := r
			if test.want == route.NoUpstream {
				router = withoutAgents
			}
			if d := router.Decide(test.packet); d.Verdict != route.Drop || d.Reason != test.want {
				t.Errorf("got %d %q, want %q", d.Verdict, d.Reason, test.want)
			}
		})
	}
}

func TestBalancersWithTheSameViewAgree(t *testing.T) {
	cfg, members := deployment(3, 30)
	a, _ := newRouter(cfg, members)
	slices.Reverse(members)
	b, _ := newRouter(cfg, members)
	for i := range 1000 {
		p := route.Packet{DestinationID: firstID(i), ServiceNumber: 2, MayOpenFlow: true}
		if x, y := a.Decide(p), b.Decide(p); x != y {
			t.Fatalf("balancers disagree: %v, %v", x, y)
		}
	}
}

func TestWeightsShareOutNewFlows(t *testing.T) {
	cfg, members := deployment(1, 4)
	members[0].Weight = 40
	r, _ := newRouter(cfg, members)
	counts := map[netip.AddrPort]int{}
	const flows = 34000
	for i := range flows {
		counts[r.Decide(route.Packet{DestinationID: firstID(i), ServiceNumber: 1, MayOpenFlow: true}).Ranks[0]]++
	}
	for i, want := range []float64{4000, 10000, 10000, 10000} {
		got := float64(counts[agentAddress(i)])
		if math.Abs(got-want) > 5*math.Sqrt(want) {
			t.Errorf("agent %d got %.0f of %d flows, want about %.0f", i, got, flows, want)
		}
	}
}

func TestDecideDoesNotAllocate(t *testing.T) {
	cfg, members := deployment(2, 11)
	r, ids := newRouter(cfg, members)
	id := ids.Seal(connid.Target{DomainNumber: 1, ServiceNumber: 1, Agent: agentAddress(0)}, 1)
	first := firstID(1)
	allocations := testing.AllocsPerRun(1000, func() {
		r.Decide(route.Packet{DestinationID: id[:], ServiceNumber: 1})
		r.Decide(route.Packet{DestinationID: first, ServiceNumber: 1, MayOpenFlow: true})
	})
	if allocations != 0 {
		t.Errorf("%v allocations, want 0", allocations)
	}
}

func BenchmarkDecide(b *testing.B) {
	sizes := map[string]struct{ services, agents int }{
		"11 agents":    {2, 11},
		"73000 agents": {15000, 73000},
	}
	for name, size := range sizes {
		cfg, members := deployment(size.services, size.agents)
		r, ids := newRouter(cfg, members)
		id := ids.Seal(connid.Target{DomainNumber: 1, ServiceNumber: 1, Agent: agentAddress(0)}, 1)
		b.Run("established/"+name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				r.Decide(route.Packet{DestinationID: id[:], ServiceNumber: 1})
			}
		})
		b.Run("opening/"+name, func(b *testing.B) {
			b.ReportAllocs()
			id := firstID(1)
			for b.Loop() {
				id[0]++
				r.Decide(route.Packet{DestinationID: id, ServiceNumber: 1, MayOpenFlow: true})
			}
		})
		b.Run("updateMembers/"+name, func(b *testing.B) {
			for b.Loop() {
				r.UpdateMembers(members[:1])
			}
		})
		b.Run("configure/"+name, func(b *testing.B) {
			for b.Loop() {
				r.Configure(cfg, members)
			}
		})
	}
}
