package steer

import (
	"time"

	"github.com/coriandershift/coriandershift/internal/coordination/seek"
	"github.com/coriandershift/coriandershift/internal/protocol/fwdmsg"
	"github.com/coriandershift/coriandershift/internal/state/flow"
)

// reasons are the reasons for dropping a packet whose search did not find out whether its
// flow exists.
var reasons = map[seek.Cause]Reason{
	seek.AgentUncertain: NotFoundAgentUncertain,
	seek.AgentDied:      NotFoundAgentDied,
	seek.AgentsUnknown:  NotFoundAgentsUnknown,
	seek.AgentSilent:    NotFoundAgentSilent,
	seek.NoUpstream:     NoUpstream,
}

// performSearch turns the outcomes of searches into actions.
func (r *Router) performSearch(now time.Time, outcomes []seek.Outcome) {
	for i := range outcomes {
		switch o := &outcomes[i]; o.Kind {
		case seek.Ask:
			r.ask(o.Message, o.QueryID, o.To, o.Packet)
		case seek.Pass, seek.Offer, seek.Found:
			r.sendSearched(now, o)
		case seek.Gone:
			r.actions = append(r.actions, Action{Kind: Reset, Reason: FlowGone, Key: o.Key, Sequence: o.Acknowledged, SearchTime: o.SearchTime})
		case seek.Unresolved:
			r.actions = append(r.actions, Action{Kind: Drop, Reason: reasons[o.Cause], Key: o.Key, To: o.To, SearchTime: o.SearchTime})
		}
	}
}

// sendSearched sends the packet of a search to an agent.
func (r *Router) sendSearched(now time.Time, o *seek.Outcome) {
	if o.Kind == seek.Found && len(r.flows) < maxFlows {
		r.flows[o.Key] = &flowEntry{agent: o.To, lastActive: now}
	}
	action := Action{Reason: Found, Key: o.Key, To: o.To, Envelope: r.envelope(r.routeOf(o.Key.Service), o.Key, false), Packet: o.Packet, SearchTime: o.SearchTime}
	switch o.Kind {
	case seek.Pass:
		action.Reason, action.Envelope.WantNotice = Lookup, o.WantNotice
		action.Envelope.RankCount = copy(action.Envelope.Ranks[:], o.Next)
	case seek.Offer:
		action.Reason, action.Envelope.WantNotice = Offered, true
	}
	r.send(action)
}

// ask sends an agent a query of its own or a delegated one.
func (r *Router) ask(kind fwdmsg.Kind, id uint16, to flow.Endpoint, payload []byte) {
	r.send(Action{
		To: to, Packet: payload,
		Envelope: fwdmsg.Envelope{Kind: kind, QueryID: id, Balancer: r.self, Revision: r.cfg.Revision},
	})
}
