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

// generator makes connection IDs that lead every balancer back to this agent.
type generator struct {
	agent  *Agent
	self   netip.AddrPort
	domain string
	nonce  atomic.Uint32
}

func newGenerator(a *Agent) *generator {
	g := &generator{agent: a, self: a.settings.Address, domain: a.settings.Domain}
	g.nonce.Store(rand.Uint32())
	return g
}

// GenerateConnectionID returns a new connection ID.
func (g *generator) GenerateConnectionID() (quic.ConnectionID, error) {
	domain, known := g.agent.link.Config().Domain(g.domain)
	if !known {
		return quic.ConnectionID{}, errors.Errorf("failure domain %q is not configured", g.domain)
	}

	self := g.agent.link.Self()
	id := g.agent.ids.Seal(connid.Target{
		DomainNumber:  domain.Number,
		ServiceNumber: g.agent.serviceNumber(),
		Agent:         g.self,
		Incarnation:   shortIncarnation(self.Incarnation),
	}, g.nonce.Add(1))
	return quic.ConnectionIDFromBytes(id[:]), nil
}

// ConnectionIDLen returns the length of the IDs, in bytes.
func (g *generator) ConnectionIDLen() int {
	return connid.Length
}

func shortIncarnation(incarnation uint64) uint16 {
	var data [8]byte
	binary.BigEndian.PutUint64(data[:], incarnation*0x9e3779b97f4a7c15)
	return binary.BigEndian.Uint16(data[:])
}
