// Package config holds the operators' configuration as plain values: what is
// agreed on, checked and compared, without how it is stored or spread.
package config

import (
	"slices"
	"time"

	"github.com/pkg/errors"
)

// ErrInvalid reports a configuration that contradicts itself.
var ErrInvalid = errors.New("invalid configuration")

// Config is one revision of the whole configuration.
type Config struct {
	// Revision grows by one with every accepted change; 0 is no configuration at all.
	Revision uint64 `json:"revision"`

	// Domains are the failure domains, sorted by name.
	Domains []Domain `json:"domains"`

	// Services are sorted by name.
	Services []Service `json:"services"`

	// DrainedUpstreams are the names of upstreams that take no new work, sorted.
	DrainedUpstreams []string `json:"drained,omitempty"`

	// Routes are those of forwarded flows, sorted by name.
	Routes []Route `json:"routes,omitempty"`

	// IdleTimeout is how long a forwarded flow may be idle before it may be forgotten.
	IdleTimeout Milliseconds `json:"idleTimeoutMs,omitempty"`
}

// Domain is a failure domain.
type Domain struct {
	Name string `json:"name"`

	// Number stands for the domain in connection IDs; unique, 1 to 255.
	Number uint8 `json:"number"`

	Region string `json:"region,omitempty"`

	// Out says that operators have taken the domain out: it receives no packets.
	Out bool `json:"out,omitempty"`
}

// Service is a set of upstreams of one tenant behind one or more addresses.
type Service struct {
	Name   string `json:"name"`
	Tenant string `json:"tenant"`

	// Number stands for the service in connection IDs; unique, at least 1.
	Number uint32 `json:"number"`

	// Addresses are IP address and port pairs, each of one service only.
	Addresses []string `json:"addresses"`

	Limits  Limits  `json:"limits"`
	Classes []Class `json:"classes"`
}

// Limits say how much work one upstream of a service may take.
type Limits struct {
	// Slots is the number of requests that run at once; at least 1.
	Slots int `json:"slots"`

	// Connections is the number of flows open at once; at least 1.
	Connections int `json:"connections"`

	// ColdSlots is how many of the slots a cold upstream bears; 1 to Slots.
	ColdSlots int `json:"coldSlots"`

	// WarmUp is how long an upstream that starts is held to ColdSlots, at the least.
	WarmUp Milliseconds `json:"warmUpMs"`

	// Queue is the number of requests that may wait for a slot.
	Queue int `json:"queue"`

	// ColdPerSecond is how many new flows a cold upstream bears in any second; 0 is no bound.
	ColdPerSecond float64 `json:"coldPerSecond,omitempty"`
}

// Class is a kind of request that is admitted alike.
type Class struct {
	Name string `json:"name"`

	// Method is the HTTP method that the class covers; empty for any.
	Method string `json:"method,omitempty"`

	// PathPrefix is the start of the paths that the class covers.
	PathPrefix string `json:"pathPrefix"`

	// Priority orders the queue: the lowest number goes first.
	Priority int `json:"priority"`

	// Feed says that requests last long and take a connection rather than a slot.
	Feed bool `json:"feed,omitempty"`

	// Timeout bounds a request from its arrival; for a feed, the time to its first byte.
	Timeout Milliseconds `json:"timeoutMs"`
}

// Milliseconds is a duration in whole milliseconds.
type Milliseconds int64

// Duration returns m as a time.Duration.
func (m Milliseconds) Duration() time.Duration {
	return time.Duration(m) * time.Millisecond
}

// Domain returns the failure domain of a name.
func (c *Config) Domain(name string) (Domain, bool) {
	i := slices.IndexFunc(c.Domains, func(d Domain) bool { return d.Name == name })
	if i < 0 {
		return Domain{}, false
	}
	return c.Domains[i], true
}

// Service returns the service of a name.
func (c *Config) Service(name string) (Service, bool) {
	i := slices.IndexFunc(c.Services, func(s Service) bool { return s.Name == name })
	if i < 0 {
		return Service{}, false
	}
	return c.Services[i], true
}

// Clone returns a copy whose domains, services, drained upstreams and routes can
// be replaced, added and removed. What lies within a service or route must not be
// changed in place, since both share it.
func (c *Config) Clone() *Config {
	return &Config{
		Revision:         c.Revision,
		Domains:          slices.Clone(c.Domains),
		Services:         slices.Clone(c.Services),
		DrainedUpstreams: slices.Clone(c.DrainedUpstreams),

		Routes:      slices.Clone(c.Routes),
		IdleTimeout: c.IdleTimeout,
	}
}

// Classify returns the class of a request: the one with the longest matching
// path prefix, a named method before any method.
func (s *Service) Classify(method, path string) (Class, bool) {
	best := -1
	for i := range s.Classes {
		if !s.Classes[i].covers(method, path) {
			continue
		}
		if best < 0 || s.Classes[i].narrower(&s.Classes[best]) {
			best = i
		}
	}

	if best < 0 {
		return Class{}, false
	}
	return s.Classes[best], true
}

func (c *Class) covers(method, path string) bool {
	if c.Method != "" && c.Method != method {
		return false
	}
	return len(path) >= len(c.PathPrefix) && path[:len(c.PathPrefix)] == c.PathPrefix
}

func (c *Class) narrower(other *Class) bool {
	if len(c.PathPrefix) != len(other.PathPrefix) {
		return len(c.PathPrefix) > len(other.PathPrefix)
	}
	return c.Method != "" && other.Method == ""
}

// IsUpstreamDrained reports whether an upstream takes no new work.
func (c *Config) IsUpstreamDrained(upstream string) bool {
	return slices.Contains(c.DrainedUpstreams, upstream)
}
