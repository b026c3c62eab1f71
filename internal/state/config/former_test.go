package config_test

import (
	"fmt"
	"net/netip"
	"slices"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"pgregory.net/rapid"

	"github.com/coriandershift/coriandershift/internal/state/config"
)

func addressOf(number int) netip.AddrPort {
	return netip.AddrPortFrom(netip.MustParseAddr("198.18.0.1"), uint16(number))
}

// drawRoutes returns a configuration in which each of three addresses has a route to one of
// three services, or none.
func drawRoutes(t *rapid.T, revision uint64) *config.Config {
	c := &config.Config{Revision: revision, Operators: revision}
	for number := 1; number <= 3; number++ {
		if service := rapid.IntRange(0, 3).Draw(t, "service"); service > 0 {
			c.Routes = append(c.Routes, config.Route{
				Name: fmt.Sprint("r", number), Address: addressOf(number), Shares: []config.Share{{Service: fmt.Sprint("s", service), Weight: 1}},
			})
		}
	}
	return c
}

// servicesOf returns the service of each route.
func servicesOf(c *config.Config) map[netip.AddrPort]string {
	services := map[netip.AddrPort]string{}
	for _, r := range c.Routes {
		services[r.Address] = r.Shares[0].Service
	}
	return services
}

// Guards against processes that cannot tell to which services a route led under a
// configuration that they skipped (second review, case 7). Each process takes deltas that
// cover several configurations from one that had all of them.
func TestFormerNamesTheServicesOfSkippedConfigurations(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var history config.History
		all := []*config.Config{drawRoutes(t, 1)}
		for revision := uint64(2); revision <= uint64(rapid.IntRange(2, 20).Draw(t, "revisions")); revision++ {
			last := all[len(all)-1]
			next := drawRoutes(t, revision)
			next.RecordFormer(last)
			history.Add(config.Diff(last, next))
			all = append(all, next)
		}

		start := rapid.IntRange(0, len(all)-1).Draw(t, "start")
		delta, found := history.Since(all[start].Revision)
		if !found {
			return
		}
		got, err := all[start].Patch(delta)
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(all[len(all)-1], got, cmpopts.EquateEmpty(), cmpopts.EquateComparable(netip.AddrPort{})); diff != "" {
			t.Fatal(diff)
		}
		if !got.HasFormerSince(all[start].Revision) {
			t.Fatal("the list is not complete from the configuration that was patched")
		}
		now := servicesOf(got)
		for _, skipped := range all[start:] {
			for address, service := range servicesOf(skipped) {
				isFormer := slices.ContainsFunc(got.FormerSince(all[start].Revision), func(f config.Former) bool {
					return f.Address == address && slices.Contains(f.Services, service)
				})
				if now[address] != service && !isFormer {
					t.Fatalf("%s led to %s under revision %d, which is neither its service nor a former one", address, service, skipped.Revision)
				}
			}
		}
	})
}

// Whether Former is complete from a revision on, as told by a configuration, its successors
// and deltas between them.
func TestFormerIsCompleteOnlyWithoutAGap(t *testing.T) {
	newConfig := func(revision uint64) *config.Config { return &config.Config{Revision: revision, Operators: revision} }
	follow := func(previous, next *config.Config) *config.Config {
		next.RecordFormer(previous)
		return next
	}
	unseen := func(previous, next *config.Config) *config.Config {
		next.RecordFormerAcrossGap(previous)
		return next
	}
	patched := func(from, to *config.Config) *config.Config {
		c, err := from.Patch(config.Diff(from, to))
		if err != nil {
			t.Fatal(err)
		}
		return c
	}
	many := newConfig(10)
	for i := range 1100 {
		many.Routes = append(many.Routes, config.Route{Name: fmt.Sprint(i), Address: addressOf(i + 1), Shares: []config.Share{{Service: "s", Weight: 1}}})
	}
	tests := map[string]struct {
		cfg        *config.Config
		since      uint64
		wantFollow bool
	}{
		"read as a whole":                    {newConfig(3), 2, false},
		"read as a whole, from itself on":    {newConfig(3), 3, true},
		"a direct successor":                 {follow(newConfig(2), newConfig(3)), 2, true},
		"two steps":                          {follow(follow(newConfig(1), newConfig(2)), newConfig(3)), 1, true},
		"a gap before":                       {follow(unseen(newConfig(1), newConfig(2)), newConfig(3)), 1, false},
		"from after the gap":                 {follow(unseen(newConfig(1), newConfig(2)), newConfig(3)), 2, true},
		"a delta without a gap":              {patched(newConfig(1), follow(newConfig(1), newConfig(2))), 1, true},
		"a delta over a gap":                 {patched(newConfig(1), unseen(newConfig(1), newConfig(2))), 1, false},
		"a delta of a process without lists": {patched(newConfig(1), newConfig(2)), 1, false},
		"more entries than are kept":         {follow(many, newConfig(11)), 10, false},
		"more than are kept, from then on":   {follow(many, newConfig(11)), 11, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			if got := test.cfg.HasFormerSince(test.since); got != test.wantFollow {
				t.Errorf("complete since %d: got %v, want %v", test.since, got, test.wantFollow)
			}
		})
	}
}

// BenchmarkRecordFormer measures what it costs to record the former service of one route of 15,000
// that moves, and reports the bytes that this adds to a delta and at most to a configuration.
func BenchmarkRecordFormer(b *testing.B) {
	previous := &config.Config{Revision: 1}
	for i := range 15000 {
		previous.Routes = append(previous.Routes, config.Route{
			Name: fmt.Sprintf("r%05d", i), Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 18, byte(i >> 8), byte(i)}), 443),
			Shares: []config.Share{{Service: "checklist-core", Weight: 1}},
		})
	}
	next := previous.Clone()
	next.Revision++
	next.Routes[7000].Shares = []config.Share{{Service: "report-files", Weight: 1}}
	for b.Loop() {
		next.RecordFormer(previous)
	}
	size := func(former []config.Former) float64 {
		data, err := cbor.Marshal(former)
		if err != nil {
			b.Fatal(err)
		}
		return float64(len(data))
	}
	b.ReportMetric(size(next.Former), "delta-B")
	b.ReportMetric(size(slices.Repeat(next.Former, 1024)), "config-B")
}
