package steer

import (
	"time"

	"github.com/coriandershift/coriandershift/internal/coordination/budget"
	"github.com/coriandershift/coriandershift/internal/protocol/fwdmsg"
	"github.com/coriandershift/coriandershift/internal/state/flow"
)

// HandleAgentMessage handles a notice, a returned packet or the reply to a query or
// delegated query.
// parse decodes the packet that was returned. The actions are valid until the next
// call of a method that returns actions.
func (r *Router) HandleAgentMessage(now time.Time, e *fwdmsg.Envelope, payload []byte, parse func([]byte) (flow.Packet, error)) []Action {
	r.actions = r.actions[:0]
	r.use.countIn(now, budget.MessageLength+len(payload))
	if a := r.fleet.Agent(e.Agent); a != nil {
		a.RecordHeard(now)
		r.latestRevision = max(r.latestRevision, e.Revision)
		r.seeker.SetOutdated(r.latestRevision > r.cfg.Revision)
	}
	switch e.Kind {
	case fwdmsg.Notice:
		r.handleNotice(now, e, flow.DecodeKey(payload))
	case fwdmsg.ReturnedPacket:
		p, err := parse(payload)
		if err != nil {
			r.actions = append(r.actions, Action{Kind: Drop, Reason: Malformed})
			break
		}
		r.handleReturned(now, e, &p)
	case fwdmsg.QueryReply:
		if e.QueryID == fwdmsg.ProbeQueryID {
			r.members.RecordProbeReply(e.Agent)
			break
		}
		r.performSearch(now, r.seeker.HandleReply(now, e, payload))
	case fwdmsg.DelegatedReply:
		r.performSearch(now, r.seeker.HandleDelegatedReply(now, e, payload))
	}
	r.placeWaiting(now)
	return r.actions
}

// handleNotice caches the agent that has the flow and ends searches for the flow. A
// flow that the agent refused is removed from the cache.
func (r *Router) handleNotice(now time.Time, e *fwdmsg.Envelope, key flow.Key) {
	pending := r.pendingOpens[key]
	if a := r.fleet.Agent(e.Agent); a != nil {
		a.RecordLoad(now, e)
		if pending != nil && pending.agent == e.Agent && !pending.late {
			a.NoticeInTimeAt = now
		}
	}
	delete(r.pendingOpens, key)
	r.seeker.Forget(key)
	if route := r.routes[key.Service]; route != nil {
		r.intake.Learn(now, key.Service, route, int(e.RequestSize)*fwdmsg.RequestSizeUnit)
	}
	if e.Refused {
		delete(r.flows, key)
		r.intake.Forget(key)
		return
	}

	known := r.flows[key]
	if known == nil {
		if len(r.flows) >= maxFlows {
			return
		}
		known = &flowEntry{}
		r.flows[key] = known
	}
	if pending != nil {
		known.sawOpening = true
		r.noticeDelay += (now.Sub(pending.placedAt) - r.noticeDelay) / noticeDelayWeight
		r.seeker.SetNoticeDelay(r.noticeDelay)
		if pending.agent == e.Agent {
			r.recordRoundTrip(now, now.Sub(pending.placedAt))
		}
	}
	known.agent = e.Agent
	known.lastActive = now
}

// handleReturned handles a packet that came back because the agents that got it do
// not have its flow.
func (r *Router) handleReturned(now time.Time, e *fwdmsg.Envelope, p *flow.Packet) {
	key := p.KeyFromCaller()
	if p.IsOpening() {
		return // agents return no opening packets
	}
	if e.WantNotice { // sent by a search
		r.performSearch(now, r.seeker.HandleReturned(now, e, key))
		return
	}

	if known := r.flows[key]; known != nil && known.agent == e.Agent {
		delete(r.flows, key)
		r.performSearch(now, r.seeker.Seek(now, key, p, r.routeOf(key.Service)))
	}
}
