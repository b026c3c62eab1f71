// Package fleet keeps what a balancer knows of the agents: their records, loads and
// responsiveness, which of them take new flows, and which may have a given flow. The
// package does no I/O.
package fleet

import (
	"iter"
	"maps"
	"slices"
	"time"

	"github.com/coriandershift/coriandershift/internal/state/config"
	"github.com/coriandershift/coriandershift/internal/state/flow"
	"github.com/coriandershift/coriandershift/internal/state/roster"
)

// deadAgentTTL is the time after which a dead agent is removed: by then all flows
// that were opened before its death have ended.
const deadAgentTTL = maxFlowLifetime

// Fleet is the agents that a balancer knows, by service. It is not safe for concurrent use.
type Fleet struct {
	cfg      *config.Config
	agents   map[flow.Endpoint]*Agent
	services map[string]*service

	former *former
}

// New returns a Fleet without agents for a balancer that started at a time.
func New(started time.Time) *Fleet {
	return &Fleet{
		cfg:      &config.Config{},
		agents:   map[flow.Endpoint]*Agent{},
		services: map[string]*service{},
		former:   newFormer(started),
	}
}

// Configure applies a newer configuration, which the Fleet keeps.
func (f *Fleet) Configure(now time.Time, cfg *config.Config) {
	f.former.record(now, f.cfg, cfg)
	f.cfg = cfg
	for _, svc := range f.services {
		svc.updateCandidates(cfg)
	}
}

// Agent returns the agent at an address, nil if there is none.
func (f *Fleet) Agent(e flow.Endpoint) *Agent {
	return f.agents[e]
}

// Agents returns all agents in random order.
func (f *Fleet) Agents() iter.Seq[*Agent] {
	return maps.Values(f.agents)
}

// EligibleCount returns how many agents take new flows.
func (f *Fleet) EligibleCount() int {
	count := 0
	for _, svc := range f.services {
		count += len(svc.eligible)
	}
	return count
}

// Update applies new or changed member records of agents.
func (f *Fleet) Update(now time.Time, members []roster.Member) {
	changed := map[*service]bool{}
	for i := range members {
		if m := &members[i]; m.Role == roster.Agent {
			f.update(now, m, changed)
		}
	}
	for svc := range changed {
		svc.updateCandidates(f.cfg)
	}
}

func (f *Fleet) update(now time.Time, m *roster.Member, changed map[*service]bool) {
	endpoint := flow.EndpointOf(m.Address)
	known := f.agents[endpoint]
	if known != nil && known.Member == *m {
		return
	}
	if known != nil && known.Member.Service != m.Service {
		changed[f.removeFromService(known)] = true
		known = nil
	}
	if known == nil {
		known = &Agent{Endpoint: endpoint, seed: roster.HashAddress(m.Address)}
		f.agents[endpoint] = known
		f.addToService(known, m.Service)
	} else if known.Member.Incarnation != m.Incarnation {
		*known = Agent{Endpoint: endpoint, seed: known.seed}
	}
	known.setMember(now, m)
	changed[f.services[m.Service]] = true
}

// Evict removes the agents that have been dead for deadAgentTTL, and the former services
// of routes whose flows have ended.
func (f *Fleet) Evict(now time.Time) {
	f.former.evict(now)
	for endpoint, a := range f.agents {
		if a.deadSince.IsZero() || now.Sub(a.deadSince) < deadAgentTTL {
			continue
		}
		delete(f.agents, endpoint)
		f.removeFromService(a).updateCandidates(f.cfg)
	}
}

// addToService adds an agent to a service, which it creates if needed. The caller
// updates the candidates.
func (f *Fleet) addToService(a *Agent, name string) {
	svc := f.services[name]
	if svc == nil {
		svc = &service{}
		f.services[name] = svc
	}
	svc.agents = append(svc.agents, a)
}

// removeFromService removes an agent from its service and returns the service. The
// caller updates the candidates.
func (f *Fleet) removeFromService(a *Agent) *service {
	svc := f.services[a.Member.Service]
	svc.agents = slices.DeleteFunc(svc.agents, func(other *Agent) bool { return other == a })
	if len(svc.agents) == 0 {
		delete(f.services, a.Member.Service)
	}
	return svc
}
