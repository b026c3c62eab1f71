package member_test

import (
	"testing"
	"time"

	"github.com/coriandershift/coriandershift/internal/coordination/member"
	"github.com/coriandershift/coriandershift/internal/state/roster"
)

const (
	// converge is how soon everybody shall know of a change: a few seconds by the users' promise.
	converge = 4 * time.Second

	// detect is how soon everybody shall know of a death.
	detect = member.DeadAfter + converge
)

func settled(t *testing.T, seed uint64, balancers, agents int) *fleet {
	f := newFleet(t, seed, balancers, agents)
	f.mustAgree(2 * converge)
	f.run(detect)
	f.mustAgree(0)
	return f
}

func TestEveryBalancerLearnsOfEveryMember(t *testing.T) {
	tests := map[string]struct{ balancers, agents int }{
		"one balancer": {1, 3},
		"today":        {3, 11},
		"more":         {12, 100},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			settled(t, 1, test.balancers, test.agents)
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
			f := settled(t, 2, 12, 60)
			for _, h := range choose(f) {
				h.down = true
			}
			f.mustAgree(2 * detect)
		})
	}
}

func TestPausedMemberIsTakenBack(t *testing.T) {
	tests := map[string]int{"agent": 20, "balancer": 3}
	for name, index := range tests {
		t.Run(name, func(t *testing.T) {
			f := settled(t, 3, 6, 30)
			h := f.nodes[index]
			h.paused = true
			f.run(2 * detect)
			if wrong := f.disagreeing(h, roster.Dead); len(wrong) > 0 {
				t.Fatalf("%d balancers have not noticed the pause", len(wrong))
			}
			f.resume(h)
			f.mustAgree(converge)
		})
	}
}

func TestPausedHomeDeclaresNobodyDead(t *testing.T) {
	f := settled(t, 4, 6, 30)
	home := f.nodes[2]
	home.paused = true
	f.run(2 * member.DeadAfter)
	f.resume(home)
	for _, h := range f.nodes {
		if h != home && stateAt(home, h) == roster.Dead {
			t.Errorf("%s was declared dead by a home that had been paused", h.addr)
		}
	}
	f.mustAgree(converge)
}

func TestCutOffBalancerDeclaresNobodyDead(t *testing.T) {
	f := settled(t, 5, 6, 30)
	alone := f.nodes[4]
	f.cut = func(from, to *host) bool { return from == alone || to == alone }
	f.run(time.Minute)
	for _, h := range f.nodes {
		if stateAt(alone, h) == roster.Dead {
			t.Errorf("%s was declared dead by a balancer that was cut off", h.addr)
		}
	}

	f.cut = func(_, _ *host) bool { return false }
	f.mustAgree(2 * converge)
}

func TestSplitHealsWithoutLoss(t *testing.T) {
	f := settled(t, 6, 8, 40)
	left := func(h *host) bool { return h.domain == "d0" || h.domain == "d1" }
	f.cut = func(from, to *host) bool { return left(from) != left(to) }
	f.run(time.Minute)
	gone := f.nodes[30]
	gone.down = true
	f.run(time.Minute)

	f.cut = func(_, _ *host) bool { return false }
	for range 300 {
		f.run(member.TickInterval)
		for _, h := range f.nodes {
			mustKeepOwnSide(t, f, h, left)
		}
	}
	f.mustAgree(2 * detect)
}

// mustKeepOwnSide fails if a balancer would give up flows of a running agent that it could reach all the time.
func mustKeepOwnSide(t *testing.T, f *fleet, h *host, left func(*host) bool) {
	t.Helper()
	if h.role != roster.Balancer {
		return
	}
	for _, m := range h.node.Members() {
		other := f.byAddr[m.Address]
		if m.State == roster.Dead && !other.down && left(other) == left(h) {
			t.Fatalf("%s gives up %s, which it could always reach", h.addr, m.Address)
		}
	}
}

func TestJoinerCatchesUp(t *testing.T) {
	f := settled(t, 7, 4, 200)
	f.join(roster.Balancer)
	f.mustAgree(2 * converge)
}

func TestRestartedMemberReplacesItself(t *testing.T) {
	pauses := map[string]time.Duration{"at once": 100 * time.Millisecond, "in a second": time.Second, "after its death is known": 2 * detect}
	for name, pause := range pauses {
		t.Run(name, func(t *testing.T) {
			f := settled(t, 8, 4, 20)
			h := f.nodes[10]
			h.down = true
			f.run(pause)
			f.start(h)
			f.mustAgree(detect)
			for range 100 {
				f.run(member.TickInterval)
				if wrong := f.disagreeing(h, roster.Alive); len(wrong) > 0 {
					t.Fatalf("%s takes a restarted member for %s", wrong[0].addr, stateAt(wrong[0], h))
				}
			}
		})
	}
}

func TestHomeThatMissesARestartDoesNotDeclareTheNewProcessDead(t *testing.T) {
	f := settled(t, 12, 4, 20)
	f.run(time.Minute)
	h := f.nodes[10]
	home := homesOf(f, h)[0]
	f.start(h)
	f.cut = func(from, to *host) bool { return from == h && to == home }
	f.run(2 * member.DeadAfter)
	f.cut = func(_, _ *host) bool { return false }
	f.mustAgree(detect)
}

func TestQuietFleetRepairsNothing(t *testing.T) {
	f := settled(t, 11, 12, 60)
	f.run(time.Minute)
	f.sent = map[member.MessageKind]int{}
	f.run(time.Minute)
	if pushes := f.sent[member.Push]; pushes > 0 {
		t.Errorf("%d pushes in a fleet where nothing changes", pushes)
	}
}

