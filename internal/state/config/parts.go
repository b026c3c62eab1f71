package config

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
)

const (
	servicePartCount = 64
	basePartName     = "base"
)

// Part is a piece of a configuration, stored under the hash of its content.
type Part struct {
	// Name is "base" or, for a group of services, "services/" with the number of the group.
	Name string

	// Hash is the hexadecimal SHA-256 of Data.
	Hash string

	Data []byte
}

// Split divides the configuration into parts: one with the failure domains and
// drained upstreams, the others with the services grouped by a hash of their names.
// A part that does not change keeps its hash from one revision to the next. Routes
// and IdleTimeout are in no part.
func (c *Config) Split() []Part {
	parts := []Part{newPart(basePartName, &Config{Domains: c.Domains, DrainedUpstreams: c.DrainedUpstreams})}

	var buckets [servicePartCount]Config
	for _, s := range c.Services {
		bucket := &buckets[xxhash.Sum64String(s.Name)%servicePartCount]
		bucket.Services = append(bucket.Services, s)
	}
	for i := range buckets {
		if len(buckets[i].Services) > 0 {
			parts = append(parts, newPart(fmt.Sprintf("services/%02d", i), &buckets[i]))
		}
	}
	return parts
}

// Join assembles a configuration from its parts. It returns ErrInvalid if a part does
// not match its hash or the result is inconsistent.
func Join(revision uint64, parts []Part) (*Config, error) {
	c := &Config{Revision: revision}
	for _, p := range parts {
		if ContentHash(p.Data) != p.Hash {
			return nil, errors.WithMessagef(ErrInvalid, "part %q does not match its hash", p.Name)
		}

		var piece Config
		if err := json.Unmarshal(p.Data, &piece); err != nil {
			return nil, errors.WithMessagef(ErrInvalid, "part %q: %v", p.Name, err)
		}
		c.Domains = append(c.Domains, piece.Domains...)
		c.DrainedUpstreams = append(c.DrainedUpstreams, piece.DrainedUpstreams...)
		c.Services = append(c.Services, piece.Services...)
	}

	c.sort()
	return c, c.Validate()
}

// ContentHash returns the hexadecimal SHA-256 of data.
func ContentHash(data []byte) string {
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}

func newPart(name string, piece *Config) Part {
	data, err := json.Marshal(piece)
	if err != nil {
		panic(err) // plain data always marshals
	}
	return Part{Name: name, Hash: ContentHash(data), Data: data}
}
