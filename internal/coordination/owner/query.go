package owner

import (
	"github.com/coriandershift/coriandershift/internal/protocol/parcel"
	"github.com/coriandershift/coriandershift/internal/state/flow"
)

// FromQuery answers which flows of a Query are held here. The actions are valid
// until the next call.
func (o *Owner) FromQuery(e *parcel.Envelope, questions []parcel.Question) []Action {
	o.actions = o.actions[:0]
	words := make([]byte, len(questions))
	for i, q := range questions {
		words[i] = byte(o.holding(&q))
	}
	o.actions = append(o.actions, Action{
		Verb:     Tell,
		To:       e.Balancer,
		Packet:   words,
		Envelope: parcel.Envelope{Kind: parcel.Reply, Search: e.Search, Balancer: e.Balancer, Agent: o.settings.Self, Revision: o.cfg.Revision},
	})
	return o.actions
}

func (o *Owner) holding(q *parcel.Question) parcel.Holding {
	known := o.flows[q.Key]
	switch {
	case known != nil && known.belongs(&flow.Packet{Ack: true, Acknowledged: q.Acknowledged}):
		return parcel.Held
	case known == nil && !o.certain():
		return parcel.Unsure
	}
	return parcel.NotHeld
}

// certain reports whether a flow that is not in the table is surely not at the upstream.
func (o *Owner) certain() bool {
	return o.Empty() || (o.upstream != nil && !o.mayOffer)
}
