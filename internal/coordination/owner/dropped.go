package owner

import (
	"time"

	"github.com/coriandershift/coriandershift/internal/state/flow"
)

// changeBound is the time within which a configuration change is in force at every process
// that is not cut off.
const changeBound = 7 * time.Second

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
// A configuration without the route proves that only if it is later than the one under
// which the flow was opened: agents adopt configurations that are older than that of the
// balancer, and may step through several before they reach it.
func (o *Owner) routeDropped(now time.Time, key flow.Key, e *entry) bool {
	if o.routes[key.Service] != nil || o.cfg.Revision == 0 {
		return false
	}
	if e.revision > 0 {
		return o.cfg.Revision > e.revision
	}
	return o.cfg.Revision >= o.latestRevision && now.Sub(e.openedAt) >= changeBound
}
