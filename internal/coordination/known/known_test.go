package known_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/coriandershift/coriandershift/internal/coordination/known"
	"github.com/coriandershift/coriandershift/internal/state/flow"
	"github.com/coriandershift/coriandershift/internal/state/roster"
)

var start = time.Unix(1_800_000_000, 0)

func endpoint(lastOctet byte) flow.Endpoint {
	return flow.Endpoint{IP: [4]byte{10, 0, 0, lastOctet}, Port: 7000}
}

func endpoints(lastOctets ...byte) []flow.Endpoint {
	var list []flow.Endpoint
	for _, o := range lastOctets {
		list = append(list, endpoint(o))
	}
	return list
}

func balancer(lastOctet byte, weight uint8) *roster.Member {
	return &roster.Member{Address: endpoint(lastOctet).AddrPort(), Role: roster.Balancer, State: roster.Alive, Weight: weight}
}

// newMembers returns the Members of balancer 1, which knows the agents 10 to 19.
func newMembers() *known.Members {
	return known.New(endpoint(1), start, func(e flow.Endpoint) bool { return e.IP[3] >= 10 && e.IP[3] < 20 })
}

func TestConverge(t *testing.T) {
	tests := map[string]struct {
		prepare func(*known.Members)
		want    time.Duration // the least age at which it converges
	}{
		"all expected members are known": {func(m *known.Members) { m.Expect(endpoints(10, 11)) }, 0},
		"one expected member is missing": {func(m *known.Members) { m.Expect(endpoints(10, 20)) }, 10 * time.Second},
		"no census":                      {func(*known.Members) {}, 10 * time.Second},
		"a balancer that knew all runs": {func(m *known.Members) {
			m.Expect(endpoints(10))
			m.AddBalancer(balancer(2, roster.MaxWeight))
		}, 3 * time.Second},
		"its list is the same": {func(m *known.Members) {
			m.Expect(endpoints(10))
			m.AddBalancer(balancer(2, roster.MaxWeight))
			m.MarkSynced()
		}, 0},
		"all balancers have just started": {func(m *known.Members) {
			m.Expect(endpoints(10, 2))
			m.AddBalancer(balancer(2, 0))
		}, 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			m := newMembers()
			test.prepare(m)
			for age := time.Duration(0); age <= 11*time.Second; age += 100 * time.Millisecond {
				if !m.Converge(start.Add(age)) {
					continue
				}
				if diff := cmp.Diff(test.want, age); diff != "" {
					t.Error(diff)
				}
				if !m.Converged() || m.Converge(start.Add(age)) {
					t.Error("it converges twice")
				}
				return
			}
			t.Error("it never converges")
		})
	}
}

// A VM that was removed before everything restarted is still in the census.
func TestAnExpectedMemberThatLeavesProbesUnansweredIsGone(t *testing.T) {
	m := newMembers()
	m.Expect(endpoints(10, 20))
	probes := 0
	for age := time.Duration(0); age < 5*time.Second; age += 50 * time.Millisecond {
		probes += len(m.TakeProbes(start.Add(age)))
		if m.Converge(start.Add(age)) {
			if probes != 4 || m.GoneCount() != 1 {
				t.Errorf("%d probes were sent, %d members are gone", probes, m.GoneCount())
			}
			return
		}
	}
	t.Error("it does not converge within 5 s")
}

func TestAMemberThatAnswersAProbeIsWaitedFor(t *testing.T) {
	m := newMembers()
	m.Expect(endpoints(10, 20))
	for age := time.Duration(0); age < 5*time.Second; age += 50 * time.Millisecond {
		for _, member := range m.TakeProbes(start.Add(age)) {
			m.RecordProbeReply(member)
		}
		if m.Converge(start.Add(age)) {
			t.Fatalf("it converges after %v", age)
		}
	}
}

func TestManyAbsentMembersAreNotProbed(t *testing.T) {
	m := newMembers()
	m.Expect(endpoints(10, 11, 20, 21, 22))
	if got := m.TakeProbes(start.Add(time.Second)); len(got) > 0 {
		t.Errorf("probes go to %v", got)
	}
	if m.MostAreKnown() {
		t.Error("two of five are most")
	}
}