func TestRanksOfADomainAreDifferent(t *testing.T) {
	f := settled(t, 13, 12, 0)
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

func TestLeavingSpreadsWithinSeconds(t *testing.T) {
	f := settled(t, 9, 6, 30)
	h := f.nodes[15]
	h.node.AnnounceLeaving()
	f.run(converge)
	if wrong := f.disagreeing(h, roster.Leaving); len(wrong) > 0 {
		t.Errorf("%d balancers do not know that an agent leaves", len(wrong))
	}
}

func TestMembershipHoldsUnderLoss(t *testing.T) {
	f := settled(t, 10, 6, 40)
	f.cut = func(_, _ *host) bool { return f.random.IntN(10) == 0 }
	f.run(time.Minute)
	f.cut = func(_, _ *host) bool { return false }
	f.mustAgree(detect)
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
		homes = append(homes, f.byAddr[m.Address])
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

// Incarnations come from the time of day, and a restarted process whose clock was
// set back was taken for an old record of itself for as long as the step.
func TestAMemberWhoseClockWasSetBackIsTakenBack(t *testing.T) {
	tests := map[string]int{"agent": 20, "balancer": 3}
	for name, index := range tests {
		t.Run(name, func(t *testing.T) {
			f := settled(t, 14, 6, 30)
			h := f.nodes[index]
			f.startAt(h, f.now.Add(-time.Hour))
			f.mustAgree(2 * converge)
		})
	}
}

func TestAStartingMemberCallsUntilItIsHeard(t *testing.T) {
	f := newFleet(t, 15, 3, 3)
	f.cut = func(_, _ *host) bool { return f.now.Before(time.Unix(1_800_000_000, 0).Add(1500 * time.Millisecond)) }
	f.run(1500 * time.Millisecond)
	f.run(700 * time.Millisecond)
	for _, h := range f.nodes {
		if h.role == roster.Agent && h.node.Isolated(f.now) {
			t.Errorf("%s was not heard within 0.7 s of the end of a cut", h.addr)
		}
	}
}

func TestTheFirstBalancerIsOneThatTakesTraffic(t *testing.T) {
	f := settled(t, 16, 6, 6)
	firsts := func() []*host {
		var list []*host
		for _, h := range f.nodes {
			if h.role == roster.Balancer && h.node.IsFirstActive() {
				list = append(list, h)
			}
		}
		return list
	}
	before := firsts()
	if len(before) != 1 {
		t.Fatalf("%d balancers are the first", len(before))
	}
	before[0].node.SetWeight(0)
	f.run(converge)
	if after := firsts(); len(after) != 1 || after[0] == before[0] {
		t.Errorf("got %d, the same one: %v", len(after), len(after) == 1)
	}
}

func TestAnEmptyAgentTellsSo(t *testing.T) {
	f := settled(t, 17, 4, 8)
	h := f.nodes[6]
	h.node.SetNoFlows(true)
	f.run(converge)
	for _, other := range f.nodes {
		if other.role != roster.Balancer {
			continue
		}
		if m, ok := other.node.Roster().Get(h.addr); !ok || !m.NoFlows {
			t.Errorf("%s does not know", other.addr)
		}
	}
}

// After an outage all members change at once; with ten records to a push the
// balancers took many seconds to know who was back. The platform expects members
// back within about two seconds of an outage.
func TestManyChangesAtOnceSpreadWithinSeconds(t *testing.T) {
	f := settled(t, 18, 30, 400)
	f.run(10 * time.Second)
	for _, h := range f.nodes {
		if h.role == roster.Agent {
			f.start(h)
		}
	}
	f.mustAgree(2 * time.Second)
}

// A balancer that started anew was out of the fabric's rotation for 3.5 s, since
// it could not tell when it knew all that the others know.
func TestABalancerThatJoinsAgreesWithOneThatKnowsAll(t *testing.T) {
	f := settled(t, 1, 6, 11)
	joiner := f.join(roster.Balancer)
	joiner.node.SetWeight(0)
	f.run(time.Second)
	if !joiner.node.Synced() {
		t.Error("no agreement within a second")
	}
	if got, want := joiner.node.Roster().Digest(), f.nodes[0].node.Roster().Digest(); got != want {
		t.Error("the tables differ")
	}
}

func TestBalancersThatAllStartAnewHaveNobodyToAgreeWith(t *testing.T) {
	f := newFleet(t, 1, 3, 5)
	for _, h := range f.nodes {
		h.node.SetWeight(0)
	}
	f.run(5 * time.Second)
	for _, h := range f.nodes {
		if h.node.Synced() {
			t.Errorf("%v agrees with one that does not know all", h.addr)
		}
	}
}

// Bytes between failure domains are what a large fleet pays most for.
func TestNewsStaysMostlyInItsFailureDomain(t *testing.T) {
	f := settled(t, 1, 40, 40)
	pushes, near := f.sent[member.Push], f.nearPushes
	leaving := f.nodes[len(f.nodes)-1]
	leaving.node.AnnounceLeaving()
	f.run(3 * time.Second)
	pushes, near = f.sent[member.Push]-pushes, f.nearPushes-near
	if pushes == 0 || 2*near < pushes {
		t.Errorf("%d of %d pushes stayed in their failure domain", near, pushes)
	}
	if left := f.disagreeing(leaving, roster.Leaving); len(left) != 0 {
		t.Errorf("%d balancers have not heard the news", len(left))
	}
}
