package config_test

import (
	"errors"
	"testing"

	"github.com/coriandershift/coriandershift/internal/state/config"
	"github.com/coriandershift/coriandershift/internal/state/revno"
)

// Revisions that a store gave out twice used to name two configurations, and a delta to
// the one could be applied to the other.
func TestADeltaOfAnEarlierEraDoesNotFit(t *testing.T) {
	revision := func(era uint64, inStore int64) uint64 { return uint64(revno.Of(era, inStore)) }
	lost := &config.Config{Revision: revision(0, 100)}
	next := &config.Config{Revision: revision(0, 101), Domains: []config.Domain{{Name: "a", Number: 1}}}
	again := &config.Config{Revision: revision(1, 100)}
	if _, err := again.Patch(config.Diff(lost, next)); !errors.Is(err, config.ErrRevisionGap) {
		t.Errorf("got %v, want ErrRevisionGap", err)
	}

	var history config.History
	history.Add(config.Diff(lost, next))
	history.Add(config.Diff(next, again))
	if delta, ok := history.Since(again.Revision); ok {
		t.Errorf("got the delta %+v from a revision that is in force", delta)
	}
}

func TestNewerThan(t *testing.T) {
	newConfig := func(operators, era uint64, inStore int64) *config.Config {
		return &config.Config{Operators: operators, Revision: uint64(revno.Of(era, inStore))}
	}
	tests := map[string]struct {
		one, other *config.Config
		want       bool
	}{
		"a later revision":                          {newConfig(5, 0, 11), newConfig(5, 0, 10), true},
		"the same":                                  {newConfig(5, 0, 10), newConfig(5, 0, 10), false},
		"a later era":                               {newConfig(5, 1, 3), newConfig(5, 0, 10), true},
		"a later era with an older version":         {newConfig(4, 1, 3), newConfig(5, 0, 10), false},
		"a newer version of an earlier era":         {newConfig(5, 0, 10), newConfig(4, 1, 3), true},
		"a version against none, by revision":       {newConfig(5, 0, 10), newConfig(0, 0, 11), false},
		"none against a version, by revision alone": {newConfig(0, 0, 11), newConfig(5, 0, 10), true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			if got := test.one.NewerThan(test.other); got != test.want {
				t.Errorf("got %v, want %v", got, test.want)
			}
		})
	}
}
