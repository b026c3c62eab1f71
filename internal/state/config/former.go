package config

import (
	"net/netip"
	"slices"
	"time"
)

const (
	// ChangeBound is the time within which a change is in force at every process that is not
	// cut off, at the largest size.
	ChangeBound = 7 * time.Second

	// maxFormer is the number of Former that a configuration keeps, of about 50 bytes each.
	maxFormer = 1024
)

// Former names services to which an address led in earlier configurations. Flows that were
// opened then may still be open there.
type Former struct {
	Address netip.AddrPort `json:"address"`

	// Services are those to which new flows no longer go; all of the route if it was dropped.
	Services []string `json:"services"`

	// Until is the revision of the configuration from which no new flows go there.
	Until uint64 `json:"until"`
}

// RecordFormer sets Former of a configuration that directly follows another one.
func (c *Config) RecordFormer(previous *Config) {
	c.FormerFrom = previous.formerFrom()
	c.addFormer(previous.Former, previous.FormerIn(c))
}

// RecordFormerAcrossGap is like RecordFormer if other configurations may have been in force
// between the two, which are unknown here.
func (c *Config) RecordFormerAcrossGap(previous *Config) {
	c.FormerFrom = c.Revision
	c.addFormer(previous.Former, previous.FormerIn(c))
}

// HasFormerSince reports whether Former names all services to which routes led at any time
// since a revision and do not lead now.
func (c *Config) HasFormerSince(revision uint64) bool {
	return c.formerFrom() <= revision
}

// formerFrom is FormerFrom, or the own revision if nothing is known of earlier ones.
func (c *Config) formerFrom() uint64 {
	if c.FormerFrom == 0 {
		return c.Revision
	}
	return c.FormerFrom
}

// addFormer sets Former to the latest maxFormer of two lists.
func (c *Config) addFormer(earlier, later []Former) {
	c.Former = slices.Concat(earlier, later)
	extra := len(c.Former) - maxFormer
	if extra <= 0 {
		return
	}
	if c.FormerFrom > 0 {
		c.FormerFrom = max(c.FormerFrom, c.Former[extra-1].Until)
	}
	c.Former = slices.Clone(c.Former[extra:])
}

// FormerIn returns the services to which the routes of c lead and those of next do not.
func (c *Config) FormerIn(next *Config) []Former {
	routes := make(map[netip.AddrPort]*Route, len(next.Routes))
	for i := range next.Routes {
		routes[next.Routes[i].Address] = &next.Routes[i]
	}
	var list []Former
	for i := range c.Routes {
		r := &c.Routes[i]
		to := routes[r.Address]
		var services []string
		for _, s := range r.Shares {
			if to == nil || !to.Serves(s.Service) {
				services = append(services, s.Service)
			}
		}
		if len(services) > 0 {
			list = append(list, Former{Address: r.Address, Services: services, Until: next.Revision})
		}
	}
	return list
}

// FormerSince returns the entries of Former that are later than a revision.
func (c *Config) FormerSince(revision uint64) []Former {
	i := slices.IndexFunc(c.Former, func(f Former) bool { return f.Until > revision })
	if i < 0 {
		return nil
	}
	return c.Former[i:]
}
