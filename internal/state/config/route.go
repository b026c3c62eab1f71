package config

import (
	"net/netip"

	"github.com/cespare/xxhash/v2"
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

// Pick returns the service for a new flow, the same for equal hashes.
func (r *Route) Pick(hash uint64) string {
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

// IsOut reports whether operators have taken a failure domain out.
func (c *Config) IsOut(domain string) bool {
	d, known := c.Domain(domain)
	return known && d.Out
}
