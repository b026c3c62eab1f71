package pick_test

import (
	"testing"
	"time"

	"github.com/coriandershift/coriandershift/internal/coordination/pick"
)

var now = time.Unix(1_800_000_000, 0)

func load(requests, slots int, took, age time.Duration) *pick.Load {
	var l pick.Load
	l.SetReport(now.Add(-age), pick.LoadReport{Requests: requests, Slots: slots, MeanDuration: took})
	return &l
}

// failing returns the load of an idle agent whose upstream leaves requests unanswered.
func failing(percent int) *pick.Load {
	var l pick.Load
	l.SetReport(now, pick.LoadReport{Slots: 5, MeanDuration: usual, UnansweredPercent: percent})
	return &l
}

const usual = 50 * time.Millisecond

func TestTheFirstChoice(t *testing.T) {
	tests := map[string]struct {
		rule       pick.Policy
		candidates []pick.Candidate
		want       int
	}{
		"least loaded": {pick.DefaultPolicy, []pick.Candidate{
			{Load: load(4, 5, usual, 0)}, {Load: load(1, 5, usual, 0)}, {Load: load(3, 5, usual, 0)},
		}, 1},
		"by the slots, not by the number": {pick.DefaultPolicy, []pick.Candidate{
			{Load: load(2, 2, usual, 0)}, {Load: load(3, 8, usual, 0)},
		}, 1},
		"an old report counts for nothing": {pick.DefaultPolicy, []pick.Candidate{
			{Load: load(1, 5, usual, 0)}, {Load: load(9, 5, usual, 2*time.Second)},
		}, 1},
		"a slow upstream only when others would take longer": {pick.DefaultPolicy, []pick.Candidate{
			{Load: load(0, 5, 4*usual, 0)}, {Load: load(3, 5, usual, 0)},
		}, 1},
		"a slow upstream when they would": {pick.DefaultPolicy, []pick.Candidate{
			{Load: load(0, 5, 4*usual, 0)}, {Load: load(9, 5, usual, 0)},
		}, 0},
		"a little slower is chance": {pick.DefaultPolicy, []pick.Candidate{
			{Load: load(0, 5, 60*time.Millisecond, 0)}, {Load: load(1, 5, usual, 0)},
		}, 0},
		"a near one of equal load": {pick.DefaultPolicy, []pick.Candidate{
			{Load: load(1, 5, usual, 0), OtherDomain: true}, {Load: load(1, 5, usual, 0)},
		}, 1},
		"not one that answers errors at once": {pick.DefaultPolicy, []pick.Candidate{
			{Load: load(0, 5, time.Millisecond, 0)}, {Load: load(3, 5, usual, 0)}, {Load: load(2, 5, usual, 0)}, {Load: load(4, 5, usual, 0)},
		}, 2},
		"nor two of them": {pick.DefaultPolicy, []pick.Candidate{
			{Load: load(0, 5, time.Millisecond, 0)}, {Load: load(3, 5, usual, 0)}, {Load: load(0, 5, time.Millisecond, 0)}, {Load: load(4, 5, usual, 0)},
		}, 1},
		"sooner than a suspect": {pick.DefaultPolicy, []pick.Candidate{
			{Load: load(0, 5, time.Millisecond, 0)}, {Load: load(1, 5, usual, 0), Suspected: true}, {Load: load(1, 5, usual, 0), Suspected: true},
		}, 0},
		"it is tried again after a while": {pick.DefaultPolicy, []pick.Candidate{
			{Load: load(0, 5, time.Millisecond, 6*time.Second)}, {Load: load(3, 5, usual, 0)}, {Load: load(2, 5, usual, 0)},
		}, 0},
		"of two, the slower may be the sick one": {pick.DefaultPolicy, []pick.Candidate{
			{Load: load(1, 5, usual, 0)}, {Load: load(0, 5, 20*usual, 0)},
		}, 0},
		"not one that leaves requests unanswered": {pick.DefaultPolicy, []pick.Candidate{
			{Load: failing(30)}, {Load: load(4, 5, usual, 0)},
		}, 1},
		"a few are left at any": {pick.DefaultPolicy, []pick.Candidate{
			{Load: failing(10)}, {Load: load(4, 5, usual, 0)},
		}, 0},
		"never a suspect": {pick.DefaultPolicy, []pick.Candidate{
			{Load: load(0, 5, usual, 0), Suspected: true}, {Load: load(9, 5, usual, 0)},
		}, 1},
		"the first rank by hash": {pick.Policy{Choices: 4}, []pick.Candidate{
			{Load: load(9, 5, usual, 0)}, {Load: load(0, 5, usual, 0)},
		}, 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			costs := make([]float64, len(test.candidates))
			test.rule.Costs(now, test.candidates, costs)
			first := 0
			for i, c := range costs {
				if c < costs[first] {
					first = i
				}
			}
			if first != test.want {
				t.Errorf("got %d, costs %v", first, costs)
			}
		})
	}
}

func TestAllFull(t *testing.T) {
	full, room := load(5, 5, usual, 0), load(4, 5, usual, 0)
	tests := map[string]struct {
		rule       pick.Policy
		candidates []pick.Candidate
		want       bool
	}{
		"none":                   {pick.DefaultPolicy, nil, false},
		"all":                    {pick.DefaultPolicy, []pick.Candidate{{Load: full}, {Load: full}}, true},
		"but one":                {pick.DefaultPolicy, []pick.Candidate{{Load: full}, {Load: room}}, false},
		"one nobody heard of":    {pick.DefaultPolicy, []pick.Candidate{{Load: full}, {Load: &pick.Load{}}}, false},
		"some time ago":          {pick.DefaultPolicy, []pick.Candidate{{Load: load(5, 5, usual, 200*time.Millisecond)}}, false},
		"a suspect":              {pick.DefaultPolicy, []pick.Candidate{{Load: full, Suspected: true}}, false},
		"under a rule that asks": {pick.Policy{Choices: 4, ByLoad: true}, []pick.Candidate{{Load: full}}, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			if got := test.rule.Costs(now, test.candidates, make([]float64, len(test.candidates))); got != test.want {
				t.Errorf("got %v", got)
			}
		})
	}
}

func TestFlowsSentSinceTheReportCount(t *testing.T) {
	l := load(2, 4, usual, 0)
	l.CountPlaced()
	l.CountPlaced()
	if got := l.RequestsPerSlot(now); got != 1 {
		t.Errorf("got %v requests for each slot, want 1", got)
	}
}
