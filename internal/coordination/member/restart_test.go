package member_test

import (
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/coriandershift/coriandershift/internal/coordination/member"
	"github.com/coriandershift/coriandershift/internal/state/roster"
)

const (
	restartBalancers = 107
	restartAgents    = 229
	censusSeeds      = 12 // balancers that a starting process takes from the census
)

// restartAll starts all hosts anew within 0.2 s. As after a power failure, they know no
// more than the balancers that the census lists.
func (f *fleet) restartAll() {
	var balancers []netip.AddrPort
	for _, h := range f.nodes {
		if h.role == roster.Balancer {
			balancers = append(balancers, h.addr)
		}
		h.down = true
	}
	f.inFlight = nil
	for range 2 {
		for _, h := range f.nodes {
			if !h.down || f.random.IntN(2) == 0 {
				continue
			}
			f.startWithoutWeight(h)
			var seeds []netip.AddrPort
			for _, i := range f.random.Perm(len(balancers))[:censusSeeds] {
				seeds = append(seeds, balancers[i])
			}
			h.node.SetSeeds(seeds)
		}
		f.run(member.TickInterval)
	}
	for _, h := range f.nodes {
		if h.down {
			f.startWithoutWeight(h)
			h.node.SetSeeds(balancers[:censusSeeds])
		}
	}
}

// startWithoutWeight starts a host's node. A balancer takes no traffic at first.
func (f *fleet) startWithoutWeight(h *host) {
	f.start(h)
	if h.role == roster.Balancer {
		h.node.SetWeight(0)
	}
}

// unknownCount returns how many records the balancers lack, all together.
func (f *fleet) unknownCount() int {
	count := 0
	for _, h := range f.nodes {
		if h.role == roster.Balancer {
			count += len(f.nodes) - h.node.Roster().Len()
		}
	}
	return count
}

// After all processes of a fleet of hundreds restarted, pushes and the first digests
// took 2.5 s to spread their records, in which no balancer could tell lost flows.
func TestAllMembersAreKnownSoonAfterAllRestarted(t *testing.T) {
	const within = 1500 * time.Millisecond
	for seed := range uint64(3) {
		f := newFleet(t, seed, restartBalancers, restartAgents)
		f.run(20 * time.Second)
		f.restartAll()
		f.run(within)
		if unknown := f.unknownCount(); unknown > 0 {
			t.Errorf("seed %d: %d records are unknown after %v", seed, unknown, within)
		}
	}
}

// The pushes after a restart of all processes used to go on for 5 s and sent each
// record a dozen times from each balancer.
func TestPushesEndSoonAfterAllRestarted(t *testing.T) {
	f := newFleet(t, 1, restartBalancers, restartAgents)
	f.run(20 * time.Second)
	f.restartAll()
	f.run(3 * time.Second)
	f.sent = map[member.MessageKind]int{}
	f.run(2 * time.Second)
	if pushes := f.sent[member.Push]; pushes > restartBalancers {
		t.Errorf("%d pushes between 3 and 5 s after the restart", pushes)
	}
}

// After a restart of everything, agents that started a moment before the balancers used
// to be heard of 0.2 s later, in which no flow could be placed.
func TestAnAgentThatStartsBeforeItsBalancersIsSoonKnown(t *testing.T) {
	f := newFleet(t, 1, 4, 8)
	for _, h := range f.nodes {
		h.down = h.role == roster.Balancer
	}
	f.run(member.TickInterval)
	f.inFlight = nil // nobody listened
	for _, h := range f.nodes {
		if h.down {
			f.start(h)
		}
	}
	f.run(2 * member.TickInterval)
	known := 0
	for _, h := range f.nodes {
		if h.role == roster.Balancer {
			known = max(known, h.node.Roster().Len())
		}
	}
	if known < len(f.nodes)/2 {
		t.Errorf("no balancer knows more than %d of %d members", known, len(f.nodes))
	}
}

// A balancer that restarts in a large fleet gets the records that it lacks in replies to its
// digests, of 300 records at most. While others change all the time, each reply left out the
// same ones, those with the highest addresses: on the simulated deployment higi-sul-large a
// balancer took its list as complete after 10 s without them and reset open flows.
func TestABalancerThatJoinsALargeFleetLearnsAllMembers(t *testing.T) {
	const within = 3 * time.Second
	f := newFleet(t, 1, 20, 500)
	f.run(20 * time.Second)
	joining := f.nodes[7]
	f.startWithoutWeight(joining)
	changing := f.nodes[20:120]
	for weight := uint8(1); f.now.Sub(time.Unix(1_800_000_000, 0)) < 20*time.Second+within; weight++ {
		for _, h := range changing {
			h.node.SetWeight(weight)
		}
		f.run(member.TickInterval)
	}
	if known := joining.node.Roster().Len(); known != len(f.nodes) {
		t.Errorf("%d of %d members are known after %v", known, len(f.nodes), within)
	}
}

// Agents whose first heartbeat was acknowledged by a balancer without a configuration
// used to get one a second later, with the next heartbeat, and opened no flows until then.
// Agents that take no flows keep the longer interval: one whose VM was removed before a
// restart came back for some milliseconds, and searches for lost flows waited for it until
// it was dead.
func TestWhichProcessesRepeatTheirHeartbeatsAtOnce(t *testing.T) {
	tests := map[string]struct {
		acknowledged bool
		revision     uint64
		weight       uint8
		want         bool
	}{
		"not acknowledged":            {weight: roster.MaxWeight, want: true},
		"without a configuration":     {acknowledged: true, weight: roster.MaxWeight, want: true},
		"with a configuration":        {acknowledged: true, revision: 1, weight: roster.MaxWeight, want: false},
		"without flows":               {acknowledged: true, weight: 0, want: false},
		"without flows, not answered": {weight: 0, want: false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(1_800_000_000, 0)
			home := roster.Member{Address: netip.MustParseAddrPort("10.0.0.1:7100"), Role: roster.Balancer}
			n := member.New(roster.Member{
				Address: netip.MustParseAddrPort("10.0.0.2:7100"), Role: roster.Agent, Service: "s", Weight: test.weight,
			}, rand.New(rand.NewPCG(1, 1)))
			n.SetSeeds([]netip.AddrPort{home.Address})
			n.SetRevision(test.revision, 0)
			if sends := n.Tick(now); len(sends) != 1 {
				t.Fatalf("%d messages at the start, want 1", len(sends))
			}
			if test.acknowledged {
				n.Handle(now, member.Message{Kind: member.Ack, From: home, Homes: []netip.AddrPort{home.Address}})
			}
			n.SetSeeds([]netip.AddrPort{home.Address})

			repeated := false
			for end := now.Add(90 * time.Millisecond); now.Before(end); now = now.Add(n.TickDelay(now)) {
				repeated = repeated || len(n.Tick(now)) > 0
			}
			if repeated != test.want {
				t.Errorf("repeated within 90 ms: %v, want %v", repeated, test.want)
			}
		})
	}
}
