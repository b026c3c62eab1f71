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

// deadAgentTTL is the time after which a dead agent is removed: by then all flows
// that were opened before its death have ended.
const deadAgentTTL = maxFlowLifetime

// agent is one agent's member record, reported load and responsiveness.
type agent struct {
	endpoint flow.Endpoint
	seed     uint64 // for ranking: the hash of the address
	member   roster.Member
	load     pick.Load

	deadSince     time.Time // zero unless the agent is dead
	missedNotices int       // consecutive opening packets without a notice
	suspectUntil  time.Time // other agents are preferred until then

	missedNoticeAt time.Time // when the timeout of an opening packet last passed
	noticeInTimeAt time.Time // when a notice last came within the timeout

	heardAt           time.Time // when it last sent this balancer a message
	unansweredSince   time.Time // when the earliest question since then was sent; zero if none
	silentDelegations int       // consecutive delegated queries that it did not answer
	noDelegateUntil   time.Time // it is not chosen as a delegate until then
}

// service holds the agents of one service.
type service struct {
	agents []*agent

	// holders has a candidate for each agent that is not dead and may hold flows, eligible
	// for those that take new flows. Candidate.Index is an index into agents.
	holders, eligible []rank.Candidate
}

// UpdateMembers applies new or changed member records.
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

// updateBalancer records a balancer when it is first heard of; later records change nothing.
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

// addToService adds an agent to a service, which it creates if needed. The caller
// updates the candidates.
func (r *Router) addToService(a *agent, name string) {
	svc := r.services[name]
	if svc == nil {
		svc = &service{}
		r.services[name] = svc
	}
	svc.agents = append(svc.agents, a)
}

// removeFromService removes an agent from its service and returns the service. The
// caller updates the candidates.
func (r *Router) removeFromService(a *agent) *service {
	svc := r.services[a.member.Service]
	svc.agents = slices.DeleteFunc(svc.agents, func(other *agent) bool { return other == a })
	if len(svc.agents) == 0 {
		delete(r.services, a.member.Service)
	}
	return svc
}

// evictDeadAgents removes the agents that have been dead for deadAgentTTL.
func (r *Router) evictDeadAgents(now time.Time) {
	for endpoint, a := range r.agents {
		if a.deadSince.IsZero() || now.Sub(a.deadSince) < deadAgentTTL {
			continue
		}
		delete(r.agents, endpoint)
		r.removeFromService(a).updateCandidates(r.cfg)
	}
}

// updateCandidates rebuilds the candidate lists from agents and cfg.
func (svc *service) updateCandidates(cfg *config.Config) {
	svc.holders, svc.eligible = svc.holders[:0], svc.eligible[:0]
	for i, a := range svc.agents {
		c := rank.Candidate{Seed: a.seed, Index: i}
		if a.mayReply() {
			svc.holders = append(svc.holders, c)
		}
		if a.member.State == roster.Alive && a.member.Weight > 0 && !cfg.IsDomainOut(a.member.Domain) {
			svc.eligible = append(svc.eligible, c)
		}
	}
}

// setMember replaces the agent's record and tracks since when it is dead.
func (a *agent) setMember(now time.Time, m *roster.Member) {
	if m.State == roster.Alive && m.Sequence != a.member.Sequence {
		a.unansweredSince = time.Time{} // it has reported to another VM
	}
	a.member = *m
	switch {
	case m.State != roster.Dead:
		a.deadSince = time.Time{}
	case a.deadSince.IsZero():
		a.deadSince = now
	}
}

// recordHeard records that the agent sent this balancer a message.
func (a *agent) recordHeard(now time.Time) {
	a.heardAt = now
	a.unansweredSince = time.Time{}
}

// recordAsked records that the agent was asked a question, to which it has not replied.
func (a *agent) recordAsked(at time.Time) {
	if a.unansweredSince.IsZero() {
		a.unansweredSince = at
	}
}

// seemsSilent reports whether the agent lately left questions or opening packets unanswered.
func (a *agent) seemsSilent(now time.Time) bool {
	return now.Before(a.suspectUntil) || (!a.unansweredSince.IsZero() && now.Sub(a.unansweredSince) >= maxSilence)
}
