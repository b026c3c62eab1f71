package steer

import (
	"time"

	"github.com/coriandershift/coriandershift/internal/state/roster"
)

const (
	// heardPeriod is the time after an agent's last message in which it may be chosen as
	// a delegate. An agent that has ended is known to be dead after about as long.
	heardPeriod = 3 * time.Second

	// delegateBackoff is the time for which an agent that did not answer as a delegate
	// is not chosen again. Each further silence doubles it, up to maxBackoffDoublings
	// times: an agent of an earlier version never answers.
	delegateBackoff     = 2 * time.Second
	maxBackoffDoublings = 4
)

// chooseDelegate returns a random one of the agents that may ask others for a query, nil
// if there is none. Those that it was least often sent to are preferred.
func (r *Router) chooseDelegate(now time.Time, q *query, agents []*agent) *agent {
	var chosen *agent
	count, leastUses := 0, 0
	for _, a := range agents {
		if !a.canDelegate(now) || q.failedDelegates[a.endpoint] {
			continue
		}
		uses := q.delegateUses[a.endpoint]
		if count == 0 || uses < leastUses {
			count, leastUses = 0, uses
		}
		if uses > leastUses {
			continue
		}
		count++
		if r.random.IntN(count) == 0 {
			chosen = a
		}
	}
	return chosen
}

// canDelegate reports whether the agent may be asked to ask others: it sent this balancer
// a message lately, and answered when it was last asked to.
func (a *agent) canDelegate(now time.Time) bool {
	return a.member.State == roster.Alive && now.Sub(a.heardAt) < heardPeriod &&
		!now.Before(a.suspectUntil) && !now.Before(a.noDelegateUntil)
}

// mayReply reports whether an agent's reply is worth waiting for: dead agents hardly send
// one, and those without flows need not.
func (a *agent) mayReply() bool {
	return a.member.State != roster.Dead && !a.member.NoFlows
}

func (a *agent) recordDelegateSilence(now time.Time) {
	a.noDelegateUntil = now.Add(delegateBackoff << min(a.silentDelegations, maxBackoffDoublings))
	a.silentDelegations++
}

func (a *agent) recordDelegateReply() {
	a.silentDelegations = 0
	a.noDelegateUntil = time.Time{}
}
