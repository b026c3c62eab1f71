package model_test

import (
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/coriandershift/coriandershift/internal/coordination/pick"
)

// rules are the ways of placing new flows that were weighed.
var rules = []struct {
	name string
	rule pick.Policy
}{
	{"hash with hand-on", pick.Policy{Choices: 4}},
	{"two choices by load", pick.Policy{Choices: 2, ByLoad: true}},
	{"shortest wait of four", pick.Policy{Choices: 4, ByLoad: true}},
	{"the same, straight there when all are full", pick.DefaultPolicy},
}

// TestCallersGetWhatCapacityAllows plays the load at 0.3 to 1.3 of capacity and
// with few and many slots. The users ask for 0.8 of what capacity allows in the
// worst seconds; below capacity nearly all are to be in time.
func TestCallersGetWhatCapacityAllows(t *testing.T) {
	const wanted = 0.8
	for _, slots := range []int{2, 5, 8} {
		for load, least := range map[float64]float64{0.3: 0.99, 0.65: 0.98, 1: wanted, 1.3: wanted / 1.3} {
			t.Run(fmt.Sprintf("%d slots at %.2f", slots, load), func(t *testing.T) {
				got := newFarm(play{seed: 1, rule: pick.DefaultPolicy, slots: slots, load: load, length: 10 * time.Second}).run()
				if got.share() < least {
					t.Errorf("in time %.3f, want %.3f: %v", got.share(), least, got)
				}
			})
		}
	}
}

// TestASlowUpstreamGetsLess wants the callers of a service with one upstream of
// seven four times as slow to be served in time all the same.
func TestASlowUpstreamGetsLess(t *testing.T) {
	for _, slots := range []int{2, 5, 8} {
		slow := newFarm(play{seed: 1, rule: pick.DefaultPolicy, slots: slots, load: 0.5, length: 10 * time.Second, slow: 4}).run()
		hashed := newFarm(play{seed: 1, rule: rules[0].rule, slots: slots, load: 0.5, length: 10 * time.Second, slow: 4}).run()
		if slow.share() < 0.95 || slow.share() < hashed.share()-0.01 {
			t.Errorf("%d slots: in time %.3f, placed by hash %.3f", slots, slow.share(), hashed.share())
		}
	}
}

// TestAnUpstreamThatFailsAtOnceGetsLittle: one of seven that answers errors at once
// is always the least loaded, and got most of the flows.
func TestAnUpstreamThatFailsAtOnceGetsLittle(t *testing.T) {
	const fair = 1.0 / loadAgents
	for _, slots := range []int{2, 5, 8} {
		got := newFarm(play{seed: 1, rule: pick.DefaultPolicy, slots: slots, load: 0.5, length: 10 * time.Second, hasty: true}).run()
		if share := float64(got.failed) / float64(got.asked); share > fair/2 {
			t.Errorf("%d slots: %.3f of the requests went there, want less than half of %.3f", slots, share, fair)
		}
	}
}

// TestOverloadCostsFewMessages wants the usual rule to need fewer messages under
// overload than asking one full agent after the other.
func TestOverloadCostsFewMessages(t *testing.T) {
	for _, slots := range []int{2, 5, 8} {
		direct := newFarm(play{seed: 1, rule: pick.DefaultPolicy, slots: slots, load: 1.3, length: 8 * time.Second}).run()
		chained := newFarm(play{seed: 1, rule: rules[2].rule, slots: slots, load: 1.3, length: 8 * time.Second}).run()
		if direct.messages*chained.asked > chained.messages*direct.asked {
			t.Errorf("%d slots: straight %v, along the ranks %v", slots, direct, chained)
		}
	}
}

// TestPlacingTable prints what callers get under each rule if PLACING_TABLE is set.
func TestPlacingTable(t *testing.T) {
	if os.Getenv("PLACING_TABLE") == "" {
		t.Skip("PLACING_TABLE is not set")
	}
	row := func(title string, p play) {
		for _, r := range rules {
			p.seed, p.rule, p.length = 1, r.rule, 20*time.Second
			got := newFarm(p).run()
			text := fmt.Sprintf("%-24s %-43s %v", title, r.name, got)
			if p.outage > 0 {
				text += fmt.Sprintf("  in aim in the 2 s after %.3f", float64(got.afterInAim)/float64(max(1, got.after)))
			}
			t.Log(text)
		}
	}
	for _, slots := range []int{2, 5, 8} {
		for _, load := range []float64{0.3, 0.65, 1.0, 1.3} {
			row(fmt.Sprintf("%d slots, load %.2f", slots, load), play{slots: slots, load: load})
		}
	}
	for _, slots := range []int{2, 5, 8} {
		row(fmt.Sprintf("%d slots, one slow", slots), play{slots: slots, load: 0.5, slow: 4})
	}
	for _, slots := range []int{2, 5, 8} {
		row(fmt.Sprintf("%d slots, outage", slots), play{slots: slots, load: 0.4, outage: 1600 * time.Millisecond})
	}
}
