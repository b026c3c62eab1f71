package adopt_test

import (
	"testing"
	"time"

	"github.com/coriandershift/coriandershift/internal/coordination/adopt"
	"github.com/coriandershift/coriandershift/internal/state/config"
	"github.com/coriandershift/coriandershift/internal/state/revno"
)

var start = time.Unix(1_800_000_000, 0)

// newConfig returns a configuration with the operators' version, read from the store at
// a revision in an era, in which failure domains are out.
func newConfig(operators, era uint64, inStore int64, out ...string) *config.Config {
	c := &config.Config{Operators: operators, Revision: uint64(revno.Of(era, inStore))}
	for i, name := range out {
		c.Domains = append(c.Domains, config.Domain{Name: name, Number: uint8(i + 1), Out: true})
	}
	return c
}

func TestOffer(t *testing.T) {
	inForce := newConfig(50, 1, 1000, "a")
	tests := map[string]struct {
		offered *config.Config
		want    adopt.Decision
	}{
		"the same":                                   {inForce, adopt.Ignore},
		"a change in the same era":                   {newConfig(50, 1, 1001), adopt.Adopt},
		"an older revision":                          {newConfig(50, 1, 999, "a"), adopt.Ignore},
		"a late answer of an earlier era":            {newConfig(49, 0, 5000, "a"), adopt.Ignore},
		"a copy with an older version":               {newConfig(48, 2, 900, "a"), adopt.Hold},
		"a copy that lacks a domain that is out":     {newConfig(50, 2, 990), adopt.Hold},
		"a copy with a domain that was brought back": {newConfig(50, 2, 990, "a", "b"), adopt.Hold},
		"a copy without any loss":                    {newConfig(50, 2, 990, "a"), adopt.Adopt},
		"a newer version in a later era":             {newConfig(53, 2, 990, "a"), adopt.Adopt},
		"a newer version of a peer in an earlier era, after this process started from a copy": {newConfig(51, 0, 5000, "a"), adopt.Adopt},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			g := adopt.New()
			if g.Offer(start, inForce) != adopt.Adopt {
				t.Fatal("the first configuration was not adopted")
			}
			if got := g.Offer(start, test.offered); got != test.want {
				t.Fatalf("got %d, want %d", got, test.want)
			}
			if adopted := g.InForce() == test.offered; adopted != (test.want == adopt.Adopt || test.offered == inForce) {
				t.Errorf("in force: %v", adopted)
			}
		})
	}
}

func TestAConfigurationIsHeldBack(t *testing.T) {
	copied, lost := newConfig(50, 2, 990), newConfig(48, 2, 990)
	tests := map[string]struct {
		offered *config.Config
		after   time.Duration // since the copy was first seen
		want    adopt.Decision
	}{
		"while the failure domains may not have settled": {copied, adopt.SettleTime - 1, adopt.Hold},
		"until they have":                                      {copied, adopt.SettleTime, adopt.Adopt},
		"always with an older version":                         {lost, time.Hour, adopt.Hold},
		"not when the operators have written theirs again":     {newConfig(50, 2, 995, "a"), time.Second, adopt.Adopt},
		"not when they have written a newer one again, either": {newConfig(51, 2, 995, "a"), time.Second, adopt.Adopt},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			g := adopt.New()
			g.Offer(start, newConfig(50, 1, 1000, "a"))
			if g.Offer(start, copied) != adopt.Hold {
				t.Fatal("the copy was not held back")
			}
			if got := g.Offer(start.Add(test.after), test.offered); got != test.want {
				t.Errorf("got %d, want %d", got, test.want)
			}
		})
	}
}

func TestAProcessThatStartsInAnEraIsUnsettledForAWhile(t *testing.T) {
	for name, test := range map[string]struct {
		era  uint64
		want bool
	}{"without eras": {0, false}, "in a later era": {2, true}} {
		t.Run(name, func(t *testing.T) {
			g := adopt.New()
			g.Offer(start, newConfig(48, test.era, 900))
			if got := g.Unsettled(start); got != test.want {
				t.Errorf("at the start: %v, want %v", got, test.want)
			}
			if g.Unsettled(start.Add(adopt.SettleTime)) {
				t.Error("still unsettled after SettleTime")
			}
		})
	}
}

// The store may come back a second time before operators have written everything again
// (TestDrills, seed 77, step 913,163).
func TestAnotherEraProlongsTheUnsettledTime(t *testing.T) {
	g := adopt.New()
	g.Offer(start, newConfig(50, 1, 900))
	g.ObserveEra(start.Add(time.Second), 2)
	if !g.Unsettled(start.Add(adopt.SettleTime)) {
		t.Error("settled although another era began a second before")
	}
	if g.Unsettled(start.Add(time.Second + adopt.SettleTime)) {
		t.Error("still unsettled after SettleTime in the latest era")
	}
}

// A process that starts between the return of the store and the operators' writing
// takes what the store has, and then what its peers know better.
func TestAProcessThatStartsFromACopyHearsBetterFromItsPeers(t *testing.T) {
	g := adopt.New()
	g.Offer(start, newConfig(48, 2, 900))
	if g.Offer(start, newConfig(50, 1, 1000, "a")) != adopt.Adopt {
		t.Fatal("the newer configuration of a peer was not adopted")
	}
	if g.Offer(start, newConfig(48, 2, 901)) != adopt.Hold {
		t.Error("the copy was taken a second time")
	}
	if g.Offer(start, newConfig(50, 2, 950, "a")) != adopt.Adopt {
		t.Error("the operators' configuration was not adopted")
	}
}

// Guards against a process that takes over from a peer what brings a failure domain back: the
// domain is out at this process only, which has just started, and the store lost that it is
// (TestDrills, seed 9221). The peer saw no difference to what it had in force.
func TestAPeerThatNeverHadADomainOutIsNoProof(t *testing.T) {
	g := adopt.New()
	g.Offer(start, newConfig(50, 1, 1000, "c"))
	fromPeer := newConfig(50, 2, 990)
	if got := g.Offer(start.Add(time.Second), fromPeer); got != adopt.Hold {
		t.Errorf("at once: got %d", got)
	}
	if got := g.Offer(start.Add(time.Second+adopt.SettleTime), fromPeer); got != adopt.Adopt {
		t.Errorf("after SettleTime: got %d", got)
	}
}

// Guards against a process that starts from a copy in which the operators have taken a domain
// out again, and brings it back with a peer's later version of an earlier era (TestDrills,
// seed 30). The operators had not written that version again yet.
func TestALaterVersionOfAnEarlierEraBringsNoDomainBack(t *testing.T) {
	tests := map[string]struct {
		offered *config.Config
		after   time.Duration // since the start
		want    adopt.Decision
	}{
		"it lacks the domain":               {newConfig(50, 1, 1000), time.Second, adopt.Hold},
		"it has another one":                {newConfig(50, 1, 1000, "c"), time.Second, adopt.Hold},
		"it has the domain and another one": {newConfig(50, 1, 1000, "a", "c"), time.Second, adopt.Adopt},
		"it lacks the domain, later":        {newConfig(50, 1, 1000), adopt.SettleTime, adopt.Adopt},
		"the operators have written theirs": {newConfig(50, 2, 905), time.Second, adopt.Adopt},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			g := adopt.New()
			g.Offer(start, newConfig(48, 2, 900, "a"))
			if got := g.Offer(start.Add(test.after), test.offered); got != test.want {
				t.Errorf("got %d, want %d", got, test.want)
			}
		})
	}
}
