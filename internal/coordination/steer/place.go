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
	// suspectAfter is the number of opening packets in a row that an agent may
	// leave unnoted before others are preferred.
	suspectAfter = 2

	// suspectFor is how long others are preferred; then one packet tries it again.
	suspectFor = time.Second
)

// choose returns the agents to try for a new flow, the best first, and whether
// all of them are known to be full.
func (s *Router) choose(now time.Time, hash uint64, svc *service) ([]*agent, bool) {
	var order [pick.MaxChoices]int
	var scores [pick.MaxChoices]uint64
	count := rank.Top(hash, svc.eligible, order[:s.rule.Choices], scores[:s.rule.Choices])

	var candidates [pick.MaxChoices]pick.Candidate
	var costs [pick.MaxChoices]float64
	chosen := make([]*agent, count)
	for i, place := range order[:count] {
		a := svc.agents[place]
		chosen[i] = a
		candidates[i] = pick.Candidate{Load: &a.load, OtherDomain: a.member.Domain != s.domain, Suspected: now.Before(a.suspectUntil)}
	}
	full := s.rule.Costs(now, candidates[:count], costs[:count])
	// An insertion sort keeps the ranks' order among equals and costs no memory.
	for i := 1; i < count; i++ {
		for j := i; j > 0 && costs[j] < costs[j-1]; j-- {
			costs[j], costs[j-1] = costs[j-1], costs[j]
			chosen[j], chosen[j-1] = chosen[j-1], chosen[j]
		}
	}
	return chosen, full
}

func (a *agent) report(now time.Time, e *fwdmsg.Envelope) {
	a.load.SetReport(now, pick.LoadReport{
		Requests: int(e.Load), Slots: int(e.Slots), MeanDuration: time.Duration(e.MeanDuration) * 100 * time.Microsecond, UnansweredPercent: int(e.UnansweredPercent),
	})
	a.missed = 0
	a.suspectUntil = time.Time{}
}

func (a *agent) miss(now time.Time) {
	a.missed++
	if a.missed >= suspectAfter {
		a.suspectUntil = now.Add(suspectFor)
	}
}

// opening places a new flow, or sends a copy of its opening packet the same way.
func (s *Router) opening(now time.Time, key flow.Key, p *flow.Packet, route *config.Route) {
	if known := s.flows[key]; known != nil && known.opened && known.sequence == p.Sequence {
		known.at = now
		s.send(Action{Key: key, To: known.agent, Envelope: s.envelope(route, key, false), Packet: p.Raw})
		return
	}
	if o := s.opens[key]; o != nil {
		return // the next agent is tried when its time is over
	}

	svc := s.services[route.PickService(key.Hash())]
	if svc == nil || len(svc.eligible) == 0 {
		s.out = append(s.out, Action{Kind: Drop, Reason: NoUpstream, Key: key})
		return
	}

	chosen, full := s.choose(now, key.Hash(), svc)
	envelope := s.envelope(route, key, true)
	envelope.MaybeDuplicate = p.SinceFirstSent > 0
	reason := Placed
	if full {
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
	if len(s.flows) < maxFlows && len(s.opens) < maxOpens {
		s.flows[key] = &entry{agent: first.endpoint, at: now, sequence: p.Sequence, opened: true}
		s.noteOpen(now)
		s.opens[key] = &open{at: now, packet: slices.Clone(p.Raw), envelope: envelope, agent: first.endpoint}
	}
	first.load.CountPlaced()
	s.send(Action{Reason: reason, Key: key, To: first.endpoint, Envelope: envelope, Packet: p.Raw, Load: load, LoadAge: age})
}

// retry sends an opening packet to the next agent.
func (s *Router) retry(now time.Time, key flow.Key, o *open) {
	if a := s.agents[o.agent]; a != nil {
		a.miss(now)
	}

	next, ok := o.envelope.PopRank()
	if !ok {
		delete(s.opens, key)
		delete(s.flows, key)
		return
	}
	o.envelope.MaybeDuplicate = true
	o.agent, o.at = next, now
	s.noteOpen(now)
	if known := s.flows[key]; known != nil {
		known.agent = next
	}
	if a := s.agents[next]; a != nil {
		a.load.CountPlaced()
	}
	s.send(Action{Reason: PlacedNextAfterSilence, Key: key, To: next, Envelope: o.envelope, Packet: o.packet})
}
