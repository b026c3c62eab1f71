package dedup_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/coriandershift/coriandershift/internal/state/dedup"
)

var begin = time.Unix(1_800_000_000, 0)

func TestRequestRunsOncePerKey(t *testing.T) {
	answer := &dedup.Answer{Status: 200}
	tests := map[string]struct {
		change func(*dedup.Table)
		at     time.Time
		want   dedup.KeyStatus
	}{
		"running":              {func(*dedup.Table) {}, begin, dedup.Running},
		"released":             {func(d *dedup.Table) { d.Release("k") }, begin, dedup.NotSeen},
		"answered":             {func(d *dedup.Table) { d.End(begin, "k", dedup.Answered, answer) }, begin, dedup.Answered},
		"outcome unknown":      {func(d *dedup.Table) { d.End(begin, "k", dedup.OutcomeUnknown, nil) }, begin, dedup.OutcomeUnknown},
		"answered, still kept": {func(d *dedup.Table) { d.End(begin, "k", dedup.Answered, answer) }, begin.Add(dedup.RememberFor - 1), dedup.Answered},
		"answered, expired":    {func(d *dedup.Table) { d.End(begin, "k", dedup.Answered, answer) }, begin.Add(dedup.RememberFor), dedup.NotSeen},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			table := dedup.New()
			if status, _ := table.Begin(begin, "k"); status != dedup.NotSeen {
				t.Fatalf("new key has status %d, want NotSeen", status)
			}
			test.change(table)
			status, got := table.Begin(test.at, "k")
			if status != test.want {
				t.Errorf("got status %d, want %d", status, test.want)
			}
			if (got != nil) != (test.want == dedup.Answered) {
				t.Errorf("got answer %v", got)
			}
		})
	}
}

func TestFloodOfKeysDoesNotGrowMemory(t *testing.T) {
	table := dedup.New()
	for i := range 2 * dedup.MaxRemembered {
		table.Begin(begin, fmt.Sprint(i))
	}
	if status, _ := table.Begin(begin, "0"); status != dedup.NotSeen {
		t.Error("the oldest key is still kept after twice MaxRemembered new ones")
	}
}
