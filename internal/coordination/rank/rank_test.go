package rank_test

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/coriandershift/coriandershift/internal/coordination/rank"
)

func top(hash uint64, candidates []rank.Candidate, count int) []int {
	order, scores := make([]int, count), make([]uint64, count)
	return order[:rank.Top(hash, candidates, order, scores)]
}

func candidates(count int) []rank.Candidate {
	var all []rank.Candidate
	for i := range count {
		all = append(all, rank.Candidate{Seed: uint64(i+1) * 0x9e3779b97f4a7c15, Index: i})
	}
	return all
}

func TestTopDoesNotDependOnTheOrderOfCandidates(t *testing.T) {
	list := candidates(20)
	reversed := make([]rank.Candidate, 0, len(list))
	for i := range list {
		reversed = append(reversed, list[len(list)-1-i])
	}
	for hash := range uint64(200) {
		if diff := cmp.Diff(top(hash, list, 5), top(hash, reversed, 5)); diff != "" {
			t.Fatal(diff)
		}
	}
}

func TestOneMoreCandidateMovesFewFlows(t *testing.T) {
	before, after := candidates(9), candidates(10)
	moved := 0
	for hash := range uint64(10000) {
		if top(hash*0x1234567, before, 1)[0] != top(hash*0x1234567, after, 1)[0] {
			moved++
		}
	}
	if moved > 1300 { // a tenth is 1,000
		t.Errorf("%d of 10,000 flows moved", moved)
	}
}

func TestFewerCandidatesThanAsked(t *testing.T) {
	if got := top(1, candidates(2), 5); len(got) != 2 {
		t.Errorf("got %v", got)
	}
	if got := top(1, nil, 5); len(got) != 0 {
		t.Errorf("got %v", got)
	}
}
