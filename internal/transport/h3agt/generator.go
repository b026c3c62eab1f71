package h3agt

import (
	"encoding/binary"
	"math/rand/v2"
	"net/netip"
	"sync/atomic"

	"github.com/pkg/errors"
	"github.com/quic-go/quic-go"

	"github.com/coriandershift/coriandershift/internal/state/connid"
)

// connIDGenerator makes connection IDs from which every balancer can tell that
// the flow belongs to this agent.
type connIDGenerator struct {
	agent   *Agent
	address netip.AddrPort // of the agent
	domain  string         // name of the agent's failure domain
	nonce   atomic.Uint32
}

func newConnIDGenerator(a *Agent) *connIDGenerator {
	g := &connIDGenerator{agent: a, address: a.settings.Address, domain: a.settings.Domain}
	g.nonce.Store(rand.Uint32())
	return g
}

// GenerateConnectionID returns a new connection ID. It returns an error if the
// configuration does not list the agent's failure domain.
func (g *connIDGenerator) GenerateConnectionID() (quic.ConnectionID, error) {
	domain, known := g.agent.control.Config().Domain(g.domain)
	if !known {
		return quic.ConnectionID{}, errors.Errorf("failure domain %q is not configured", g.domain)
	}

	self := g.agent.control.Self()
	id := g.agent.connectionIDs.Seal(connid.Target{
		DomainNumber:  domain.Number,
		ServiceNumber: g.agent.serviceNumber(),
		Agent:         g.address,
		Incarnation:   shortIncarnation(self.Incarnation),
	}, g.nonce.Add(1))
	return quic.ConnectionIDFromBytes(id[:]), nil
}

// ConnectionIDLen returns the length of the IDs, in bytes.
func (g *connIDGenerator) ConnectionIDLen() int {
	return connid.Length
}

// shortIncarnation returns a 16-bit hash of an incarnation (Fibonacci hashing:
// the top bits of the product with 2^64 divided by the golden ratio).
func shortIncarnation(incarnation uint64) uint16 {
	var data [8]byte
	binary.BigEndian.PutUint64(data[:], incarnation*0x9e3779b97f4a7c15)
	return binary.BigEndian.Uint16(data[:])
}
