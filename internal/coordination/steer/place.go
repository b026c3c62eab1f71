package steer

import (
	"slices"
	"time"

	"github.com/coriandershift/coriandershift/internal/coordination/budget"
	"github.com/coriandershift/coriandershift/internal/coordination/fleet"
	"github.com/coriandershift/coriandershift/internal/coordination/pick"
	"github.com/coriandershift/coriandershift/internal/state/config"
	"github.com/coriandershift/coriandershift/internal/state/flow"
)

// rankCandidates returns the agents to try for a new flow of a service that has some, the
// preferred one first, and whether the flow is to be sent to that one only, because all
// are full.
func (r *Router) rankCandidates(now time.Time, hash uint64, service string) ([]*fleet.Agent, bool) {
	chosen := r.fleet.Ranked(now, hash, service, r.policy.Choices)
	var candidates [pick.MaxChoices]pick.Candidate
	var costs [pick.MaxChoices]float64
	for i, a := range chosen {
		candidates[i] = pick.Candidate{Load: &a.Load, OtherDomain: a.Member.Domain != r.domain, Suspected: a.IsSuspected(now)}
	}
	direct := r.policy.Costs(now, candidates[:len(chosen)], costs[:len(chosen)])
	// An insertion sort keeps the order of ranks among equal costs and allocates nothing.
	for i := 1; i < len(chosen); i++ {
		for j := i; j > 0 && costs[j] < costs[j-1]; j-- {
			costs[j], costs[j-1] = costs[j-1], costs[j]
			chosen[j], chosen[j-1] = chosen[j-1], chosen[j]
		}
	}
	return chosen, direct
}

// routeOpening places a new flow, unless the link cannot carry it now. A retransmitted
// opening packet goes to the same agent as the first.
func (r *Router) routeOpening(now time.Time, key flow.Key, p *flow.Packet, route *config.Route) {
	if known := r.flows[key]; known != nil && known.sawOpening && known.openingSequence == p.Sequence {
		known.lastActive = now
		r.intake.Observe(now, p, route)
		r.send(Action{Key: key, To: known.agent, Envelope: r.envelope(route, key, false), Packet: p.Raw})
		return
	}
	if o := r.pendingOpens[key]; o != nil {
		return // Tick sends the pending opening packet to the next agent when it times out
	}
	if _, waiting := r.waitingOpens[key]; waiting || r.refuseAgain(now, key, p) {
		return
	}

	service := route.PickService(key.Hash())
	if !r.fleet.HasEligible(service) {
		r.actions = append(r.actions, Action{Kind: Drop, Reason: NoUpstream, Key: key})
		return
	}
	maybeCopied := r.maybeCopied(now, p)
	if p.SinceFirstSent > 0 && !r.wasDropped(now, key, p) {
		r.intake.Observe(now, p, route)
	} else if !r.admitToLink(now, key, p, route, maybeCopied) {
		return
	}
	r.place(now, key, p, route, service, maybeCopied)
}

// place sends the opening packet of a new flow to an agent of a service that has some
// that are eligible. maybeCopied says that another balancer may have placed the flow.
func (r *Router) place(now time.Time, key flow.Key, p *flow.Packet, route *config.Route, service string, maybeCopied bool) {
	chosen, direct := r.rankCandidates(now, key.Hash(), service)
	envelope := r.envelope(route, key, true)
	envelope.MaybeDuplicate = maybeCopied
	reason := Placed
	if direct {
		envelope.WaitHere = true
		reason = PlacedAllFull
	} else {
		for _, a := range chosen[1:] {
			envelope.Ranks[envelope.RankCount] = a.Endpoint
			envelope.RankCount++
		}
	}
	first := chosen[0]
	load, age := first.Load.RequestsPerSlot(now), first.Load.ReportAge(now)
	if len(r.flows) < maxFlows && len(r.pendingOpens) < maxPendingOpens {
		r.flows[key] = &flowEntry{agent: first.Endpoint, lastActive: now, openingSequence: p.Sequence, sawOpening: true}
		r.recordOpenSent(now)
		r.pendingOpens[key] = &pendingOpen{sentAt: now, placedAt: now, packet: slices.Clone(p.Raw), envelope: envelope, agent: first.Endpoint}
	}
	first.Load.CountPlaced(now)
	r.send(Action{Reason: reason, Key: key, To: first.Endpoint, Envelope: envelope, Packet: p.Raw, Load: load, LoadAge: age})
}

// tryNextAgent sends a timed-out opening packet to the next ranked agent, or gives
// it up if none is left. Without budget for a copy it waits for another timeout.
func (r *Router) tryNextAgent(now time.Time, key flow.Key, o *pendingOpen) {
	if o.envelope.RankCount > 0 && !r.budget.Take(now, 2*budget.MessageLength+len(o.packet)) {
		o.sentAt = now
		return
	}
	next, ok := o.envelope.PopRank()
	if !ok {
		r.endOpening(key)
		return
	}
	o.envelope.MaybeDuplicate = true
	o.agent, o.sentAt, o.placedAt, o.late = next, now, now, false
	o.counted = false
	r.recordOpenSent(now)
	if known := r.flows[key]; known != nil {
		known.agent = next
	}
	if a := r.fleet.Agent(next); a != nil {
		a.Load.CountPlaced(now)
	}
	r.send(Action{Reason: PlacedNextAfterSilence, Key: key, To: next, Envelope: o.envelope, Packet: o.packet})
}
