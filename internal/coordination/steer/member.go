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

// forgetDead is after how long a dead agent is forgotten: when no flow of its
// time lives any more.
const forgetDead = flowLife

// agent is what a balancer knows of one agent.
type agent struct {
	endpoint flow.Endpoint
	seed     uint64
	member   roster.Member
	load     pick.Load

	deadSince    time.Time // zero while it lives
	missed       int       // opening packets in a row without a note
	suspectUntil time.Time
}

// service is the agents of one service.
type service struct {
	agents []*agent

	// ranked are all agents, living those that are not dead, eligible those that
	// take new flows. Their indexes are places in agents.
	ranked, living, eligible []rank.Candidate
}

// UpdateMembers takes new records of members into use.
func (s *Router) UpdateMembers(now time.Time, members []roster.Member) {
	changed := map[*service]bool{}
	for i := range members {
		m := &members[i]
		if m.Role == roster.Agent {
			s.changeAgent(now, m, changed)
		} else {
			s.changeBalancer(m)
		}
	}
	for svc := range changed {
		svc.arrange(s.cfg)
	}
}

func (s *Router) changeBalancer(m *roster.Member) {
	endpoint := flow.EndpointOf(m.Address)
	if _, seen := s.balancers[endpoint]; !seen {
		s.balancers[endpoint] = endpoint != s.self && m.State == roster.Alive && m.Weight > 0
	}
}

func (s *Router) changeAgent(now time.Time, m *roster.Member, changed map[*service]bool) {
	endpoint := flow.EndpointOf(m.Address)
	known := s.agents[endpoint]
	if known != nil && known.member == *m {
		return
	}
	if known == nil || known.holdsOther(m) {
		s.members++
	}
	if known != nil && known.member.Service != m.Service {
		changed[s.leave(known)] = true
		known = nil
	}
	if known == nil {
		known = &agent{endpoint: endpoint, seed: roster.HashAddress(m.Address)}
		s.agents[endpoint] = known
		s.join(known, m.Service)
	} else if known.member.Incarnation != m.Incarnation {
		*known = agent{endpoint: endpoint, seed: known.seed}
	}
	known.update(now, m)
	changed[s.services[m.Service]] = true
}

// holdsOther reports whether the agent may hold other flows than before, going by
// a new record of it.
func (a *agent) holdsOther(m *roster.Member) bool {
	return a.member.Incarnation != m.Incarnation || a.member.Service != m.Service ||
		(a.member.State == roster.Dead) != (m.State == roster.Dead)
}

// join adds an agent to a service.
func (s *Router) join(a *agent, name string) {
	svc := s.services[name]
	if svc == nil {
		svc = &service{}
		s.services[name] = svc
	}
	svc.agents = append(svc.agents, a)
}

// leave takes an agent out of its service, which it returns.
func (s *Router) leave(a *agent) *service {
	svc := s.services[a.member.Service]
	svc.agents = slices.DeleteFunc(svc.agents, func(other *agent) bool { return other == a })
	if len(svc.agents) == 0 {
		delete(s.services, a.member.Service)
	}
	return svc
}

// forgetAgents drops the agents that have been dead for long.
func (s *Router) forgetAgents(now time.Time) {
	for endpoint, a := range s.agents {
		if a.deadSince.IsZero() || now.Sub(a.deadSince) < forgetDead {
			continue
		}
		delete(s.agents, endpoint)
		s.leave(a).arrange(s.cfg)
	}
}

// arrange lists the agents by what they are good for.
func (svc *service) arrange(cfg *config.Config) {
	svc.ranked, svc.living, svc.eligible = svc.ranked[:0], svc.living[:0], svc.eligible[:0]
	for i, a := range svc.agents {
		c := rank.Candidate{Seed: a.seed, Index: i}
		svc.ranked = append(svc.ranked, c)
		if a.member.State != roster.Dead {
			svc.living = append(svc.living, c)
		}
		if a.member.State == roster.Alive && a.member.Weight > 0 && !cfg.IsDomainOut(a.member.Domain) {
			svc.eligible = append(svc.eligible, c)
		}
	}
}

// update takes a new record of the agent.
func (a *agent) update(now time.Time, m *roster.Member) {
	a.member = *m
	switch {
	case m.State != roster.Dead:
		a.deadSince = time.Time{}
	case a.deadSince.IsZero():
		a.deadSince = now
	}
}
