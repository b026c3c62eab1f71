package fleet_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/coriandershift/coriandershift/internal/coordination/fleet"
	"github.com/coriandershift/coriandershift/internal/state/config"
	"github.com/coriandershift/coriandershift/internal/state/flow"
	"github.com/coriandershift/coriandershift/internal/state/roster"
)

// largeFleet returns a Fleet with an agent for each of more services than are all searched,
// whose balancer started two minutes ago.
func largeFleet(cfg *config.Config) *fleet.Fleet {
	f := fleet.New(start.Add(-2 * time.Minute))
	f.Configure(start, cfg)
	for number := range byte(12) {
		f.Update(start, []roster.Member{agent(number, fmt.Sprint("s", number))})
	}
	return f
}

func withRevision(cfg *config.Config, revision uint64) *config.Config {
	cfg.Revision, cfg.Operators = revision, revision
	return cfg
}

// Guards against a balancer that declares a flow gone without having asked at the service to
// which its route led under a configuration that it skipped (second review, case 7).
func TestServicesOfSkippedConfigurationsMayHoldFlows(t *testing.T) {
	first := withRevision(routeTo("s0"), 1)
	between := withRevision(routeTo("s1"), 2)
	between.RecordFormer(first)
	last := withRevision(routeTo("s0"), 3)
	last.RecordFormer(between)
	unseen := withRevision(routeTo("s0"), 3)
	unseen.RecordFormerAcrossGap(first)
	tests := map[string]struct {
		next      *config.Config
		age       time.Duration // since next
		want      []byte
		wantKnown time.Duration // since next; for a flow that is open since then
	}{
		"told of the one in between":    {last, time.Second, []byte{0, 1}, config.ChangeBound},
		"its flows have ended":          {last, 2 * time.Minute, []byte{0}, config.ChangeBound},
		"not told":                      {unseen, time.Second, []byte{0}, time.Minute + config.ChangeBound},
		"not told, flows have ended":    {unseen, 2 * time.Minute, []byte{0}, time.Minute + config.ChangeBound},
		"nothing but time-outs changed": {withRevision(routeTo("s0"), 1), time.Second, []byte{0}, config.ChangeBound},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			f := largeFleet(first)
			if test.next.Revision > first.Revision {
				f.Configure(start, test.next)
			}
			now := start.Add(test.age)
			f.Evict(now)
			live, _ := f.AllHolders(now, &test.next.Routes[0], 7)
			if diff := cmp.Diff(test.want, numbersOf(live)); diff != "" {
				t.Error(diff)
			}
			if got := f.ServicesKnownFrom(start).Sub(start); got != test.wantKnown {
				t.Errorf("all services are known after %v, want %v", got, test.wantKnown)
			}
		})
	}
}

// With few services all are asked before a flow counts as gone: a configuration of which
// this balancer has not heard may lead the route to any of them.
func TestAFewServicesAreAllAsked(t *testing.T) {
	f, route := newFleet()
	f.Update(start, []roster.Member{agent(10, "hub")})
	possible, _ := f.PossibleHolders(start, route, 7)
	all, _ := f.AllHolders(start, route, 7)
	got := [][]byte{numbersOf(possible), numbersOf(all)}
	if diff := cmp.Diff([][]byte{{0, 1, 2, 3, 4, 5}, {0, 1, 2, 3, 4, 5, 10}}, got); diff != "" {
		t.Error(diff)
	}
	if at := f.ServicesKnownFrom(start); !at.IsZero() {
		t.Errorf("all services are known from %v on, want at once", at)
	}
}

func TestARouteCountsAsDroppedForTheLifeOfAFlow(t *testing.T) {
	address := flow.EndpointOf(routeTo("desk").Routes[0].Address)
	none := func(revision uint64) *config.Config { return &config.Config{Revision: revision} }
	tests := map[string]struct {
		steps []*config.Config
		age   time.Duration
		want  bool
	}{
		"it has a route":        {nil, 0, false},
		"moved":                 {[]*config.Config{withRevision(routeTo("hub"), 2)}, 0, false},
		"dropped":               {[]*config.Config{none(2)}, 0, true},
		"dropped a minute ago":  {[]*config.Config{none(2)}, 2 * time.Minute, false},
		"dropped, added again":  {[]*config.Config{none(2), withRevision(routeTo("desk"), 3)}, 0, false},
		"moved and dropped":     {[]*config.Config{withRevision(routeTo("hub"), 2), none(3)}, 0, true},
		"dropped, another step": {[]*config.Config{none(2), none(3)}, 0, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			f, _ := newFleet()
			for _, cfg := range test.steps {
				f.Configure(start, cfg)
			}
			f.Evict(start.Add(test.age))
			if got := f.WasDropped(address); got != test.want {
				t.Errorf("got %v, want %v", got, test.want)
			}
		})
	}
}
