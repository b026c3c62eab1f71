package config

import (
	"net/netip"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
)

// Route sends the forwarded flows of one address to services.
type Route struct {
	Name string `json:"name"`

	// Address is where callers send; one route has it.
	Address netip.AddrPort `json:"address"`

	// Kind tells what the requests inside may bear.
	Kind Kind `json:"kind"`

	// Priority orders requests under load: the lowest number goes first.
	Priority int `json:"priority"`

	// Timeout is how long a caller waits; Objective is the latency it hopes for.
	Timeout   Milliseconds `json:"timeoutMs"`
	Objective Milliseconds `json:"objectiveMs"`

	// Shares are the services that take new flows; never empty, weights above 0.
	Shares []Share `json:"shares"`
}

// Share is one service's part of a route's new flows.
type Share struct {
	Service string `json:"service"`
	Weight  int    `json:"weight"`
}

// Kind tells whether requests may run twice, and how they flow.
type Kind string

// The kinds of requests.
const (
	Idempotent    Kind = "idempotent"
	NonIdempotent Kind = "nonIdempotent"
	Download      Kind = "download"
)

// PickService returns the service for a new flow, the same for equal hashes.
func (r *Route) PickService(hash uint64) string {
	total := 0
	for _, s := range r.Shares {
		total += s.Weight
	}
	if total <= 0 {
		return r.Shares[0].Service
	}

	at := int(hash % uint64(total))
	for _, s := range r.Shares {
		if at < s.Weight {
			return s.Service
		}
		at -= s.Weight
	}
	return r.Shares[len(r.Shares)-1].Service
}

// Serves reports whether the route sends flows to a service.
func (r *Route) Serves(service string) bool {
	for _, s := range r.Shares {
		if s.Service == service {
			return true
		}
	}
	return false
}

// ServiceHash stands for a service's name in envelopes between processes.
func ServiceHash(name string) uint32 {
	return uint32(xxhash.Sum64String(name))
}

// IsDomainOut reports whether operators have taken a failure domain out.
func (c *Config) IsDomainOut(domain string) bool {
	d, known := c.Domain(domain)
	return known && d.Out
}

func (r *Route) equal(other *Route) bool {
	return r.Name == other.Name && r.Address == other.Address && r.Kind == other.Kind && r.Priority == other.Priority &&
		r.Timeout == other.Timeout && r.Objective == other.Objective && slices.Equal(r.Shares, other.Shares)
}

// validateRoutes returns ErrInvalid with the first contradiction found.
func (c *Config) validateRoutes() error {
	names := make(map[string]bool, len(c.Routes))
	addresses := make(map[netip.AddrPort]string, len(c.Routes))
	for i := range c.Routes {
		r := &c.Routes[i]
		other, taken := addresses[r.Address]
		switch {
		case names[r.Name]:
			return errors.WithMessagef(ErrInvalid, "route %q stands twice", r.Name)
		case taken:
			return errors.WithMessagef(ErrInvalid, "route %q: address %s is taken by %q", r.Name, r.Address, other)
		case !r.Address.IsValid() || len(r.Shares) == 0:
			return errors.WithMessagef(ErrInvalid, "route %q has no address or no service", r.Name)
		}
		names[r.Name] = true
		addresses[r.Address] = r.Name
	}
	return nil
}
