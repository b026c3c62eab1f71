package config

import (
	"slices"
	"strings"

	"github.com/pkg/errors"
)

// ErrRefused reports a change that would cause an outage and does not set Force.
var ErrRefused = errors.New("change refused")

// Verb is the kind of an Operation.
type Verb string

// Verbs of operations.
const (
	PutService    Verb = "putService"
	RemoveService Verb = "removeService"
	PutDomain     Verb = "putDomain"
	TakeOut       Verb = "takeOut"
	BringBack     Verb = "bringBack"
	Drain         Verb = "drain"
	Undrain       Verb = "undrain"
	SetLimit      Verb = "setLimit"
)

// Operation is one step of a change.
type Operation struct {
	Verb Verb `json:"verb"`

	// Name is that of the service, domain or upstream; unused by PutService and PutDomain.
	Name string `json:"name,omitempty"`

	// Service is set for PutService.
	Service *Service `json:"service,omitempty"`

	// Domain is set for PutDomain.
	Domain *Domain `json:"domain,omitempty"`

	// Limit is the JSON name of a field of Limits other than coldPerSecond, and Value
	// its new value, for SetLimit.
	Limit string `json:"limit,omitempty"`
	Value int64  `json:"value,omitempty"`
}

// Change is a set of operations that take effect together or not at all.
type Change struct {
	// ID is unique to the change, so that a change that is sent again takes effect only once.
	ID string `json:"id"`

	// BaseRevision is the revision that the change is based on; 0 allows any.
	BaseRevision uint64 `json:"base,omitempty"`

	// Force applies the change even if it would cause an outage.
	Force bool `json:"force,omitempty"`

	Operations []Operation `json:"operations"`
}

// Apply returns the next revision; c itself does not change. It returns
// ErrInvalid if an operation cannot be applied or the result is inconsistent, and
// ErrRefused if the change would cause an outage and does not set Force.
func (c *Config) Apply(change Change) (*Config, error) {
	if len(change.Operations) == 0 {
		return nil, errors.WithMessage(ErrInvalid, "change without operations")
	}

	next := c.Clone()
	for _, operation := range change.Operations {
		if err := next.apply(operation); err != nil {
			return nil, err
		}
	}

	next.sort()
	next.Revision++
	if err := next.Validate(); err != nil {
		return nil, err
	}
	if !change.Force {
		return next, next.checkOutage()
	}
	return next, nil
}

func (c *Config) apply(o Operation) error {
	switch o.Verb {
	case PutService:
		return c.putService(o.Service)
	case RemoveService:
		return c.removeService(o.Name)
	case PutDomain:
		return c.putDomain(o.Domain)
	case TakeOut:
		return c.setDomainOut(o.Name, true)
	case BringBack:
		return c.setDomainOut(o.Name, false)
	case Drain:
		return c.drain(o.Name)
	case Undrain:
		return c.undrain(o.Name)
	case SetLimit:
		return c.setLimit(o.Name, o.Limit, o.Value)
	}
	return errors.WithMessagef(ErrInvalid, "unknown verb %q", o.Verb)
}

func (c *Config) putService(s *Service) error {
	if s == nil {
		return errors.WithMessage(ErrInvalid, "putService without a service")
	}
	c.Services = slices.DeleteFunc(c.Services, func(other Service) bool { return other.Name == s.Name })
	c.Services = append(c.Services, *s)
	return nil
}

func (c *Config) removeService(name string) error {
	if _, ok := c.Service(name); !ok {
		return errors.WithMessagef(ErrInvalid, "service %q does not exist", name)
	}
	c.Services = slices.DeleteFunc(c.Services, func(s Service) bool { return s.Name == name })
	return nil
}

func (c *Config) putDomain(d *Domain) error {
	if d == nil {
		return errors.WithMessage(ErrInvalid, "putDomain without a failure domain")
	}
	c.Domains = slices.DeleteFunc(c.Domains, func(other Domain) bool { return other.Name == d.Name })
	c.Domains = append(c.Domains, *d)
	return nil
}

func (c *Config) setDomainOut(name string, out bool) error {
	i := slices.IndexFunc(c.Domains, func(d Domain) bool { return d.Name == name })
	if i < 0 {
		return errors.WithMessagef(ErrInvalid, "failure domain %q does not exist", name)
	}
	if c.Domains[i].Out == out {
		return errors.WithMessagef(ErrInvalid, "failure domain %q: out is %t already", name, out)
	}
	c.Domains[i].Out = out
	return nil
}

func (c *Config) drain(name string) error {
	if name == "" || slices.Contains(c.DrainedUpstreams, name) {
		return errors.WithMessagef(ErrInvalid, "upstream %q is drained already or has no name", name)
	}
	c.DrainedUpstreams = append(c.DrainedUpstreams, name)
	return nil
}

func (c *Config) undrain(name string) error {
	i := slices.Index(c.DrainedUpstreams, name)
	if i < 0 {
		return errors.WithMessagef(ErrInvalid, "upstream %q is not drained", name)
	}
	c.DrainedUpstreams = slices.Delete(c.DrainedUpstreams, i, i+1)
	return nil
}

func (c *Config) setLimit(name, limit string, value int64) error {
	i := slices.IndexFunc(c.Services, func(s Service) bool { return s.Name == name })
	if i < 0 {
		return errors.WithMessagef(ErrInvalid, "service %q does not exist", name)
	}

	limits := &c.Services[i].Limits
	switch limit {
	case "slots":
		limits.Slots = int(value)
	case "connections":
		limits.Connections = int(value)
	case "coldSlots":
		limits.ColdSlots = int(value)
	case "queue":
		limits.Queue = int(value)
	case "warmUpMs":
		limits.WarmUp = Milliseconds(value)
	default:
		return errors.WithMessagef(ErrInvalid, "service %q has no limit %q", name, limit)
	}
	return nil
}

func (c *Config) sort() {
	slices.SortFunc(c.Domains, func(a, b Domain) int { return strings.Compare(a.Name, b.Name) })
	slices.SortFunc(c.Services, func(a, b Service) int { return strings.Compare(a.Name, b.Name) })
	slices.SortFunc(c.Routes, func(a, b Route) int { return strings.Compare(a.Name, b.Name) })
	slices.Sort(c.DrainedUpstreams)
}

// checkOutage returns ErrRefused if every failure domain is out.
func (c *Config) checkOutage() error {
	if len(c.Domains) == 0 {
		return nil
	}
	if slices.ContainsFunc(c.Domains, func(d Domain) bool { return !d.Out }) {
		return nil
	}
	return errors.WithMessage(ErrRefused, "every failure domain would be out; use --force to apply the change anyway")
}
