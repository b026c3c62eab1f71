package steer

import (
	"slices"
	"time"

	"github.com/coriandershift/coriandershift/internal/coordination/pick"
	"github.com/coriandershift/coriandershift/internal/coordination/rank"
	"github.com/coriandershift/coriandershift/internal/state/config"
	"github.com/coriandershift/coriandershift/internal/state/flow"
	"github.com/coriandershift/coriandershift/internal/state/roster"
)

// deadAgentTTL is after how long a dead agent is forgotten: when no flow of its
// time lives any more.
const deadAgentTTL = maxFlowLifetime

// agent is what a balancer knows of one agent.
type agent struct {
	endpoint flow.Endpoint
	seed     uint64
	member   roster.Member
	load     pick.Load

	deadSince     time.Time // zero while it lives
	missedNotices int       // opening packets in a row without a note
	suspectUntil  time.Time
}

// service is the agents of one service.
type service struct {
	agents []*agent

	// all are all agents, living those that are not dead, eligible those that
	// take new flows. Their indexes are places in agents.
	all, live, eligible []rank.Candidate
}

// UpdateMembers takes new records of members into use.
func (r *Router) UpdateMembers(now time.Time, members []roster.Member) {
	changed := map[*service]bool{}
	for i := range members {
		m := &members[i]
		if m.Role == roster.Agent {
			r.updateAgent(now, m, changed)
		} else {
			r.updateBalancer(m)
		}
	}
	for svc := range changed {
		svc.updateCandidates(r.cfg)
	}
}

func (r *Router) updateBalancer(m *roster.Member) {
	endpoint := flow.EndpointOf(m.Address)
	if _, seen := r.balancers[endpoint]; !seen {
		r.balancers[endpoint] = endpoint != r.self && m.State == roster.Alive && m.Weight > 0
	}
}

func (r *Router) updateAgent(now time.Time, m *roster.Member, changed map[*service]bool) {
	endpoint := flow.EndpointOf(m.Address)
	known := r.agents[endpoint]
	if known != nil && known.member == *m {
		return
	}
	if known == nil || known.mayHoldOtherFlows(m) {
		r.agentsVersion++
	}
	if known != nil && known.member.Service != m.Service {
		changed[r.removeFromService(known)] = true
		known = nil
	}
	if known == nil {
		known = &agent{endpoint: endpoint, seed: roster.HashAddress(m.Address)}
		r.agents[endpoint] = known
		r.addToService(known, m.Service)
	} else if known.member.Incarnation != m.Incarnation {
		*known = agent{endpoint: endpoint, seed: known.seed}
	}
	known.setMember(now, m)
	changed[r.services[m.Service]] = true
}

// mayHoldOtherFlows reports whether the agent may hold other flows than before, going by
// a new record of it.
func (a *agent) mayHoldOtherFlows(m *roster.Member) bool {
	return a.member.Incarnation != m.Incarnation || a.member.Service != m.Service ||
		(a.member.State == roster.Dead) != (m.State == roster.Dead)
}

// addToService adds an agent to a service.
func (r *Router) addToService(a *agent, name string) {
	svc := r.services[name]
	if svc == nil {
		svc = &service{}
		r.services[name] = svc
	}
	svc.agents = append(svc.agents, a)
}

// removeFromService takes an agent out of its service, which it returns.
func (r *Router) removeFromService(a *agent) *service {
	svc := r.services[a.member.Service]
	svc.agents = slices.DeleteFunc(svc.agents, func(other *agent) bool { return other == a })
	if len(svc.agents) == 0 {
		delete(r.services, a.member.Service)
	}
	return svc
}

// evictDeadAgents drops the agents that have been dead for long.
func (r *Router) evictDeadAgents(now time.Time) {
	for endpoint, a := range r.agents {
		if a.deadSince.IsZero() || now.Sub(a.deadSince) < deadAgentTTL {
			continue
		}
		delete(r.agents, endpoint)
		r.removeFromService(a).updateCandidates(r.cfg)
	}
}

// updateCandidates lists the agents by what they are good for.
func (svc *service) updateCandidates(cfg *config.Config) {
	svc.all, svc.live, svc.eligible = svc.all[:0], svc.live[:0], svc.eligible[:0]
	for i, a := range svc.agents {
		c := rank.Candidate{Seed: a.seed, Index: i}
		svc.all = append(svc.all, c)
		if a.member.State != roster.Dead {
			svc.live = append(svc.live, c)
		}
		if a.member.State == roster.Alive && a.member.Weight > 0 && !cfg.IsDomainOut(a.member.Domain) {
			svc.eligible = append(svc.eligible, c)
		}
	}
}

// setMember takes a new record of the agent.
func (a *agent) setMember(now time.Time, m *roster.Member) {
	a.member = *m
	switch {
	case m.State != roster.Dead:
		a.deadSince = time.Time{}
	case a.deadSince.IsZero():
		a.deadSince = now
	}
}
