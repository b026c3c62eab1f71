package lang_test

import (
	"errors"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/coriandershift/coriandershift/internal/protocol/lang"
	"github.com/coriandershift/coriandershift/internal/state/config"
)

func TestParse(t *testing.T) {
	tests := map[string]struct {
		text string
		want lang.Script
		err  error
	}{
		"query": {"show members", lang.Script{Query: "members"}, nil},
		"one command": {
			"take out domain south-4",
			lang.Script{Operations: []config.Operation{{Verb: config.TakeOut, Name: "south-4"}}}, nil,
		},
		"several commands": {
			"drain upstream checklists-7; bring back domain south-1;",
			lang.Script{Operations: []config.Operation{
				{Verb: config.Drain, Name: "checklists-7"}, {Verb: config.BringBack, Name: "south-1"},
			}}, nil,
		},
		"limits": {
			"set service checklists slots=8 queue=30",
			lang.Script{Operations: []config.Operation{
				{Verb: config.SetLimit, Name: "checklists", Limit: "slots", Value: 8},
				{Verb: config.SetLimit, Name: "checklists", Limit: "queue", Value: 30},
			}}, nil,
		},
		"empty":              {"", lang.Script{}, lang.ErrSyntax},
		"unknown word":       {"destroy everything", lang.Script{}, lang.ErrSyntax},
		"missing name":       {"take out domain", lang.Script{}, lang.ErrSyntax},
		"query and command":  {"show members; drain upstream a", lang.Script{}, lang.ErrSyntax},
		"limit is no number": {"set service a slots=many", lang.Script{}, lang.ErrSyntax},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			got, err := lang.Parse(test.text)
			if !errors.Is(err, test.err) {
				t.Fatalf("got %v, want %v", err, test.err)
			}
			if diff := cmp.Diff(test.want, got); diff != "" {
				t.Error(diff)
			}
		})
	}
}

func FuzzParse(f *testing.F) {
	f.Add("take out domain south-4; drain upstream a")
	f.Add("set service a slots=1")
	f.Fuzz(func(t *testing.T, text string) {
		script, err := lang.Parse(text)
		if err == nil && script.Query == "" && len(script.Operations) == 0 {
			t.Error("an empty script was accepted")
		}
	})
}
