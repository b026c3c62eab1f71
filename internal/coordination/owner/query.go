package owner

import (
	"time"

	"github.com/coriandershift/coriandershift/internal/protocol/fwdmsg"
	"github.com/coriandershift/coriandershift/internal/state/flow"
)

// HandleQuery answers a Query with one HeldStatus byte for each question. The actions
// are valid until the next call.
func (o *Owner) HandleQuery(now time.Time, e *fwdmsg.Envelope, questions []fwdmsg.Question) []Action {
	o.actions = o.actions[:0]
	o.latestRevision = max(o.latestRevision, e.Revision)
	statuses := make([]byte, len(questions))
	for i, q := range questions {
		statuses[i] = byte(o.heldStatus(now, &q))
	}
	o.actions = append(o.actions, Action{
		Kind:     Notify,
		To:       e.Balancer,
		Packet:   statuses,
		Envelope: fwdmsg.Envelope{Kind: fwdmsg.QueryReply, QueryID: e.QueryID, Balancer: e.Balancer, Agent: o.settings.Self, Revision: o.cfg.Revision},
	})
	return o.actions
}

func (o *Owner) heldStatus(now time.Time, q *fwdmsg.Question) fwdmsg.HeldStatus {
	known := o.flows[q.Key]
	switch {
	case known != nil && known.matches(&flow.Packet{Ack: true, Acknowledged: q.Acknowledged}):
		return fwdmsg.Held
	case (known == nil || known.mayPredate) && !o.knowsAllFlows(now):
		return fwdmsg.Uncertain
	}
	return fwdmsg.NotHeld
}

// knowsAllFlows reports whether a flow that is not in the table is certain not to be
// open at the upstream. Flows from before the agent's start have ended after offerPeriod.
func (o *Owner) knowsAllFlows(now time.Time) bool {
	return o.NoFlows() || (o.upstream != nil && (!o.mayHoldEarlierFlows || now.Sub(o.startedAt) >= offerPeriod))
}
