package config_test

import (
	"errors"
	"fmt"
	"net/netip"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"pgregory.net/rapid"

	"github.com/coriandershift/coriandershift/internal/state/config"
)

func drawOperation(t *rapid.T) config.Operation {
	i := rapid.IntRange(1, 6).Draw(t, "which")
	name := fmt.Sprint("s", i)
	switch rapid.IntRange(0, 4).Draw(t, "operation") {
	case 0:
		return config.Operation{Verb: config.RemoveService, Name: name}
	case 1:
		return config.Operation{Verb: config.SetLimit, Name: name, Limit: "queue", Value: int64(rapid.IntRange(0, 99).Draw(t, "queue"))}
	case 2:
		return config.Operation{Verb: config.Drain, Name: fmt.Sprint("u", i)}
	case 3:
		return config.Operation{Verb: config.PutDomain, Domain: &config.Domain{Name: fmt.Sprint("d", i), Number: uint8(i)}}
	}
	return config.Operation{Verb: config.PutService, Service: &config.Service{
		Name: name, Tenant: "t", Number: uint32(i), Addresses: []string{fmt.Sprintf("192.0.2.%d:443", i)},
		Limits:  config.Limits{Slots: rapid.IntRange(1, 9).Draw(t, "slots"), ColdSlots: 1, Connections: 1},
		Classes: []config.Class{{Name: "c", PathPrefix: "/", Timeout: 1}},
	}}
}

// TestDeltasLeadToTheSameConfiguration applies the deltas of random changes, single and combined.
func TestDeltasLeadToTheSameConfiguration(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var history config.History
		configs := []*config.Config{{}}
		for range rapid.IntRange(1, 30).Draw(t, "changes") {
			last := configs[len(configs)-1]
			next, err := last.Apply(config.Change{Force: true, Operations: []config.Operation{drawOperation(t)}})
			if err != nil {
				continue
			}
			history.Add(config.Diff(last, next))
			configs = append(configs, next)
		}

		last := configs[len(configs)-1]
		start := configs[rapid.IntRange(0, len(configs)-1).Draw(t, "start")]
		delta, ok := history.Since(start.Revision)
		if ok == (start == last) {
			t.Fatalf("delta from revision %d to %d known: %t", start.Revision, last.Revision, ok)
		}
		if !ok {
			return
		}
		got, err := start.Patch(delta)
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(last, got, cmpopts.EquateEmpty()); diff != "" {
			t.Fatal(diff)
		}
	})
}

func TestPatchRefusesAGap(t *testing.T) {
	cfg := &config.Config{Revision: 5}
	tests := map[string]config.Delta{
		"later start":       {From: 6, To: 7},
		"old delta":         {From: 3, To: 4},
		"no later revision": {From: 5, To: 5},
	}
	for name, delta := range tests {
		t.Run(name, func(t *testing.T) {
			if _, err := cfg.Patch(delta); !errors.Is(err, config.ErrRevisionGap) {
				t.Errorf("got %v, want ErrRevisionGap", err)
			}
		})
	}
}

