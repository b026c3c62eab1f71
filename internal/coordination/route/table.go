// Package route decides where a balancer sends each datagram. It keeps no
// state of flows and does no I/O.
package route

import (
	"encoding/binary"
	"maps"
	"net/netip"
	"slices"
	"sync/atomic"

	"github.com/coriandershift/coriandershift/internal/state/config"
	"github.com/coriandershift/coriandershift/internal/state/roster"
)

// table is the routing table of one configuration with its agents. The maps are
// immutable; an update of an agent replaces the list of its service and the set of
// dead agents as a whole.
type table struct {
	services map[uint32]*service
	byName   map[string]*service

	// domainNumberOut and domainNameOut are the failure domains that operators have
	// taken out; drained are the names of drained upstreams.
	domainNumberOut [256]bool
	domainNameOut   map[string]bool
	drained         map[string]bool

	// dead are the agents whose flows are reset.
	dead atomic.Pointer[map[netip.AddrPort]bool]
}

type service struct {
	candidates atomic.Pointer[[]candidate]
}

type candidate struct {
	address netip.AddrPort
	seed    uint64
	weight  float64
}

func newTable(cfg *config.Config, members []roster.Member) *table {
	t := &table{
		services:      make(map[uint32]*service, len(cfg.Services)),
		byName:        make(map[string]*service, len(cfg.Services)),
		domainNameOut: map[string]bool{},
		drained:       map[string]bool{},
	}
	for _, d := range cfg.Domains {
		t.domainNumberOut[d.Number] = d.Out
		t.domainNameOut[d.Name] = d.Out
	}
	for _, name := range cfg.DrainedUpstreams {
		t.drained[name] = true
	}
	for i := range cfg.Services {
		s := &service{}
		t.services[cfg.Services[i].Number] = s
		t.byName[cfg.Services[i].Name] = s
	}

	t.setMembers(members)
	return t
}

// setMembers adds all members to a table that is not in use yet.
func (t *table) setMembers(members []roster.Member) {
	lists := make(map[*service][]candidate, len(t.services))
	dead := map[netip.AddrPort]bool{}
	for i := range members {
		m := &members[i]
		if m.Role != roster.Agent {
			continue
		}
		if m.State == roster.Dead {
			dead[m.Address] = true
		}
		if s := t.byName[m.Service]; s != nil && t.eligible(m) {
			lists[s] = append(lists[s], newCandidate(m))
		}
	}

	t.dead.Store(&dead)
	for _, s := range t.services {
		list := lists[s]
		s.candidates.Store(&list)
	}
}

// updateMember replaces the record of one agent.
func (t *table) updateMember(m *roster.Member) {
	if m.Role != roster.Agent {
		return
	}

	dead := *t.dead.Load()
	if dead[m.Address] != (m.State == roster.Dead) {
		dead = maps.Clone(dead)
		delete(dead, m.Address)
		if m.State == roster.Dead {
			dead[m.Address] = true
		}
		t.dead.Store(&dead)
	}

	if s := t.byName[m.Service]; s != nil {
		s.replace(m, t.eligible(m))
	}
}

func (t *table) eligible(m *roster.Member) bool {
	return m.State == roster.Alive && m.Weight > 0 && !t.domainNameOut[m.Domain] && !t.drained[m.Name]
}

func (s *service) replace(m *roster.Member, eligible bool) {
	list := slices.Clone(*s.candidates.Load())
	list = slices.DeleteFunc(list, func(c candidate) bool { return c.address == m.Address })
	if eligible {
		list = append(list, newCandidate(m))
	}
	s.candidates.Store(&list)
}

func newCandidate(m *roster.Member) candidate {
	return candidate{address: m.Address, seed: roster.HashAddress(m.Address), weight: float64(m.Weight)}
}

func keyWords(key []byte) (uint64, uint64) {
	return binary.LittleEndian.Uint64(key), binary.LittleEndian.Uint64(key[8:])
}
