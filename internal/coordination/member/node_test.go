package member_test

import (
	"testing"
	"time"

	"github.com/coriandershift/coriandershift/internal/coordination/member"
	"github.com/coriandershift/coriandershift/internal/state/roster"
)

const (
	// convergeTime is the time within which every balancer must know of a change.
	// Users are promised a few seconds.
	convergeTime = 4 * time.Second

	// detectTime is the time within which every balancer must know of a death.
	detectTime = member.DeadAfter + convergeTime
)

// newConvergedFleet returns a fleet in which every balancer knows every member.
func newConvergedFleet(t *testing.T, seed uint64, balancers, agents int) *fleet {
	f := newFleet(t, seed, balancers, agents)
	f.mustConverge(2 * convergeTime)
	f.run(detectTime)
	f.mustConverge(0)
	return f
}

func TestEveryBalancerLearnsOfEveryMember(t *testing.T) {
	tests := map[string]struct{ balancers, agents int }{
		"one balancer":     {1, 3},
		"three balancers":  {3, 11},
		"twelve balancers": {12, 100},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			newConvergedFleet(t, 1, test.balancers, test.agents)
		})
	}
}

func TestDeadMembersAreNoticed(t *testing.T) {
	tests := map[string]func(*fleet) []*host{
		"one agent":          func(f *fleet) []*host { return f.nodes[20:21] },
		"one balancer":       func(f *fleet) []*host { return f.nodes[3:4] },
		"agent and its home": func(f *fleet) []*host { return append(homesOf(f, f.nodes[20])[:1], f.nodes[20]) },
		"agent and both homes": func(f *fleet) []*host {
			return append(homesOf(f, f.nodes[20]), f.nodes[20])
		},
		"a failure domain": func(f *fleet) []*host { return inDomain(f, "d2") },
	}
	for name, choose := range tests {
		t.Run(name, func(t *testing.T) {
			f := newConvergedFleet(t, 2, 12, 60)
			for _, h := range choose(f) {
				h.down = true
			}
			f.mustConverge(2 * detectTime)
		})
	}
}

func TestPausedMemberIsAliveAgainOnResume(t *testing.T) {
	tests := map[string]int{"agent": 20, "balancer": 3}
	for name, index := range tests {
		t.Run(name, func(t *testing.T) {
			f := newConvergedFleet(t, 3, 6, 30)
			h := f.nodes[index]
			h.paused = true
			f.run(2 * detectTime)
			if wrong := f.disagreeing(h, roster.Dead); len(wrong) > 0 {
				t.Fatalf("%d balancers have not noticed the pause", len(wrong))
			}
			f.resume(h)
			f.mustConverge(convergeTime)
		})
	}
}

func TestPausedHomeDeclaresNobodyDead(t *testing.T) {
	f := newConvergedFleet(t, 4, 6, 30)
	home := f.nodes[2]
	home.paused = true
	f.run(2 * member.DeadAfter)
	f.resume(home)
	for _, h := range f.nodes {
		if h != home && stateAt(home, h) == roster.Dead {
			t.Errorf("%s was declared dead by a home that had been paused", h.addr)
		}
	}
	f.mustConverge(convergeTime)
}

func TestCutOffBalancerDeclaresNobodyDead(t *testing.T) {
	f := newConvergedFleet(t, 5, 6, 30)
	isolated := f.nodes[4]
	f.drop = func(from, to *host) bool { return from == isolated || to == isolated }
	f.run(time.Minute)
	for _, h := range f.nodes {
		if stateAt(isolated, h) == roster.Dead {
			t.Errorf("%s was declared dead by a balancer that was cut off", h.addr)
		}
	}

	f.drop = func(_, _ *host) bool { return false }
	f.mustConverge(2 * convergeTime)
}

func TestNoReachableMemberIsGivenUpAfterAPartition(t *testing.T) {
	f := newConvergedFleet(t, 6, 8, 40)
	inLeftHalf := func(h *host) bool { return h.domain == "d0" || h.domain == "d1" }
	f.drop = func(from, to *host) bool { return inLeftHalf(from) != inLeftHalf(to) }
	f.run(time.Minute)
	deadAgent := f.nodes[30]
	deadAgent.down = true
	f.run(time.Minute)

	f.drop = func(_, _ *host) bool { return false }
	for range 300 {
		f.run(member.TickInterval)
		for _, h := range f.nodes {
			mustKeepReachable(t, f, h, inLeftHalf)
		}
	}
	f.mustConverge(2 * detectTime)
}

