package dedup_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/coriandershift/coriandershift/internal/state/dedup"
)

var begin = time.Unix(1_800_000_000, 0)

func TestKeyRunsOnce(t *testing.T) {
	answer := &dedup.Answer{Status: 200}
	tests := map[string]struct {
		after func(*dedup.Table)
		at    time.Time
		want  dedup.Status
	}{
		"running":                {func(*dedup.Table) {}, begin, dedup.Running},
		"given back":             {func(d *dedup.Table) { d.Release("k") }, begin, dedup.Unknown},
		"done":                   {func(d *dedup.Table) { d.End(begin, "k", dedup.Done, answer) }, begin, dedup.Done},
		"outcome unknown":        {func(d *dedup.Table) { d.End(begin, "k", dedup.Lost, nil) }, begin, dedup.Lost},
		"done, just remembered":  {func(d *dedup.Table) { d.End(begin, "k", dedup.Done, answer) }, begin.Add(dedup.RememberFor - 1), dedup.Done},
		"done, forgotten by now": {func(d *dedup.Table) { d.End(begin, "k", dedup.Done, answer) }, begin.Add(dedup.RememberFor), dedup.Unknown},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			table := dedup.New()
			if status, _ := table.Begin(begin, "k"); status != dedup.Unknown {
				t.Fatalf("new key has status %d", status)
			}
			test.after(table)
			status, got := table.Begin(test.at, "k")
			if status != test.want {
				t.Errorf("got status %d, want %d", status, test.want)
			}
			if (got != nil) != (test.want == dedup.Done) {
				t.Errorf("got answer %v", got)
			}
		})
	}
}

func TestFloodOfKeysDoesNotGrowMemory(t *testing.T) {
	table := dedup.New()
	for i := range 2 * dedup.Remembered {
		table.Begin(begin, fmt.Sprint(i))
	}
	if status, _ := table.Begin(begin, "0"); status != dedup.Unknown {
		t.Error("the oldest key of a flood is still remembered")
	}
}
