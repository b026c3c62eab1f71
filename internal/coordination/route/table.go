// Package route decides where a balancer sends each datagram. It keeps no
// state of flows and does no I/O.
package route

import (
	"encoding/binary"
	"net/netip"

	"github.com/coriandershift/coriandershift/internal/state/config"
	"github.com/coriandershift/coriandershift/internal/state/roster"
)

// table is one immutable view of the services and agents.
type table struct {
	services map[uint32]*service
	agents   map[netip.AddrPort]agentState
	out      [256]bool
}

type service struct {
	candidates []candidate
}

type candidate struct {
	address netip.AddrPort
	seed    uint64
	weight  float64
}

type agentState struct {
	dead bool
}

func newTable(cfg *config.Config, members []roster.Member) *table {
	t := &table{
		services: make(map[uint32]*service, len(cfg.Services)),
		agents:   make(map[netip.AddrPort]agentState, len(members)),
	}

	outNames := map[string]bool{}
	for _, d := range cfg.Domains {
		t.out[d.Number] = d.Out
		outNames[d.Name] = d.Out
	}

	byName := make(map[string]*service, len(cfg.Services))
	for i := range cfg.Services {
		s := &service{}
		t.services[cfg.Services[i].Number] = s
		byName[cfg.Services[i].Name] = s
	}

	drained := map[string]bool{}
	for _, name := range cfg.Drained {
		drained[name] = true
	}

	for i := range members {
		m := &members[i]
		if m.Role != roster.Agent {
			continue
		}
		t.agents[m.Address] = agentState{dead: m.State == roster.Dead}
		s, known := byName[m.Service]
		if !known || m.State != roster.Alive || m.Weight == 0 || outNames[m.Domain] || drained[m.Name] {
			continue
		}
		s.candidates = append(s.candidates, newCandidate(m))
	}
	return t
}

func newCandidate(m *roster.Member) candidate {
	return candidate{address: m.Address, seed: roster.Hash(m.Address), weight: float64(m.Weight)}
}

func mix(x uint64) uint64 {
	// The finalizer of SplitMix64 (Steele, Lea and Flood, 2014).
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

func keyWords(key []byte) (uint64, uint64) {
	return binary.LittleEndian.Uint64(key), binary.LittleEndian.Uint64(key[8:])
}
