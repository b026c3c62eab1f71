package pick_test

import (
	"testing"
	"time"

	"github.com/coriandershift/coriandershift/internal/coordination/pick"
)

var now = time.Unix(1_800_000_000, 0)

func load(requests, slots int, meanDuration, age time.Duration) *pick.Load {
	var l pick.Load
	l.SetReport(now.Add(-age), pick.LoadReport{Requests: requests, Slots: slots, MeanDuration: meanDuration})
	return &l
}

// failing returns the load of an idle agent whose upstream leaves requests unanswered.
func failing(percent int) *pick.Load {
	var l pick.Load
	l.SetReport(now, pick.LoadReport{Slots: 5, MeanDuration: typical, UnansweredPercent: percent})
	return &l
}

const typical = 50 * time.Millisecond

func TestFirstChoice(t *testing.T) {
	tests := map[string]struct {
		policy     pick.Policy
		candidates []pick.Candidate
		want       int
	}{
		"least loaded": {pick.DefaultPolicy, []pick.Candidate{
			{Load: load(4, 5, typical, 0)}, {Load: load(1, 5, typical, 0)}, {Load: load(3, 5, typical, 0)},
		}, 1},
		"load per slot, not number of requests": {pick.DefaultPolicy, []pick.Candidate{
			{Load: load(2, 2, typical, 0)}, {Load: load(3, 8, typical, 0)},
		}, 1},
		"an old report does not count": {pick.DefaultPolicy, []pick.Candidate{
			{Load: load(1, 5, typical, 0)}, {Load: load(9, 5, typical, 2*time.Second)},
		}, 1},
		"not a slow upstream while others answer sooner": {pick.DefaultPolicy, []pick.Candidate{
			{Load: load(0, 5, 4*typical, 0)}, {Load: load(3, 5, typical, 0)},
		}, 1},
		"a slow upstream when others would take longer": {pick.DefaultPolicy, []pick.Candidate{
			{Load: load(0, 5, 4*typical, 0)}, {Load: load(9, 5, typical, 0)},
		}, 0},
		"slightly slower does not count as slow": {pick.DefaultPolicy, []pick.Candidate{
			{Load: load(0, 5, 60*time.Millisecond, 0)}, {Load: load(1, 5, typical, 0)},
		}, 0},
		"of equal load, the one in the same domain": {pick.DefaultPolicy, []pick.Candidate{
			{Load: load(1, 5, typical, 0), OtherDomain: true}, {Load: load(1, 5, typical, 0)},
		}, 1},
		"not one that seems to fail fast": {pick.DefaultPolicy, []pick.Candidate{
			{Load: load(0, 5, time.Millisecond, 0)}, {Load: load(3, 5, typical, 0)}, {Load: load(2, 5, typical, 0)}, {Load: load(4, 5, typical, 0)},
		}, 2},
		"none of two that seem to fail fast": {pick.DefaultPolicy, []pick.Candidate{
			{Load: load(0, 5, time.Millisecond, 0)}, {Load: load(3, 5, typical, 0)}, {Load: load(0, 5, time.Millisecond, 0)}, {Load: load(4, 5, typical, 0)},
		}, 1},
		"one that seems to fail fast before a suspect": {pick.DefaultPolicy, []pick.Candidate{
			{Load: load(0, 5, time.Millisecond, 0)}, {Load: load(1, 5, typical, 0), Suspected: true}, {Load: load(1, 5, typical, 0), Suspected: true},
		}, 0},
		"one that seemed to fail fast is tried again later": {pick.DefaultPolicy, []pick.Candidate{
			{Load: load(0, 5, time.Millisecond, 6*time.Second)}, {Load: load(3, 5, typical, 0)}, {Load: load(2, 5, typical, 0)},
		}, 0},
		"of two, the faster does not seem to fail": {pick.DefaultPolicy, []pick.Candidate{
			{Load: load(1, 5, typical, 0)}, {Load: load(0, 5, 20*typical, 0)},
		}, 0},
		"not one that leaves requests unanswered": {pick.DefaultPolicy, []pick.Candidate{
			{Load: failing(30)}, {Load: load(4, 5, typical, 0)},
		}, 1},
		"one that leaves few requests unanswered": {pick.DefaultPolicy, []pick.Candidate{
			{Load: failing(10)}, {Load: load(4, 5, typical, 0)},
		}, 0},
		"not a suspect": {pick.DefaultPolicy, []pick.Candidate{
			{Load: load(0, 5, typical, 0), Suspected: true}, {Load: load(9, 5, typical, 0)},
		}, 1},
		"the first rank by hash": {pick.Policy{Choices: 4}, []pick.Candidate{
			{Load: load(9, 5, typical, 0)}, {Load: load(0, 5, typical, 0)},
		}, 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			costs := make([]float64, len(test.candidates))
			test.policy.Costs(now, test.candidates, costs)
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

func TestFlowsAreSentDirectlyWhenAllAreFull(t *testing.T) {
	full, notFull := load(5, 5, typical, 0), load(4, 5, typical, 0)
	tests := map[string]struct {
		policy     pick.Policy
		candidates []pick.Candidate
		want       bool
	}{
		"none":                   {pick.DefaultPolicy, nil, false},
		"all":                    {pick.DefaultPolicy, []pick.Candidate{{Load: full}, {Load: full}}, true},
		"all but one":            {pick.DefaultPolicy, []pick.Candidate{{Load: full}, {Load: notFull}}, false},
		"one without a report":   {pick.DefaultPolicy, []pick.Candidate{{Load: full}, {Load: &pick.Load{}}}, false},
		"an old report":          {pick.DefaultPolicy, []pick.Candidate{{Load: load(5, 5, typical, 200*time.Millisecond)}}, false},
		"a suspect":              {pick.DefaultPolicy, []pick.Candidate{{Load: full, Suspected: true}}, false},
		"without DirectWhenFull": {pick.Policy{Choices: 4, ByLoad: true}, []pick.Candidate{{Load: full}}, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			if got := test.policy.Costs(now, test.candidates, make([]float64, len(test.candidates))); got != test.want {
				t.Errorf("got %v", got)
			}
		})
	}
}

func TestFlowsPlacedSinceTheReportCount(t *testing.T) {
	l := load(2, 4, typical, 0)
	l.CountPlaced(now)
	l.CountPlaced(now)
	if got := l.RequestsPerSlot(now); got != 1 {
		t.Errorf("got %v requests per slot, want 1", got)
	}
}

// The load is a link that lost the reports of some agents for a moment.
func TestAnAgentWhoseReportsWereLostIsNotAvoidedForGood(t *testing.T) {
	tests := map[string]struct{ load *pick.Load }{
		"it never reported":       {&pick.Load{}},
		"it reported before that": {load(1, 5, typical, 3*time.Second)},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			for range 50 {
				test.load.CountPlaced(now)
			}
			if got := test.load.RequestsPerSlot(now.Add(500 * time.Millisecond)); got < 10 {
				t.Errorf("after half a second: %v requests per slot, want at least 10", got)
			}
			if got := test.load.RequestsPerSlot(now.Add(2 * time.Second)); got != 0 {
				t.Errorf("after two seconds: %v requests per slot, want 0", got)
			}
		})
	}
}
