package config

import (
	"maps"
	"slices"

	"github.com/pkg/errors"
)

// ErrRevisionGap reports a delta that does not start at the configuration it is put on.
var ErrRevisionGap = errors.New("delta does not start at this revision")

// Delta leads from one revision to a later one.
type Delta struct {
	// From and To are revisions; From is less than To.
	From uint64 `json:"from"`
	To   uint64 `json:"to"`

	// Domains and DrainedUpstreams replace those before as a whole.
	Domains          []Domain `json:"domains"`
	DrainedUpstreams []string `json:"drained,omitempty"`

	// Services are those that are new or differ.
	Services []Service `json:"services,omitempty"`

	// RemovedServices are the names of the services that are gone.
	RemovedServices []string `json:"removed,omitempty"`

	// Routes are those that are new or differ, RemovedRoutes the names of those
	// that are gone.
	Routes        []Route  `json:"routes,omitempty"`
	RemovedRoutes []string `json:"removedRoutes,omitempty"`

	// IdleTimeout replaces the one before.
	IdleTimeout Milliseconds `json:"idleTimeoutMs,omitempty"`
}

// Diff returns the delta from one configuration to a later one.
func Diff(from, to *Config) Delta {
	d := Delta{From: from.Revision, To: to.Revision, Domains: to.Domains, DrainedUpstreams: to.DrainedUpstreams, IdleTimeout: to.IdleTimeout}
	d.Services, d.RemovedServices = differing(from.Services, to.Services, serviceName, (*Service).equal)
	d.Routes, d.RemovedRoutes = differing(from.Routes, to.Routes, routeName, (*Route).equal)
	return d
}

// Patch returns the configuration that a delta leads to. It returns ErrRevisionGap if
// the delta starts at another revision, and ErrInvalid if the result contradicts itself.
func (c *Config) Patch(d Delta) (*Config, error) {
	if d.From != c.Revision || d.To <= d.From {
		return nil, errors.WithMessagef(ErrRevisionGap, "revision %d, delta from %d to %d", c.Revision, d.From, d.To)
	}
	next := &Config{
		Revision: d.To, Domains: slices.Clone(d.Domains), DrainedUpstreams: slices.Clone(d.DrainedUpstreams), IdleTimeout: d.IdleTimeout,
		Services: replaced(c.Services, d.Services, d.RemovedServices, serviceName),
		Routes:   replaced(c.Routes, d.Routes, d.RemovedRoutes, routeName),
	}
	next.sort()
	return next, next.Validate()
}

// Then returns the delta that leads over both, the other one starting where d ends.
func (d Delta) Then(next Delta) Delta {
	joined := Delta{From: d.From, To: next.To, Domains: next.Domains, DrainedUpstreams: next.DrainedUpstreams, IdleTimeout: next.IdleTimeout}
	joined.Services, joined.RemovedServices = joinedChanges(d.Services, next.Services, d.RemovedServices, next.RemovedServices, serviceName)
	joined.Routes, joined.RemovedRoutes = joinedChanges(d.Routes, next.Routes, d.RemovedRoutes, next.RemovedRoutes, routeName)
	return joined
}

func serviceName(s *Service) string { return s.Name }

func routeName(r *Route) string { return r.Name }

// differing returns the items of to that are new or differ, and the names of those that are gone.
func differing[T any](from, to []T, name func(*T) string, equal func(*T, *T) bool) ([]T, []string) {
	before := make(map[string]*T, len(from))
	for i := range from {
		before[name(&from[i])] = &from[i]
	}

	var changed []T
	for i := range to {
		if old := before[name(&to[i])]; old == nil || !equal(old, &to[i]) {
			changed = append(changed, to[i])
		}
		delete(before, name(&to[i]))
	}
	return changed, slices.Sorted(maps.Keys(before))
}

// replaced returns the items with the changed ones in the place of those before
// and without the removed ones.
func replaced[T any](items, changed []T, removed []string, name func(*T) string) []T {
	gone := make(map[string]bool, len(removed)+len(changed))
	for _, n := range removed {
		gone[n] = true
	}
	for i := range changed {
		gone[name(&changed[i])] = true
	}

	next := make([]T, 0, len(items)+len(changed))
	for i := range items {
		if !gone[name(&items[i])] {
			next = append(next, items[i])
		}
	}
	return append(next, changed...)
}

// joinedChanges returns what two changes in a row come to.
func joinedChanges[T any](first, second []T, goneFirst, goneSecond []string, name func(*T) string) ([]T, []string) {
	later := make(map[string]bool, len(second)+len(goneSecond))
	for i := range second {
		later[name(&second[i])] = true
	}
	for _, n := range goneSecond {
		later[n] = true
	}

	changed := slices.Clone(second)
	for i := range first {
		if !later[name(&first[i])] {
			changed = append(changed, first[i])
		}
	}
	gone := slices.Clone(goneSecond)
	for _, n := range goneFirst {
		if !later[n] {
			gone = append(gone, n)
		}
	}
	slices.Sort(gone)
	return changed, gone
}

func (s *Service) equal(other *Service) bool {
	return s.Name == other.Name && s.Tenant == other.Tenant && s.Number == other.Number && s.Limits == other.Limits &&
		slices.Equal(s.Addresses, other.Addresses) && slices.Equal(s.Classes, other.Classes)
}
