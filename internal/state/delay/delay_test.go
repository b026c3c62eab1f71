package delay_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/coriandershift/coriandershift/internal/state/delay"
)

var start = time.Unix(1_800_000_000, 0)

type answer struct{ at, took time.Duration }

func TestValue(t *testing.T) {
	tests := map[string]struct {
		answers []answer
		at      time.Duration
		want    time.Duration
	}{
		"no answer":                     {nil, 0, 150 * time.Millisecond},
		"fast answers":                  {[]answer{{0, time.Millisecond}, {0, 2 * time.Millisecond}}, 0, 40 * time.Millisecond},
		"one slow answer":               {[]answer{{0, 20 * time.Millisecond}, {time.Second, time.Millisecond}}, time.Second, 80 * time.Millisecond},
		"very slow answer":              {[]answer{{0, time.Second}}, 0, 150 * time.Millisecond},
		"slow answer nine seconds ago":  {[]answer{{0, 20 * time.Millisecond}, {9 * time.Second, time.Millisecond}}, 9 * time.Second, 80 * time.Millisecond},
		"slow answer ten seconds ago":   {[]answer{{0, 20 * time.Millisecond}, {9 * time.Second, time.Millisecond}}, 10 * time.Second, 40 * time.Millisecond},
		"answers a minute ago":          {[]answer{{0, time.Millisecond}}, time.Minute, 150 * time.Millisecond},
		"an answer before the last one": {[]answer{{2 * time.Second, time.Millisecond}, {0, 20 * time.Millisecond}}, 2 * time.Second, 80 * time.Millisecond},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			timeout := delay.Timeout{Factor: 4, Floor: 40 * time.Millisecond, Ceiling: 150 * time.Millisecond}
			for _, a := range test.answers {
				timeout.Observe(start.Add(a.at), a.took)
			}
			if diff := cmp.Diff(test.want, timeout.Value(start.Add(test.at))); diff != "" {
				t.Error(diff)
			}
		})
	}
}