// mustKeepReachable fails the test if a balancer considers the death of a running
// member confirmed although both were in the same half of the partition.
func mustKeepReachable(t *testing.T, f *fleet, h *host, inLeftHalf func(*host) bool) {
	t.Helper()
	if h.role != roster.Balancer {
		return
	}
	for _, m := range h.node.Members() {
		other := f.byAddress[m.Address]
		if m.State == roster.Dead && !other.down && inLeftHalf(other) == inLeftHalf(h) {
			t.Fatalf("%s gives up %s, which it could reach all the time", h.addr, m.Address)
		}
	}
}

func TestJoiningBalancerLearnsAllMembers(t *testing.T) {
	f := newConvergedFleet(t, 7, 4, 200)
	f.join(roster.Balancer)
	f.mustConverge(2 * convergeTime)
}

func TestRestartedMemberReplacesItself(t *testing.T) {
	pauses := map[string]time.Duration{"at once": 100 * time.Millisecond, "in a second": time.Second, "after its death is known": 2 * detectTime}
	for name, pause := range pauses {
		t.Run(name, func(t *testing.T) {
			f := newConvergedFleet(t, 8, 4, 20)
			h := f.nodes[10]
			h.down = true
			f.run(pause)
			f.start(h)
			f.mustConverge(detectTime)
			for range 100 {
				f.run(member.TickInterval)
				if wrong := f.disagreeing(h, roster.Alive); len(wrong) > 0 {
					t.Fatalf("%s has the restarted member in state %s", wrong[0].addr, stateAt(wrong[0], h))
				}
			}
		})
	}
}

func TestHomeThatMissesARestartDoesNotDeclareTheNewProcessDead(t *testing.T) {
	f := newConvergedFleet(t, 12, 4, 20)
	f.run(time.Minute)
	h := f.nodes[10]
	home := homesOf(f, h)[0]
	f.start(h)
	f.drop = func(from, to *host) bool { return from == h && to == home }
	f.run(2 * member.DeadAfter)
	f.drop = func(_, _ *host) bool { return false }
	f.mustConverge(detectTime)
}

func TestQuietFleetSendsNoPushes(t *testing.T) {
	f := newConvergedFleet(t, 11, 12, 60)
	f.run(time.Minute)
	f.sent = map[member.MessageKind]int{}
	f.run(time.Minute)
	if pushes := f.sent[member.Push]; pushes > 0 {
		t.Errorf("%d pushes in a fleet where nothing changes", pushes)
	}
}

func TestRanksInADomainAreUnique(t *testing.T) {
	f := newConvergedFleet(t, 13, 12, 0)
	seen := map[string]map[int]bool{}
	for _, h := range f.nodes {
		if seen[h.domain] == nil {
			seen[h.domain] = map[int]bool{}
		}
		seen[h.domain][h.node.RankInDomain()] = true
	}
	for domain, ranks := range seen {
		if len(ranks) != 3 || !ranks[0] || !ranks[1] || !ranks[2] {
			t.Errorf("the three balancers of %s have the ranks %v", domain, ranks)
		}
	}
}

func TestLeavingStateReachesAllBalancersWithinSeconds(t *testing.T) {
	f := newConvergedFleet(t, 9, 6, 30)
	h := f.nodes[15]
	h.node.AnnounceLeaving()
	f.run(convergeTime)
	if wrong := f.disagreeing(h, roster.Leaving); len(wrong) > 0 {
		t.Errorf("%d balancers do not have the agent in state leaving", len(wrong))
	}
}

func TestMembershipConvergesAfterPacketLoss(t *testing.T) {
	f := newConvergedFleet(t, 10, 6, 40)
	f.drop = func(_, _ *host) bool { return f.random.IntN(10) == 0 }
	f.run(time.Minute)
	f.drop = func(_, _ *host) bool { return false }
	f.mustConverge(detectTime)
}

func homesOf(f *fleet, h *host) []*host {
	var ring []roster.Member
	for _, other := range f.nodes {
		if other.role == roster.Balancer {
			ring = append(ring, other.node.Self())
		}
	}
	roster.SortByRing(ring)

	var homes []*host
	for _, m := range roster.HomesOf(h.addr, ring) {
		homes = append(homes, f.byAddress[m.Address])
	}
	return homes
}

func inDomain(f *fleet, domain string) []*host {
	var hosts []*host
	for _, h := range f.nodes {
		if h.domain == domain {
			hosts = append(hosts, h)
		}
	}
	return hosts
}

// TestMemberWhoseClockWasSetBackIsAcceptedAgain guards against records of a
// restarted process being ignored as outdated. Incarnations come from the time of
// day, so a process whose clock was set back by an hour was ignored for an hour.
func TestMemberWhoseClockWasSetBackIsAcceptedAgain(t *testing.T) {
	tests := map[string]int{"agent": 20, "balancer": 3}
	for name, index := range tests {
		t.Run(name, func(t *testing.T) {
			f := newConvergedFleet(t, 14, 6, 30)
			h := f.nodes[index]
			f.startAt(h, f.now.Add(-time.Hour))
			f.mustConverge(2 * convergeTime)
		})
	}
}

