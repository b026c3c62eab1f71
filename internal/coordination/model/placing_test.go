package model_test

import (
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/coriandershift/coriandershift/internal/coordination/pick"
)

// policies are the policies for placing new flows that TestPlacingTable compares.
var policies = []struct {
	name   string
	policy pick.Policy
}{
	{"by hash, full agents pass on", pick.Policy{Choices: 4}},
	{"two choices by load", pick.Policy{Choices: 2, ByLoad: true}},
	{"shortest wait of four", pick.Policy{Choices: 4, ByLoad: true}},
	{"shortest wait of four, direct when all full", pick.DefaultPolicy},
}

// TestCallersGetWhatCapacityAllows offers 0.3 to 1.3 of capacity to upstreams with
// few and many slots. The users require that 0.8 of what capacity allows is answered
// in time in the worst seconds; below capacity nearly all must be.
func TestCallersGetWhatCapacityAllows(t *testing.T) {
	const shareAtCapacity = 0.8
	for _, slots := range []int{2, 5, 8} {
		for load, minShare := range map[float64]float64{0.3: 0.99, 0.65: 0.98, 1: shareAtCapacity, 1.3: shareAtCapacity / 1.3} {
			t.Run(fmt.Sprintf("%d slots at %.2f", slots, load), func(t *testing.T) {
				got := newLoadSim(experiment{seed: 1, policy: pick.DefaultPolicy, slots: slots, load: load, duration: 10 * time.Second}).run()
				if got.inTimeShare() < minShare {
					t.Errorf("in time %.3f, want %.3f: %v", got.inTimeShare(), minShare, got)
				}
			})
		}
	}
}

// TestASlowUpstreamGetsLess checks that callers are answered in time although one
// upstream of seven takes four times as long as the others.
func TestASlowUpstreamGetsLess(t *testing.T) {
	for _, slots := range []int{2, 5, 8} {
		slow := newLoadSim(experiment{seed: 1, policy: pick.DefaultPolicy, slots: slots, load: 0.5, duration: 10 * time.Second, slowFactor: 4}).run()
		hashed := newLoadSim(experiment{seed: 1, policy: policies[0].policy, slots: slots, load: 0.5, duration: 10 * time.Second, slowFactor: 4}).run()
		if slow.inTimeShare() < 0.95 || slow.inTimeShare() < hashed.inTimeShare()-0.01 {
			t.Errorf("%d slots: in time %.3f, by hash %.3f", slots, slow.inTimeShare(), hashed.inTimeShare())
		}
	}
}

// TestAnUpstreamThatFailsAtOnceGetsLittle guards against a failing upstream that
// attracts most flows: one that answers errors at once is always the least loaded.
func TestAnUpstreamThatFailsAtOnceGetsLittle(t *testing.T) {
	const fairShare = 1.0 / agentCount
	for _, slots := range []int{2, 5, 8} {
		got := newLoadSim(experiment{seed: 1, policy: pick.DefaultPolicy, slots: slots, load: 0.5, duration: 10 * time.Second, failsFast: true}).run()
		if share := float64(got.failures) / float64(got.requests); share > fairShare/2 {
			t.Errorf("%d slots: %.3f of the requests went there, want less than half of %.3f", slots, share, fairShare)
		}
	}
}

// TestOverloadCostsFewMessages checks that the default policy does not need more
// messages under overload than passing a flow from one full agent to the next.
func TestOverloadCostsFewMessages(t *testing.T) {
	for _, slots := range []int{2, 5, 8} {
		direct := newLoadSim(experiment{seed: 1, policy: pick.DefaultPolicy, slots: slots, load: 1.3, duration: 8 * time.Second}).run()
		chained := newLoadSim(experiment{seed: 1, policy: policies[2].policy, slots: slots, load: 1.3, duration: 8 * time.Second}).run()
		if direct.messages*chained.requests > chained.messages*direct.requests {
			t.Errorf("%d slots: direct %v, along the ranks %v", slots, direct, chained)
		}
	}
}

// TestAgentsThatCannotBeReachedCostLittle cuts two of seven agents off from all other
// VMs while they still count as eligible. Capacity suffices without them, so that the
// users' target of 0.9 of what is possible applies to the seconds of the cut. Suspected
// agents used to stay among the ranks of a flow, so that full agents forwarded flows
// to them (one-way cuts on scale-1 of the simulated deployment kronkarta).
func TestAgentsThatCannotBeReachedCostLittle(t *testing.T) {
	const (
		shareDuringCut  = 0.9
		duration        = 10 * time.Second
		cutSeconds      = 5
		measuredSeconds = 7
	)
	minShare := (measuredSeconds - cutSeconds + cutSeconds*shareDuringCut) / measuredSeconds
	for name, callers := range map[string]profile{"patient": patient, "impatient": impatient} {
		for _, slots := range []int{2, 3, 8} {
			t.Run(fmt.Sprintf("%s callers, %d slots", name, slots), func(t *testing.T) {
				got := newLoadSim(experiment{
					seed: 1, policy: pick.DefaultPolicy, slots: slots, callers: callers, load: 0.45, unreachable: 2, duration: duration,
				}).run()
				if got.inTimeShare() < minShare {
					t.Errorf("in time %.3f, want %.3f: %v", got.inTimeShare(), minShare, got)
				}
			})
		}
	}
}

