package pick_test

import (
	"testing"
	"time"

	"github.com/coriandershift/coriandershift/internal/coordination/pick"
)

var now = time.Unix(1_800_000_000, 0)

func load(requests, slots int, took, age time.Duration) *pick.Load {
	var l pick.Load
	l.Report(now.Add(-age), pick.Report{Requests: requests, Slots: slots, Took: took})
	return &l
}

// failing returns the load of an idle agent whose upstream leaves requests unanswered.
func failing(percent int) *pick.Load {
	var l pick.Load
	l.Report(now, pick.Report{Slots: 5, Took: usual, Faults: percent})
	return &l
}

const usual = 50 * time.Millisecond

func TestTheFirstChoice(t *testing.T) {
	tests := map[string]struct {
		rule       pick.Rule
		candidates []pick.Candidate
		want       int
	}{
		"least loaded": {pick.Usual, []pick.Candidate{
			{Load: load(4, 5, usual, 0)}, {Load: load(1, 5, usual, 0)}, {Load: load(3, 5, usual, 0)},
		}, 1},
		"by the slots, not by the number": {pick.Usual, []pick.Candidate{
			{Load: load(2, 2, usual, 0)}, {Load: load(3, 8, usual, 0)},
		}, 1},
		"an old report counts for nothing": {pick.Usual, []pick.Candidate{
			{Load: load(1, 5, usual, 0)}, {Load: load(9, 5, usual, 2*time.Second)},
		}, 1},
		"a slow upstream only when others would take longer": {pick.Usual, []pick.Candidate{
			{Load: load(0, 5, 4*usual, 0)}, {Load: load(3, 5, usual, 0)},
		}, 1},
		"a slow upstream when they would": {pick.Usual, []pick.Candidate{
			{Load: load(0, 5, 4*usual, 0)}, {Load: load(9, 5, usual, 0)},
		}, 0},
		"a little slower is chance": {pick.Usual, []pick.Candidate{
			{Load: load(0, 5, 60*time.Millisecond, 0)}, {Load: load(1, 5, usual, 0)},
		}, 0},
		"a near one of equal load": {pick.Usual, []pick.Candidate{
			{Load: load(1, 5, usual, 0), Remote: true}, {Load: load(1, 5, usual, 0)},
		}, 1},
		"not one that answers errors at once": {pick.Usual, []pick.Candidate{
			{Load: load(0, 5, time.Millisecond, 0)}, {Load: load(3, 5, usual, 0)}, {Load: load(2, 5, usual, 0)}, {Load: load(4, 5, usual, 0)},
		}, 2},
		"nor two of them": {pick.Usual, []pick.Candidate{
			{Load: load(0, 5, time.Millisecond, 0)}, {Load: load(3, 5, usual, 0)}, {Load: load(0, 5, time.Millisecond, 0)}, {Load: load(4, 5, usual, 0)},
		}, 1},
		"sooner than a suspect": {pick.Usual, []pick.Candidate{
			{Load: load(0, 5, time.Millisecond, 0)}, {Load: load(1, 5, usual, 0), Suspect: true}, {Load: load(1, 5, usual, 0), Suspect: true},
		}, 0},
		"it is tried again after a while": {pick.Usual, []pick.Candidate{
			{Load: load(0, 5, time.Millisecond, 6*time.Second)}, {Load: load(3, 5, usual, 0)}, {Load: load(2, 5, usual, 0)},
		}, 0},
		"of two, the slower may be the sick one": {pick.Usual, []pick.Candidate{
			{Load: load(1, 5, usual, 0)}, {Load: load(0, 5, 20*usual, 0)},
		}, 0},
		"not one that leaves requests unanswered": {pick.Usual, []pick.Candidate{
			{Load: failing(30)}, {Load: load(4, 5, usual, 0)},
		}, 1},
		"a few are left at any": {pick.Usual, []pick.Candidate{
			{Load: failing(10)}, {Load: load(4, 5, usual, 0)},
		}, 0},
		"never a suspect": {pick.Usual, []pick.Candidate{
			{Load: load(0, 5, usual, 0), Suspect: true}, {Load: load(9, 5, usual, 0)},
		}, 1},
		"the first rank by hash": {pick.Rule{Choices: 4}, []pick.Candidate{
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
		rule       pick.Rule
		candidates []pick.Candidate
		want       bool
	}{
		"none":                   {pick.Usual, nil, false},
		"all":                    {pick.Usual, []pick.Candidate{{Load: full}, {Load: full}}, true},
		"but one":                {pick.Usual, []pick.Candidate{{Load: full}, {Load: room}}, false},
		"one nobody heard of":    {pick.Usual, []pick.Candidate{{Load: full}, {Load: &pick.Load{}}}, false},
		"some time ago":          {pick.Usual, []pick.Candidate{{Load: load(5, 5, usual, 200*time.Millisecond)}}, false},
		"a suspect":              {pick.Usual, []pick.Candidate{{Load: full, Suspect: true}}, false},
		"under a rule that asks": {pick.Rule{Choices: 4, ByLoad: true}, []pick.Candidate{{Load: full}}, false},
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
	l.Send()
	l.Send()
	if got := l.Estimate(now); got != 1 {
		t.Errorf("got %v requests for each slot, want 1", got)
	}
}
