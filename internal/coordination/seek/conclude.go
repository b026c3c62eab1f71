package seek

import (
	"slices"
	"time"

	"github.com/coriandershift/coriandershift/internal/coordination/fleet"
	"github.com/coriandershift/coriandershift/internal/state/flow"
)

// conclude ends a search for a flow that no agent has. Its caller gets a reset unless
// the flow may still exist: at agents that were not asked, died lately or are not known
// yet.
func (s *Seeker) conclude(now time.Time, key flow.Key, r *search) {
	live, dead := s.fleet.AllHolders(now, s.routeOf(key.Service), key.Hash())
	servicesKnownAt := s.fleet.ServicesKnownFrom(r.startedAt)
	switch {
	case slices.ContainsFunc(live, r.query.misses):
		s.endInconclusive(now, key, r, AgentUncertain)
	case len(dead) > 0:
		s.endInconclusive(now, key, r, AgentDied)
	case !s.knowsAllAgents(now):
		s.awaitsAgents = true
		s.endInconclusive(now, key, r, AgentsUnknown)
	case s.outdated && !servicesKnownAt.IsZero():
		s.endInconclusive(now, key, r, AgentsUnknown)
		r.retry = true
	case now.Before(servicesKnownAt):
		s.endInconclusive(now, key, r, AgentsUnknown)
		r.retry, r.retryAt = true, servicesKnownAt
	default:
		delete(s.searches, key)
		s.add(Outcome{Kind: Gone, Key: key, Acknowledged: r.acknowledged, SearchTime: now.Sub(r.startedAt)})
	}
}

// misses reports whether the agent has not replied to the query. An agent without flows
// need not reply.
func (q *query) misses(a *fleet.Agent) bool {
	asked, found := q.asked[a.Endpoint]
	return !found || asked.incarnation != a.Member.Incarnation || (asked.pending && !a.Member.NoFlows)
}

// endInconclusive ends a search that could not tell whether the flow exists, and
// drops the packet. The caller's next packet starts another query. If agents did not
// reply or could not tell, the search asks again by itself.
func (s *Seeker) endInconclusive(now time.Time, key flow.Key, r *search, cause Cause) {
	r.enter(stateEnded, now)
	r.retry = cause == AgentUncertain || cause == AgentSilent
	s.add(Outcome{Kind: Unresolved, Cause: cause, Key: key, SearchTime: now.Sub(r.startedAt)})
}