// lateWorth is the worth of a late answer; one in time is worth 1. The users' routes all
// have this ratio.
const lateWorth = 0.3

func (r *results) worth() float64 {
	return r.inTimeShare() + lateWorth*(r.answeredShare()-r.inTimeShare())
}

// TestCallersGetNearlyWhatIsPossible compares what callers get around an outage, during a
// cut and at capacity with what the oracle reaches. The goal is 0.9 of it.
// TestCallersGetWhatCapacityAllows is about overload, for which the oracle is no bound:
// there it goes on serving those who are nearly late.
func TestCallersGetNearlyWhatIsPossible(t *testing.T) {
	const shareOfPossible = 0.9
	experiments := map[string]experiment{
		"calm":                      {load: 0.45},
		"at capacity":               {load: 1},
		"balancers out for 0.6 s":   {load: 0.45, balancerOutage: 600 * time.Millisecond},
		"everything out for 1.6 s":  {load: 0.45, outage: 1600 * time.Millisecond},
		"two agents of seven cut":   {load: 0.45, unreachable: 2},
		"a burst of twice the load": {load: 0.45, burst: 2, burstDuration: 3 * time.Second},
	}
	for name, e := range experiments {
		for callers, profile := range map[string]profile{"patient": patient, "impatient": impatient} {
			for _, slots := range []int{2, 3, 8} {
				t.Run(fmt.Sprintf("%s, %s callers, %d slots", name, callers, slots), func(t *testing.T) {
					e := e
					e.seed, e.policy, e.slots, e.callers, e.duration = 1, pick.DefaultPolicy, slots, profile, 10*time.Second
					got, possible := newLoadSim(e).run(), runOracle(e)
					t.Logf("worth %.3f of %.3f: %.3f", got.worth(), possible.worth(), got.worth()/possible.worth())
					if got.worth() < shareOfPossible*possible.worth() {
						t.Errorf("worth %.3f, possible %.3f", got.worth(), possible.worth())
					}
				})
			}
		}
	}
}

// TestFewCallersFailInABurst doubles the load to 0.9 of capacity for three seconds. All
// requests could be served within their deadlines. Callers were refused
// three times within 30 ms when a wait of twice that would have served them.
func TestFewCallersFailInABurst(t *testing.T) {
	const maxFailedShare = 0.005
	for name, callers := range map[string]profile{"patient": patient, "impatient": impatient} {
		for _, slots := range []int{2, 3, 8} {
			t.Run(fmt.Sprintf("%s callers, %d slots", name, slots), func(t *testing.T) {
				got := newLoadSim(experiment{
					seed: 1, policy: pick.DefaultPolicy, slots: slots, callers: callers, load: 0.45, burst: 2, burstDuration: 3 * time.Second, duration: 10 * time.Second,
				}).run()
				if failed := 1 - got.answeredShare(); failed > maxFailedShare {
					t.Errorf("%.4f of the requests failed, want at most %.4f: %v", failed, maxFailedShare, got)
				}
			})
		}
	}
}

// TestPlacingTable logs what callers get under each policy if PLACING_TABLE is set.
func TestPlacingTable(t *testing.T) {
	if os.Getenv("PLACING_TABLE") == "" {
		t.Skip("PLACING_TABLE is not set")
	}
	logRow := func(title string, e experiment) {
		for _, policy := range policies {
			e.seed, e.policy, e.duration = 1, policy.policy, 20*time.Second
			got := newLoadSim(e).run()
			text := fmt.Sprintf("%-24s %-43s %v", title, policy.name, got)
			if e.outage > 0 {
				text += fmt.Sprintf("  in time in the 2 s after %.3f", float64(got.afterOutageInTime)/float64(max(1, got.afterOutage)))
			}
			t.Log(text)
		}
	}
	for _, slots := range []int{2, 5, 8} {
		for _, load := range []float64{0.3, 0.65, 1.0, 1.3} {
			logRow(fmt.Sprintf("%d slots, load %.2f", slots, load), experiment{slots: slots, load: load})
		}
	}
	for _, slots := range []int{2, 5, 8} {
		logRow(fmt.Sprintf("%d slots, one slow", slots), experiment{slots: slots, load: 0.5, slowFactor: 4})
	}
	for _, slots := range []int{2, 5, 8} {
		logRow(fmt.Sprintf("%d slots, outage", slots), experiment{slots: slots, load: 0.4, outage: 1600 * time.Millisecond})
	}
	for _, slots := range []int{2, 3, 8} {
		logRow(fmt.Sprintf("%d slots, 2 cut off", slots), experiment{slots: slots, load: 0.45, unreachable: 2, callers: impatient})
		logRow(fmt.Sprintf("%d slots, balancers out", slots), experiment{slots: slots, load: 0.45, balancerOutage: 600 * time.Millisecond, callers: impatient})
	}
}
