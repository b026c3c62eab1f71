package config

import (
	"maps"
	"slices"

	"github.com/pkg/errors"
)

// ErrRevisionGap reports a delta that does not start at the revision it is applied to.
var ErrRevisionGap = errors.New("delta does not start at this revision")

// Delta is the difference between one revision and a later one.
type Delta struct {
	// From and To are revisions; From is less than To.
	From uint64 `json:"from"`
	To   uint64 `json:"to"`

	// Operators replaces the previous version.
	Operators uint64 `json:"operators,omitempty"`

	// Domains and DrainedUpstreams replace the previous lists.
	Domains          []Domain `json:"domains"`
	DrainedUpstreams []string `json:"drained,omitempty"`

	// Services are those that are new or changed.
	Services []Service `json:"services,omitempty"`

	// RemovedServices are the names of removed services.
	RemovedServices []string `json:"removed,omitempty"`

	// Routes are those that are new or changed, RemovedRoutes the names of removed routes.
	Routes        []Route  `json:"routes,omitempty"`
	RemovedRoutes []string `json:"removedRoutes,omitempty"`

	// IdleTimeout replaces the previous one.
	IdleTimeout Milliseconds `json:"idleTimeoutMs,omitempty"`

	// Former are the services to which routes led in between and do not lead in To. The list
	// is complete from the revision FormerFrom on, which may be before From; 0 if none is.
	Former     []Former `json:"former,omitempty"`
	FormerFrom uint64   `json:"formerFrom,omitempty"`
}

// Diff returns the delta from one configuration to a later one. It shares memory with to.
func Diff(from, to *Config) Delta {
	d := Delta{From: from.Revision, To: to.Revision, Operators: to.Operators, Domains: to.Domains, DrainedUpstreams: to.DrainedUpstreams, IdleTimeout: to.IdleTimeout}
	d.Services, d.RemovedServices = diffItems(from.Services, to.Services, serviceName, (*Service).equal)
	d.Routes, d.RemovedRoutes = diffItems(from.Routes, to.Routes, routeName, (*Route).equal)
	d.Former, d.FormerFrom = to.FormerSince(from.Revision), to.FormerFrom
	return d
}

// Patch applies a delta and returns the result; c itself does not change. It returns
// ErrRevisionGap if the delta starts at another revision or does not lead to a later
// one, and ErrInvalid if the result is inconsistent.
func (c *Config) Patch(d Delta) (*Config, error) {
	if d.From != c.Revision || d.To <= d.From {
		return nil, errors.WithMessagef(ErrRevisionGap, "revision %d, delta from %d to %d", c.Revision, d.From, d.To)
	}
	next := &Config{
		Revision: d.To, Operators: d.Operators, Domains: slices.Clone(d.Domains), DrainedUpstreams: slices.Clone(d.DrainedUpstreams), IdleTimeout: d.IdleTimeout,
		Services: patchItems(c.Services, d.Services, d.RemovedServices, serviceName),
		Routes:   patchItems(c.Routes, d.Routes, d.RemovedRoutes, routeName),
	}
	next.FormerFrom = d.FormerFrom
	if d.isComplete() {
		next.FormerFrom = c.formerFrom()
	}
	next.addFormer(c.Former, d.Former)
	next.sort()
	return next, next.Validate()
}

// Then combines d with the delta that starts at the revision where d ends.
func (d Delta) Then(next Delta) Delta {
	joined := Delta{From: d.From, To: next.To, Operators: next.Operators, Domains: next.Domains, DrainedUpstreams: next.DrainedUpstreams, IdleTimeout: next.IdleTimeout}
	joined.Services, joined.RemovedServices = joinChanges(d.Services, next.Services, d.RemovedServices, next.RemovedServices, serviceName)
	joined.Routes, joined.RemovedRoutes = joinChanges(d.Routes, next.Routes, d.RemovedRoutes, next.RemovedRoutes, routeName)
	joined.Former, joined.FormerFrom = slices.Concat(d.Former, next.Former), next.FormerFrom
	if next.isComplete() {
		joined.FormerFrom = d.FormerFrom
	}
	return joined
}

// isComplete reports whether Former is complete.
func (d *Delta) isComplete() bool {
	return d.FormerFrom > 0 && d.FormerFrom <= d.From
}

func serviceName(s *Service) string { return s.Name }

func routeName(r *Route) string { return r.Name }

// diffItems returns the items of to that are new or changed, and the sorted names of
// the items of from that were removed.
func diffItems[T any](from, to []T, name func(*T) string, equal func(*T, *T) bool) ([]T, []string) {
	previous := make(map[string]*T, len(from))
	for i := range from {
		previous[name(&from[i])] = &from[i]
	}

	var changed []T
	for i := range to {
		if old := previous[name(&to[i])]; old == nil || !equal(old, &to[i]) {
			changed = append(changed, to[i])
		}
		delete(previous, name(&to[i]))
	}
	return changed, slices.Sorted(maps.Keys(previous))
}

// patchItems returns the items with the removed ones left out and the changed ones
// replaced, the latter at the end.
func patchItems[T any](items, changed []T, removed []string, name func(*T) string) []T {
	dropped := make(map[string]bool, len(removed)+len(changed))
	for _, n := range removed {
		dropped[n] = true
	}
	for i := range changed {
		dropped[name(&changed[i])] = true
	}

	next := make([]T, 0, len(items)+len(changed))
	for i := range items {
		if !dropped[name(&items[i])] {
			next = append(next, items[i])
		}
	}
	return append(next, changed...)
}

// joinChanges combines two consecutive deltas: it returns the changed items and the
// sorted names of the removed ones.
func joinChanges[T any](first, second []T, removedFirst, removedSecond []string, name func(*T) string) ([]T, []string) {
	inSecond := make(map[string]bool, len(second)+len(removedSecond))
	for i := range second {
		inSecond[name(&second[i])] = true
	}
	for _, n := range removedSecond {
		inSecond[n] = true
	}

	changed := slices.Clone(second)
	for i := range first {
		if !inSecond[name(&first[i])] {
			changed = append(changed, first[i])
		}
	}
	removed := slices.Clone(removedSecond)
	for _, n := range removedFirst {
		if !inSecond[n] {
			removed = append(removed, n)
		}
	}
	slices.Sort(removed)
	return changed, removed
}

func (s *Service) equal(other *Service) bool {
	return s.Name == other.Name && s.Tenant == other.Tenant && s.Number == other.Number && s.Limits == other.Limits &&
		slices.Equal(s.Addresses, other.Addresses) && slices.Equal(s.Classes, other.Classes)
}