func TestStartingMemberRepeatsHeartbeatsUntilAcknowledged(t *testing.T) {
	f := newFleet(t, 15, 3, 3)
	f.drop = func(_, _ *host) bool { return f.now.Before(time.Unix(1_800_000_000, 0).Add(1500 * time.Millisecond)) }
	f.run(1500 * time.Millisecond)
	f.run(700 * time.Millisecond)
	for _, h := range f.nodes {
		if h.role == roster.Agent && h.node.Isolated(f.now) {
			t.Errorf("%s was not acknowledged within 0.7 s after the network recovered", h.addr)
		}
	}
}

func TestFirstActiveBalancerTakesTraffic(t *testing.T) {
	f := newConvergedFleet(t, 16, 6, 6)
	firstActive := func() []*host {
		var list []*host
		for _, h := range f.nodes {
			if h.role == roster.Balancer && h.node.IsFirstActive() {
				list = append(list, h)
			}
		}
		return list
	}
	before := firstActive()
	if len(before) != 1 {
		t.Fatalf("%d balancers are the first active one, want 1", len(before))
	}
	before[0].node.SetWeight(0)
	f.run(convergeTime)
	if after := firstActive(); len(after) != 1 || after[0] == before[0] {
		t.Errorf("%d balancers are the first active one after the weight of the former was set to 0, want 1 other; still the former: %v", len(after), len(after) == 1)
	}
}

func TestAgentWithoutFlowsIsKnownToBalancers(t *testing.T) {
	f := newConvergedFleet(t, 17, 4, 8)
	h := f.nodes[6]
	h.node.SetNoFlows(true)
	f.run(convergeTime)
	for _, other := range f.nodes {
		if other.role != roster.Balancer {
			continue
		}
		if m, ok := other.node.Roster().Get(h.addr); !ok || !m.NoFlows {
			t.Errorf("%s does not know that the agent has no flows", other.addr)
		}
	}
}

// TestManyChangesAtOnceSpreadWithinSeconds guards against slow recovery from an
// outage, after which all members change at once. With only ten records in a push,
// the balancers took many seconds to learn which members were back. The platform
// expects members back within about two seconds of an outage.
func TestManyChangesAtOnceSpreadWithinSeconds(t *testing.T) {
	f := newConvergedFleet(t, 18, 30, 400)
	f.run(10 * time.Second)
	for _, h := range f.nodes {
		if h.role == roster.Agent {
			f.start(h)
		}
	}
	f.mustConverge(2 * time.Second)
}

// TestAJoiningBalancerSyncsWithinASecond guards against a restarted balancer taking
// too long to take traffic: it stayed out of the fabric's rotation for 3.5 s, because
// it could not tell when it had all records of the others.
func TestAJoiningBalancerSyncsWithinASecond(t *testing.T) {
	f := newConvergedFleet(t, 1, 6, 11)
	joiner := f.join(roster.Balancer)
	joiner.node.SetWeight(0)
	f.run(time.Second)
	if !joiner.node.Synced() {
		t.Error("the joining balancer is not synced after one second")
	}
	if got, want := joiner.node.Roster().Digest(), f.nodes[0].node.Roster().Digest(); got != want {
		t.Error("the tables differ")
	}
}

func TestBalancersThatAllStartAtOnceAreNotSynced(t *testing.T) {
	f := newFleet(t, 1, 3, 5)
	for _, h := range f.nodes {
		h.node.SetWeight(0)
	}
	f.run(5 * time.Second)
	for _, h := range f.nodes {
		if h.node.Synced() {
			t.Errorf("%v is synced although no balancer knew all members", h.addr)
		}
	}
}

// TestPushesStayMostlyInTheirFailureDomain limits the traffic between failure
// domains, which is the largest cost of a large fleet.
func TestPushesStayMostlyInTheirFailureDomain(t *testing.T) {
	f := newConvergedFleet(t, 1, 40, 40)
	pushes, local := f.sent[member.Push], f.localPushes
	leaving := f.nodes[len(f.nodes)-1]
	leaving.node.AnnounceLeaving()
	f.run(3 * time.Second)
	pushes, local = f.sent[member.Push]-pushes, f.localPushes-local
	if pushes == 0 || 2*local < pushes {
		t.Errorf("%d of %d pushes stayed in their failure domain", local, pushes)
	}
	if wrong := f.disagreeing(leaving, roster.Leaving); len(wrong) != 0 {
		t.Errorf("%d balancers do not know of the change", len(wrong))
	}
}
