package steer

import (
	"slices"
	"time"

	"github.com/coriandershift/coriandershift/internal/coordination/pick"
	"github.com/coriandershift/coriandershift/internal/coordination/rank"
	"github.com/coriandershift/coriandershift/internal/protocol/fwdmsg"
	"github.com/coriandershift/coriandershift/internal/state/config"
	"github.com/coriandershift/coriandershift/internal/state/flow"
)

const (
	// suspectThreshold is the number of consecutive opening packets without a notice
	// from which an agent is suspected, so that others are preferred.
	suspectThreshold = 2

	// suspectPeriod is the time for which others are preferred to a suspected agent.
	// Then one packet tries the agent again. Each failed trial doubles the time, up to
	// maxSuspectDoublings times: during a cut, the callers of the trials get late answers.
	suspectPeriod       = time.Second
	maxSuspectDoublings = 2

	// callerOpenTimeout is the time after which callers give up a flow that is not open.
	callerOpenTimeout = 1400 * time.Millisecond

	// maxRanked is the number of highest ranked agents among which those that are not
	// suspected are chosen from.
	maxRanked = 4 * pick.MaxChoices
)

// rankCandidates returns the agents to try for a new flow, the preferred one first,
// and whether the flow is to be sent to that one only, because all are full. Suspected
// agents are left out as long as there are others: a full agent would forward the flow
// to them, where it might be lost.
func (r *Router) rankCandidates(now time.Time, hash uint64, svc *service) ([]*agent, bool) {
	chosen, suspects := r.highestRanked(now, hash, svc, r.policy.Choices)
	if suspects > 0 {
		chosen, _ = r.highestRanked(now, hash, svc, maxRanked)
	}

	var candidates [pick.MaxChoices]pick.Candidate
	var costs [pick.MaxChoices]float64
	for i, a := range chosen {
		candidates[i] = pick.Candidate{Load: &a.load, OtherDomain: a.member.Domain != r.domain, Suspected: now.Before(a.suspectUntil)}
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

// highestRanked returns those of the count highest ranked agents that are not suspected,
// up to the number of choices, or the suspected ones if there are no others. It also
// returns how many are suspected.
func (r *Router) highestRanked(now time.Time, hash uint64, svc *service, count int) ([]*agent, int) {
	var order [maxRanked]int
	var scores [maxRanked]uint64
	count = rank.Top(hash, svc.eligible, order[:count], scores[:count])
	chosen := make([]*agent, 0, pick.MaxChoices)
	var suspected []*agent
	for _, index := range order[:count] {
		switch a := svc.agents[index]; {
		case now.Before(a.suspectUntil):
			suspected = append(suspected, a)
		case len(chosen) < r.policy.Choices:
			chosen = append(chosen, a)
		}
	}
	if len(chosen) == 0 {
		chosen = append(chosen, suspected[:min(len(suspected), r.policy.Choices)]...)
	}
	return chosen, len(suspected)
}

// recordLoad takes the load that the agent reports in a notice. The agent is no
// longer suspected.
func (a *agent) recordLoad(now time.Time, e *fwdmsg.Envelope) {
	a.load.SetReport(now, pick.LoadReport{
		Requests: int(e.Load), Slots: int(e.Slots), MeanDuration: time.Duration(e.MeanDuration) * 100 * time.Microsecond, UnansweredPercent: int(e.UnansweredPercent),
	})
	a.missedNotices = 0
	a.suspectUntil = time.Time{}
}

func (a *agent) recordMissedNotice(now time.Time) {
	a.missedNotices++
	if excess := a.missedNotices - suspectThreshold; excess >= 0 {
		a.suspectUntil = now.Add(suspectPeriod << min(excess, maxSuspectDoublings))
	}
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

	svc := r.services[route.PickService(key.Hash())]
	if svc == nil || len(svc.eligible) == 0 {
		r.actions = append(r.actions, Action{Kind: Drop, Reason: NoUpstream, Key: key})
		return
	}
	maybeCopied := r.maybeCopied(now, p)
	if p.SinceFirstSent > 0 && !r.wasDropped(now, key, p) {
		r.intake.Observe(now, p, route)
	} else if !r.admitToLink(now, key, p, route, maybeCopied) {
		return
	}
	r.place(now, key, p, route, svc, maybeCopied)
}

// place sends the opening packet of a new flow to an agent of a service that has some
// that are eligible. maybeCopied says that another balancer may have placed the flow.
func (r *Router) place(now time.Time, key flow.Key, p *flow.Packet, route *config.Route, svc *service, maybeCopied bool) {
	chosen, direct := r.rankCandidates(now, key.Hash(), svc)
	envelope := r.envelope(route, key, true)
	envelope.MaybeDuplicate = maybeCopied
	reason := Placed
	if direct {
		envelope.WaitHere = true
		reason = PlacedAllFull
	} else {
		for _, a := range chosen[1:] {
			envelope.Ranks[envelope.RankCount] = a.endpoint
			envelope.RankCount++
		}
	}
	first := chosen[0]
	load, age := first.load.RequestsPerSlot(now), first.load.ReportAge(now)
	if len(r.flows) < maxFlows && len(r.pendingOpens) < maxPendingOpens {
		r.flows[key] = &flowEntry{agent: first.endpoint, lastActive: now, openingSequence: p.Sequence, sawOpening: true}
		r.recordOpenSent(now)
		r.pendingOpens[key] = &pendingOpen{sentAt: now, placedAt: now, packet: slices.Clone(p.Raw), envelope: envelope, agent: first.endpoint}
	}
	first.load.CountPlaced(now)
	r.send(Action{Reason: reason, Key: key, To: first.endpoint, Envelope: envelope, Packet: p.Raw, Load: load, LoadAge: age})
}

// handleSilence handles an opening packet for which its agent sent no notice in time.
// It goes to the next agent unless the link is the likely cause: then the agent has the
// flow, and a copy would open it a second time. The caller repeats the packet if it is lost.
func (r *Router) handleSilence(now time.Time, key flow.Key, o *pendingOpen) {
	o.late = true
	a := r.agents[o.agent]
	if a != nil {
		a.missedNoticeAt = now
	}
	if r.linkSlow(now) && now.Sub(o.placedAt) < callerOpenTimeout {
		o.sentAt = now
		return
	}
	if a != nil {
		a.recordMissedNotice(now)
	}
	r.tryNextAgent(now, key, o)
}

// tryNextAgent sends a timed-out opening packet to the next ranked agent, or gives
// it up if none is left. Without budget for a copy it waits for another timeout.
func (r *Router) tryNextAgent(now time.Time, key flow.Key, o *pendingOpen) {
	if o.envelope.RankCount > 0 && !r.budget.take(now, 2*messageLength+len(o.packet)) {
		o.sentAt = now
		return
	}
	next, ok := o.envelope.PopRank()
	if !ok {
		delete(r.pendingOpens, key)
		delete(r.flows, key)
		return
	}
	o.envelope.MaybeDuplicate = true
	o.agent, o.sentAt, o.placedAt, o.late = next, now, now, false
	r.recordOpenSent(now)
	if known := r.flows[key]; known != nil {
		known.agent = next
	}
	if a := r.agents[next]; a != nil {
		a.load.CountPlaced(now)
	}
	r.send(Action{Reason: PlacedNextAfterSilence, Key: key, To: next, Envelope: o.envelope, Packet: o.packet})
}
