package revno_test

import (
	"testing"

	"github.com/coriandershift/coriandershift/internal/state/revno"
)

func TestRevisionsAreOrderedByEraFirst(t *testing.T) {
	ordered := []revno.Revision{
		revno.Of(0, 0), revno.Of(0, 1), revno.Of(0, 1<<39), revno.Of(1, 0), revno.Of(1, 1<<39), revno.Of(2, 7), revno.Of(revno.MaxEra, 1<<39),
	}
	for i := 1; i < len(ordered); i++ {
		if ordered[i-1] >= ordered[i] {
			t.Errorf("%d is not less than %d", ordered[i-1], ordered[i])
		}
	}
}

func TestPartsOfARevision(t *testing.T) {
	r := revno.Of(3, 950)
	if r.Era() != 3 || r.InStore() != 950 {
		t.Errorf("got era %d, revision %d", r.Era(), r.InStore())
	}
	if int64(revno.Of(revno.MaxEra, 1<<40-1)) < 0 {
		t.Error("the largest revision does not fit an int64")
	}
	if r := revno.Revision(950); r.Era() != 0 || r.InStore() != 950 {
		t.Errorf("without an era: got era %d, revision %d", r.Era(), r.InStore())
	}
}
