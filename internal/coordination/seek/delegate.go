package seek

import (
	"time"

	"github.com/coriandershift/coriandershift/internal/coordination/fleet"
)

// chooseDelegate returns a random one of the agents that may ask others for a query, nil
// if there is none. Those that it was least often sent to are preferred.
func (s *Seeker) chooseDelegate(now time.Time, q *query, agents []*fleet.Agent) *fleet.Agent {
	var chosen *fleet.Agent
	count, leastUses := 0, 0
	for _, a := range agents {
		if !a.CanDelegate(now) || q.failedDelegates[a.Endpoint] {
			continue
		}
		uses := q.delegateUses[a.Endpoint]
		if count == 0 || uses < leastUses {
			count, leastUses = 0, uses
		}
		if uses > leastUses {
			continue
		}
		count++
		if s.random.IntN(count) == 0 {
			chosen = a
		}
	}
	return chosen
}
