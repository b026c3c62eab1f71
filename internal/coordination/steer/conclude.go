package steer

import (
	"slices"
	"time"

	"github.com/coriandershift/coriandershift/internal/state/flow"
)

// conclude ends a search for a flow that no agent has. Its caller gets a reset unless
// the flow may still exist: at agents that were not asked, died within deadGracePeriod
// or are not known yet.
func (r *Router) conclude(now time.Time, key flow.Key, s *search) {
	route := r.routes[key.Service]
	if route == nil {
		r.endInconclusive(now, key, s, NoRoute)
		return
	}
	live, dead := r.possibleHolders(now, route, key.Hash())
	switch {
	case slices.ContainsFunc(live, s.query.misses):
		r.endInconclusive(now, key, s, NotFoundAgentUncertain)
	case len(dead) > 0:
		r.endInconclusive(now, key, s, NotFoundAgentDied)
	case !r.converged, len(r.services) > maxSearchedServices && now.Sub(r.started) < maxFlowLifetime:
		r.endInconclusive(now, key, s, NotFoundAgentsUnknown)
	default:
		delete(r.searches, key)
		r.actions = append(r.actions, Action{Kind: Reset, Reason: FlowGone, Key: key, Sequence: s.acknowledged, SearchTime: now.Sub(s.startedAt)})
	}
}

// misses reports whether the agent has not replied to the query. An agent without flows
// need not reply.
func (q *query) misses(a *agent) bool {
	asked, found := q.asked[a.endpoint]
	return !found || asked.incarnation != a.member.Incarnation || (asked.pending && !a.member.NoFlows)
}

// endInconclusive ends a search that could not tell whether the flow exists, and
// drops the packet. The caller's next packet starts another query. If agents did not
// reply or could not tell, the search asks again by itself.
func (r *Router) endInconclusive(now time.Time, key flow.Key, s *search, reason Reason) {
	s.enter(stateEnded, now)
	s.retry = reason == NotFoundAgentUncertain || reason == NotFoundAgentSilent
	r.actions = append(r.actions, Action{Kind: Drop, Reason: reason, Key: key, SearchTime: now.Sub(s.startedAt)})
}
