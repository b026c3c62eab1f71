// Package config defines the operators' configuration as plain values, with
// validation, changes and deltas. Other packages store and distribute it.
package config

import (
	"slices"
	"time"

	"github.com/pkg/errors"
)

// ErrInvalid reports an inconsistent configuration or a change that does not fit it.
var ErrInvalid = errors.New("invalid configuration")

// Config is one revision of the whole configuration.
type Config struct {
	// Revision increases with every accepted change; Apply adds 1. 0 means that there
	// is no configuration yet. If operators write to the store themselves, it is the
	// store's revision with the store's era; see package revno.
	Revision uint64 `json:"revision"`

	// Operators is the operators' own version of the configuration, which they increase
	// with every change but those of Domain.Out; 0 if they keep none.
	Operators uint64 `json:"operators,omitempty"`

	// Domains are the failure domains, sorted by name.
	Domains []Domain `json:"domains"`

	// Services are sorted by name.
	Services []Service `json:"services"`

	// DrainedUpstreams are the names of upstreams that take no new work, sorted.
	DrainedUpstreams []string `json:"drained,omitempty"`

	// Routes assign forwarded flows to services, sorted by name.
	Routes []Route `json:"routes,omitempty"`

	// IdleTimeout is the time after which the state of an idle forwarded flow may be removed.
	IdleTimeout Milliseconds `json:"idleTimeoutMs,omitempty"`

	// Former are services to which routes led before, sorted by Until. From the revision
	// FormerFrom on the list is complete; 0 if nothing is known of earlier configurations.
	Former     []Former `json:"former,omitempty"`
	FormerFrom uint64   `json:"formerFrom,omitempty"`
}

// Domain is a failure domain.
type Domain struct {
	Name string `json:"name"`

	// Number identifies the domain in connection IDs; unique, 1 to 255.
	Number uint8 `json:"number"`

	Region string `json:"region,omitempty"`

	// Out is true if operators have taken the domain out: it receives no packets.
	Out bool `json:"out,omitempty"`
}

// Service is a set of upstreams of one tenant behind one or more addresses.
type Service struct {
	Name   string `json:"name"`
	Tenant string `json:"tenant"`

	// Number identifies the service in connection IDs; unique, 1 to maxServiceNumber.
	Number uint32 `json:"number"`

	// Addresses are pairs of IP address and port; no two services share one.
	Addresses []string `json:"addresses"`

	Limits  Limits  `json:"limits"`
	Classes []Class `json:"classes"`
}

// Limits bound the work of each upstream of a service. An upstream is cold when it has
// just started, or when slow or failed responses suggest that it has.
type Limits struct {
	// Slots is the maximum number of requests that run at once; at least 1.
	Slots int `json:"slots"`

	// Connections is the maximum number of flows open at once; at least 1.
	Connections int `json:"connections"`

	// ColdSlots is the number of requests that run at once on a cold upstream; 1 to Slots.
	ColdSlots int `json:"coldSlots"`

	// WarmUp is the shortest time for which a cold upstream is limited to ColdSlots.
	WarmUp Milliseconds `json:"warmUpMs"`

	// Queue is the maximum number of requests that wait for a slot.
	Queue int `json:"queue"`

	// ColdPerSecond is the maximum number of new flows to a cold upstream in any
	// second; 0 is no limit.
	ColdPerSecond float64 `json:"coldPerSecond,omitempty"`
}

// Class is a set of requests with the same priority and timeout.
type Class struct {
	Name string `json:"name"`

	// Method is the HTTP method that the class covers; empty for any.
	Method string `json:"method,omitempty"`

	// PathPrefix is the prefix of the paths that the class covers.
	PathPrefix string `json:"pathPrefix"`

	// Priority orders the queue: the lowest number goes first.
	Priority int `json:"priority"`

	// Feed is true for long-lived requests, which take up a connection rather than a slot.
	Feed bool `json:"feed,omitempty"`

	// Timeout limits the time of a request from its arrival; for a feed, only until the
	// first byte of the response.
	Timeout Milliseconds `json:"timeoutMs"`
}

// Milliseconds is a duration in whole milliseconds.
type Milliseconds int64

// Duration returns m as a time.Duration.
func (m Milliseconds) Duration() time.Duration {
	return time.Duration(m) * time.Millisecond
}

// Domain returns the failure domain with the given name.
func (c *Config) Domain(name string) (Domain, bool) {
	i := slices.IndexFunc(c.Domains, func(d Domain) bool { return d.Name == name })
	if i < 0 {
		return Domain{}, false
	}
	return c.Domains[i], true
}

// Service returns the service with the given name.
func (c *Config) Service(name string) (Service, bool) {
	i := slices.IndexFunc(c.Services, func(s Service) bool { return s.Name == name })
	if i < 0 {
		return Service{}, false
	}
	return c.Services[i], true
}

// Clone returns a copy whose domains, services, drained upstreams and routes can
// be replaced, added and removed. The slices within services and routes are shared
// with c and must not be changed in place.
func (c *Config) Clone() *Config {
	return &Config{
		Revision:         c.Revision,
		Operators:        c.Operators,
		Domains:          slices.Clone(c.Domains),
		Services:         slices.Clone(c.Services),
		DrainedUpstreams: slices.Clone(c.DrainedUpstreams),

		Routes:      slices.Clone(c.Routes),
		IdleTimeout: c.IdleTimeout,

		Former:     slices.Clone(c.Former),
		FormerFrom: c.FormerFrom,
	}
}

// NewerThan reports whether c is newer than another configuration: by the operators'
// version if both have one, since the store may lose changes, and then by the revision.
func (c *Config) NewerThan(other *Config) bool {
	if c.Operators != other.Operators && c.Operators > 0 && other.Operators > 0 {
		return c.Operators > other.Operators
	}
	return c.Revision > other.Revision
}

// Classify returns the class of a request: the one with the longest matching path
// prefix. Of two with equal prefixes, the one that names the method wins.
func (s *Service) Classify(method, path string) (Class, bool) {
	best := -1
	for i := range s.Classes {
		if !s.Classes[i].covers(method, path) {
			continue
		}
		if best < 0 || s.Classes[i].moreSpecific(&s.Classes[best]) {
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

func (c *Class) moreSpecific(other *Class) bool {
	if len(c.PathPrefix) != len(other.PathPrefix) {
		return len(c.PathPrefix) > len(other.PathPrefix)
	}
	return c.Method != "" && other.Method == ""
}

// IsUpstreamDrained reports whether an upstream takes no new work.
func (c *Config) IsUpstreamDrained(upstream string) bool {
	return slices.Contains(c.DrainedUpstreams, upstream)
}
