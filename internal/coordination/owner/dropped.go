package owner

import (
	"time"

	"github.com/coriandershift/coriandershift/internal/state/config"
	"github.com/coriandershift/coriandershift/internal/state/flow"
)

// resetDropped resets the callers of the flows whose route was dropped.
func (o *Owner) resetDropped(now time.Time) {
	for key, e := range o.flows {
		if o.routeDropped(now, key, e) {
			o.removeFlow(key, e)
			o.resetCaller(key, e.callerAck, RouteDropped)
		}
	}
}

// routeDropped reports whether a flow's route was dropped after the flow had been opened.
// A configuration without the route does not prove that by itself: agents adopt
// configurations that are older than that of the balancer, and step through some in which a
// route had been dropped that was added again before the flow was opened. So the
// configuration must be later than the one under which the flow was opened, and all that
// existed then must have arrived.
func (o *Owner) routeDropped(now time.Time, key flow.Key, e *entry) bool {
	return o.routes[key.Service] == nil && o.cfg.Revision > e.revision &&
		o.cfg.Revision >= o.latestRevision && now.Sub(e.openedAt) >= config.ChangeBound
}
