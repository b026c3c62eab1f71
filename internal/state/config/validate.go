package config

import (
	"net/netip"

	"github.com/pkg/errors"
)

const (
	maxServiceNumber = 1<<24 - 1 // the field in connection IDs has 24 bits
	maxAddresses     = 256       // for one service
)

// Validate returns ErrInvalid with the first inconsistency found. In a configuration
// with routes, it checks only the routes, since services of forwarded flows have
// neither numbers nor addresses.
func (c *Config) Validate() error {
	if len(c.Routes) > 0 {
		return c.validateRoutes()
	}
	if err := c.validateDomains(); err != nil {
		return err
	}
	return c.validateServices()
}

func (c *Config) validateDomains() error {
	names := map[string]bool{}
	numbers := map[uint8]string{}
	for _, d := range c.Domains {
		if d.Name == "" {
			return errors.WithMessage(ErrInvalid, "failure domain without a name")
		}
		if names[d.Name] {
			return errors.WithMessagef(ErrInvalid, "duplicate failure domain %q", d.Name)
		}
		if other, taken := numbers[d.Number]; taken || d.Number == 0 {
			return errors.WithMessagef(ErrInvalid, "failure domain %q: number %d is taken by %q or is 0", d.Name, d.Number, other)
		}
		names[d.Name] = true
		numbers[d.Number] = d.Name
	}
	return nil
}

func (c *Config) validateServices() error {
	names := map[string]bool{}
	numbers := map[uint32]string{}
	addresses := map[netip.AddrPort]string{}
	for i := range c.Services {
		s := &c.Services[i]
		if names[s.Name] {
			return errors.WithMessagef(ErrInvalid, "duplicate service %q", s.Name)
		}
		if other, taken := numbers[s.Number]; taken {
			return errors.WithMessagef(ErrInvalid, "service %q: number %d is taken by %q", s.Name, s.Number, other)
		}
		if err := s.validate(); err != nil {
			return err
		}
		for _, text := range s.Addresses {
			address := netip.MustParseAddrPort(text)
			if other, taken := addresses[address]; taken {
				return errors.WithMessagef(ErrInvalid, "service %q: address %s is taken by %q", s.Name, text, other)
			}
			addresses[address] = s.Name
		}
		names[s.Name] = true
		numbers[s.Number] = s.Name
	}
	return nil
}

func (s *Service) validate() error {
	if s.Name == "" || s.Tenant == "" {
		return errors.WithMessagef(ErrInvalid, "service %q of tenant %q: both need a name", s.Name, s.Tenant)
	}
	if s.Number == 0 || s.Number > maxServiceNumber {
		return errors.WithMessagef(ErrInvalid, "service %q: number %d is not in 1 to %d", s.Name, s.Number, maxServiceNumber)
	}
	if len(s.Addresses) == 0 || len(s.Addresses) > maxAddresses {
		return errors.WithMessagef(ErrInvalid, "service %q: %d addresses, want 1 to %d", s.Name, len(s.Addresses), maxAddresses)
	}
	for _, text := range s.Addresses {
		if _, err := netip.ParseAddrPort(text); err != nil {
			return errors.WithMessagef(ErrInvalid, "service %q: address %q is not an IP address and port", s.Name, text)
		}
	}
	if err := s.Limits.validate(); err != nil {
		return errors.WithMessagef(err, "service %q", s.Name)
	}
	return s.validateClasses()
}

func (s *Service) validateClasses() error {
	if len(s.Classes) == 0 {
		return errors.WithMessagef(ErrInvalid, "service %q has no class", s.Name)
	}
	names := map[string]bool{}
	for _, class := range s.Classes {
		if class.Name == "" || names[class.Name] {
			return errors.WithMessagef(ErrInvalid, "service %q: class %q has no name or is a duplicate", s.Name, class.Name)
		}
		if class.Timeout <= 0 {
			return errors.WithMessagef(ErrInvalid, "service %q: class %q: timeoutMs must be over 0", s.Name, class.Name)
		}
		names[class.Name] = true
	}
	return nil
}

func (l *Limits) validate() error {
	if l.Slots < 1 || l.Connections < 1 {
		return errors.WithMessagef(ErrInvalid, "limits: slots %d and connections %d must be at least 1", l.Slots, l.Connections)
	}
	if l.ColdSlots < 1 || l.ColdSlots > l.Slots {
		return errors.WithMessagef(ErrInvalid, "limits: coldSlots %d is not in 1 to slots %d", l.ColdSlots, l.Slots)
	}
	if l.Queue < 0 || l.WarmUp < 0 {
		return errors.WithMessagef(ErrInvalid, "limits: queue %d and warmUpMs %d must not be negative", l.Queue, l.WarmUp)
	}
	return nil
}
