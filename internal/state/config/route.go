package config

import (
	"net/netip"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
)

// Route distributes the forwarded flows to one address over services.
type Route struct {
	Name string `json:"name"`

	// Address is the destination of callers' packets; no two routes share one.
	Address netip.AddrPort `json:"address"`

	// Kind is the kind of the requests in the flows.
	Kind Kind `json:"kind"`

	// Priority orders requests under load: the lowest number goes first.
	Priority int `json:"priority"`

	// Timeout is the time that a caller waits for a response, Objective the target latency.
	Timeout   Milliseconds `json:"timeoutMs"`
	Objective Milliseconds `json:"objectiveMs"`

	// Shares are the services that receive new flows; at least one, with weights above 0.
	Shares []Share `json:"shares"`
}

// Share gives a service a share of a route's new flows in proportion to its weight.
type Share struct {
	Service string `json:"service"`
	Weight  int    `json:"weight"`
}

// Kind says whether requests may run twice, and whether they are downloads.
type Kind string

// The kinds of requests.
const (
	Idempotent    Kind = "idempotent"
	NonIdempotent Kind = "nonIdempotent"
	Download      Kind = "download"
)

// PickService returns the service for a new flow from the hash of its key. Equal
// hashes give the same service.
func (r *Route) PickService(hash uint64) string {
	total := 0
	for _, s := range r.Shares {
		total += s.Weight
	}
	if total <= 0 {
		return r.Shares[0].Service
	}

	position := int(hash % uint64(total))
	for _, s := range r.Shares {
		if position < s.Weight {
			return s.Service
		}
		position -= s.Weight
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

// ServiceHash returns the hash of a service's name that identifies the service in
// envelopes between processes.
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

// validateRoutes returns ErrInvalid with the first inconsistency found.
func (c *Config) validateRoutes() error {
	names := make(map[string]bool, len(c.Routes))
	addresses := make(map[netip.AddrPort]string, len(c.Routes))
	for i := range c.Routes {
		r := &c.Routes[i]
		other, taken := addresses[r.Address]
		switch {
		case names[r.Name]:
			return errors.WithMessagef(ErrInvalid, "duplicate route %q", r.Name)
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
