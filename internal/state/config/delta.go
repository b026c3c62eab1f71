package config

import (
	"slices"

	"github.com/pkg/errors"
)

// ErrGap reports a delta that does not start at the configuration it is put on.
var ErrGap = errors.New("delta does not start at this revision")

// Delta leads from one revision to a later one.
type Delta struct {
	// From and To are revisions; From is less than To.
	From uint64 `json:"from"`
	To   uint64 `json:"to"`

	// Domains and Drained replace those before as a whole.
	Domains []Domain `json:"domains"`
	Drained []string `json:"drained,omitempty"`

	// Services are those that are new or differ.
	Services []Service `json:"services,omitempty"`

	// Removed are the names of the services that are gone.
	Removed []string `json:"removed,omitempty"`
}

// Diff returns the delta from one configuration to a later one.
func Diff(from, to *Config) Delta {
	d := Delta{From: from.Revision, To: to.Revision, Domains: to.Domains, Drained: to.Drained}

	before := make(map[string]*Service, len(from.Services))
	for i := range from.Services {
		before[from.Services[i].Name] = &from.Services[i]
	}
	for i := range to.Services {
		s := &to.Services[i]
		if old := before[s.Name]; old == nil || !old.equal(s) {
			d.Services = append(d.Services, *s)
		}
		delete(before, s.Name)
	}
	for name := range before {
		d.Removed = append(d.Removed, name)
	}
	slices.Sort(d.Removed)
	return d
}

// Patch returns the configuration that a delta leads to. It returns ErrGap if
// the delta starts at another revision, and ErrInvalid if the result contradicts itself.
func (c *Config) Patch(d Delta) (*Config, error) {
	if d.From != c.Revision || d.To <= d.From {
		return nil, errors.WithMessagef(ErrGap, "revision %d, delta from %d to %d", c.Revision, d.From, d.To)
	}

	gone := make(map[string]bool, len(d.Removed)+len(d.Services))
	for _, name := range d.Removed {
		gone[name] = true
	}
	for i := range d.Services {
		gone[d.Services[i].Name] = true
	}

	next := &Config{Revision: d.To, Domains: slices.Clone(d.Domains), Drained: slices.Clone(d.Drained)}
	next.Services = make([]Service, 0, len(c.Services)+len(d.Services))
	for i := range c.Services {
		if !gone[c.Services[i].Name] {
			next.Services = append(next.Services, c.Services[i])
		}
	}
	next.Services = append(next.Services, d.Services...)
	next.sort()
	return next, next.Validate()
}

// Then returns the delta that leads over both, the other one starting where d ends.
func (d Delta) Then(next Delta) Delta {
	joined := Delta{From: d.From, To: next.To, Domains: next.Domains, Drained: next.Drained}
	later := make(map[string]bool, len(next.Services)+len(next.Removed))
	for i := range next.Services {
		later[next.Services[i].Name] = true
	}
	for _, name := range next.Removed {
		later[name] = true
	}

	joined.Services = append(joined.Services, next.Services...)
	for i := range d.Services {
		if !later[d.Services[i].Name] {
			joined.Services = append(joined.Services, d.Services[i])
		}
	}
	joined.Removed = append(joined.Removed, next.Removed...)
	for _, name := range d.Removed {
		if !later[name] {
			joined.Removed = append(joined.Removed, name)
		}
	}
	slices.Sort(joined.Removed)
	return joined
}

func (s *Service) equal(other *Service) bool {
	return s.Name == other.Name && s.Tenant == other.Tenant && s.Number == other.Number && s.Limits == other.Limits &&
		slices.Equal(s.Addresses, other.Addresses) && slices.Equal(s.Classes, other.Classes)
}