// BenchmarkPatch measures what a change of one service costs each process.
func BenchmarkPatch(b *testing.B) {
	for _, services := range []int{2, 15000} {
		b.Run(fmt.Sprintf("services=%d", services), func(b *testing.B) {
			cfg := &config.Config{Revision: 1}
			for i := range services {
				cfg.Services = append(cfg.Services, config.Service{
					Name: fmt.Sprintf("s%05d", i), Tenant: "t", Number: uint32(i + 1),
					Addresses: []string{fmt.Sprintf("10.%d.%d.1:443", i/256, i%256)},
					Limits:    config.Limits{Slots: 5, ColdSlots: 1, Connections: 1},
					Classes:   []config.Class{{Name: "c", PathPrefix: "/", Timeout: 1}},
				})
			}
			next, err := cfg.Apply(config.Change{Operations: []config.Operation{
				{Verb: config.SetLimit, Name: "s00001", Limit: "queue", Value: 9},
			}})
			if err != nil {
				b.Fatal(err)
			}
			for b.Loop() {
				if _, err := cfg.Patch(config.Diff(cfg, next)); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

func forwardConfig(revision uint64, change func(*config.Config)) *config.Config {
	route := func(name, address, service string) config.Route {
		return config.Route{
			Name: name, Address: netip.MustParseAddrPort(address), Kind: config.Idempotent,
			Shares: []config.Share{{Service: service, Weight: 1}},
		}
	}
	c := &config.Config{
		Revision: revision, IdleTimeout: 15000,
		Services: []config.Service{{Name: "a"}, {Name: "b"}},
		Routes:   []config.Route{route("r1", "198.18.0.1:443", "a"), route("r2", "198.18.0.2:443", "b")},
	}
	if change != nil {
		change(c)
	}
	return c
}

func TestDeltasOfRoutes(t *testing.T) {
	tests := map[string]struct {
		change func(*config.Config)
		routes int // in the delta
	}{
		"nothing": {nil, 0},
		"a route is added": {func(c *config.Config) {
			c.Routes = append(c.Routes, config.Route{
				Name: "r3", Address: netip.MustParseAddrPort("198.18.0.3:443"), Shares: []config.Share{{Service: "a", Weight: 1}},
			})
		}, 1},
		"a route is removed":       {func(c *config.Config) { c.Routes = c.Routes[:1] }, 0},
		"a route changes service":  {func(c *config.Config) { c.Routes[0].Shares = []config.Share{{Service: "b", Weight: 1}} }, 1},
		"a timeout changes":        {func(c *config.Config) { c.Routes[1].Timeout = 99 }, 1},
		"the idle timeout changes": {func(c *config.Config) { c.IdleTimeout = 1 }, 0},
		"a domain is out":          {func(c *config.Config) { c.Domains = []config.Domain{{Name: "d", Number: 1, Out: true}} }, 0},
		"a cold limit changes":     {func(c *config.Config) { c.Services[0].Limits.ColdPerSecond = 3 }, 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			first, second, third := forwardConfig(3, nil), forwardConfig(7, test.change), forwardConfig(9, test.change)
			third.Routes[0].Priority = 5
			delta := config.Diff(first, second)
			if len(delta.Routes) != test.routes {
				t.Errorf("the delta contains %d routes, want %d", len(delta.Routes), test.routes)
			}
			got, err := first.Patch(delta)
			if err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff(second, got, cmpopts.EquateEmpty(), cmpopts.EquateComparable(netip.AddrPort{})); diff != "" {
				t.Error(diff)
			}

			got, err = first.Patch(delta.Then(config.Diff(second, third)))
			if err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff(third, got, cmpopts.EquateEmpty(), cmpopts.EquateComparable(netip.AddrPort{})); diff != "" {
				t.Error(diff)
			}
		})
	}
}

func TestValidateRefusesInvalidRoutes(t *testing.T) {
	tests := map[string]func(*config.Config){
		"duplicate name":    func(c *config.Config) { c.Routes[1].Name = "r1" },
		"duplicate address": func(c *config.Config) { c.Routes[1].Address = c.Routes[0].Address },
		"without a service": func(c *config.Config) { c.Routes[1].Shares = nil },
		"without address":   func(c *config.Config) { c.Routes[1].Address = netip.AddrPort{} },
	}
	for name, change := range tests {
		t.Run(name, func(t *testing.T) {
			if err := forwardConfig(1, change).Validate(); !errors.Is(err, config.ErrInvalid) {
				t.Errorf("got %v", err)
			}
		})
	}
}

// BenchmarkRouteDelta computes and applies the delta for a change of one route of 15,000.
func BenchmarkRouteDelta(b *testing.B) {
	from := forwardConfig(1, func(c *config.Config) {
		c.Routes = nil
		for i := range 15000 {
			c.Routes = append(c.Routes, config.Route{
				Name:    fmt.Sprintf("r%05d", i),
				Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 18, byte(i >> 8), byte(i)}), 443),
				Shares:  []config.Share{{Service: "a", Weight: 1}},
			})
		}
	})
	to := from.Clone()
	to.Revision++
	to.Routes[7000].Priority = 3
	var changes int
	for b.Loop() {
		delta := config.Diff(from, to)
		if _, err := from.Patch(delta); err != nil {
			b.Fatal(err)
		}
		changes = len(delta.Routes)
	}
	b.ReportMetric(float64(changes), "routes/change")
}
