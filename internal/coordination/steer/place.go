package steer

import (
	"slices"
	"time"

	"github.com/coriandershift/coriandershift/internal/coordination/rank"
	"github.com/coriandershift/coriandershift/internal/protocol/parcel"
	"github.com/coriandershift/coriandershift/internal/state/config"
	"github.com/coriandershift/coriandershift/internal/state/flow"
	"github.com/coriandershift/coriandershift/internal/state/roster"
)

const (
	// suspectAfter is the number of opening packets in a row that an agent may
	// leave unnoted before others are preferred.
	suspectAfter = 2

	// suspectFor is how long others are preferred; then one packet tries it again.
	suspectFor = time.Second

	// reportTTL is how long a reported load is believed.
	reportTTL = time.Second
)

// service is the agents of one service.
type service struct {
	agents []*agent

	// ranked are all agents; eligible are those that take new flows.
	ranked   []rank.Candidate
	eligible []rank.Candidate
}

// agent is what a balancer knows of one agent.
type agent struct {
	endpoint flow.Endpoint
	member   roster.Member

	// load is the last reported one; sent counts the flows placed since.
	load, slots float64
	loadAt      time.Time
	sent        float64

	deadSince    time.Time // zero while it lives
	missed       int       // opening packets in a row without a note
	suspectUntil time.Time
}

func (svc *service) configure(cfg *config.Config) {
	svc.eligible, svc.ranked = svc.eligible[:0], svc.ranked[:0]
	for i, a := range svc.agents {
		c := rank.Candidate{Seed: roster.Hash(a.member.Address), Index: i}
		svc.ranked = append(svc.ranked, c)
		if a.member.State == roster.Alive && a.member.Weight > 0 && !cfg.IsOut(a.member.Domain) {
			svc.eligible = append(svc.eligible, c)
		}
	}
}

// choose returns the agents to try for a new flow: the first of its ranks, the least loaded first.
func (svc *service) choose(now time.Time, hash uint64, domain string) []*agent {
	var order [choices]int
	var scores [choices]uint64
	count := rank.Top(hash, svc.eligible, order[:], scores[:])

	chosen := make([]*agent, 0, choices)
	for _, i := range order[:count] {
		chosen = append(chosen, svc.agents[i])
	}
	slices.SortStableFunc(chosen, func(a, b *agent) int {
		return compare(a.cost(now, domain), b.cost(now, domain))
	})
	return chosen
}

// cost orders agents for a new flow. A suspected one comes last.
func (a *agent) cost(now time.Time, domain string) float64 {
	cost := a.estimate(now)
	if now.Before(a.suspectUntil) {
		cost += suspectedCost
	}
	if a.member.Domain != domain {
		cost += remoteCost
	}
	return cost
}

const (
	// suspectedCost is above any load.
	suspectedCost = 1000

	// remoteCost, in requests for each slot, breaks ties in favour of the
	// balancer's own failure domain, where bytes cost nothing.
	remoteCost = 0.02
)

// estimate returns the expected requests for each slot of the upstream.
func (a *agent) estimate(now time.Time) float64 {
	if a.slots == 0 {
		return a.sent
	}
	load := a.load
	if now.Sub(a.loadAt) > reportTTL {
		load = 0
	}
	return (load + a.sent) / a.slots
}

// update takes a new record of the agent.
func (a *agent) update(now time.Time, m *roster.Member) {
	a.member = *m
	switch {
	case m.State != roster.Dead:
		a.deadSince = time.Time{}
	case a.deadSince.IsZero():
		a.deadSince = now
	}
}

// age returns how old the reported load is, 0 if none was reported.
func (a *agent) age(now time.Time) time.Duration {
	if a.loadAt.IsZero() {
		return 0
	}
	return now.Sub(a.loadAt)
}

func (a *agent) report(now time.Time, e *parcel.Envelope) {
	a.load, a.slots = float64(e.Load), float64(max(1, e.Slots))
	a.loadAt = now
	a.sent = 0
	a.missed = 0
	a.suspectUntil = time.Time{}
}

func (a *agent) miss(now time.Time) {
	a.missed++
	if a.missed >= suspectAfter {
		a.suspectUntil = now.Add(suspectFor)
	}
}

func compare(a, b float64) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}

// opening places a new flow, or sends a copy of its opening packet the same way.
func (s *Steer) opening(now time.Time, key flow.Key, p *flow.Packet, route *config.Route) {
	if known := s.flows[key]; known != nil && known.opened && known.sequence == p.Sequence {
		known.at = now
		s.send(Action{Key: key, To: known.agent, Envelope: s.envelope(route, key, false), Packet: p.Raw})
		return
	}
	if o := s.opens[key]; o != nil {
		return // the next agent is tried when its time is over
	}

	svc := s.services[route.Pick(key.Hash())]
	if svc == nil || len(svc.eligible) == 0 {
		s.out = append(s.out, Action{Verb: Drop, Reason: NoUpstream, Key: key})
		return
	}

	chosen := svc.choose(now, key.Hash(), s.domain)
	envelope := s.envelope(route, key, true)
	envelope.Repeated = p.Acknowledged > 0
	for _, a := range chosen[1:] {
		envelope.Ranks[envelope.Count] = a.endpoint
		envelope.Count++
	}
	first := chosen[0]
	load, age := first.estimate(now), first.age(now)
	if len(s.flows) < maxFlows && len(s.opens) < maxOpens {
		s.flows[key] = &entry{agent: first.endpoint, at: now, sequence: p.Sequence, opened: true}
		s.opens[key] = &open{at: now, packet: slices.Clone(p.Raw), envelope: envelope, agent: first.endpoint}
	}
	first.sent++
	s.send(Action{Reason: Placed, Key: key, To: first.endpoint, Envelope: envelope, Packet: p.Raw, Load: load, LoadAge: age})
}

// retry sends an opening packet to the next agent.
func (s *Steer) retry(now time.Time, key flow.Key, o *open) {
	if a := s.agents[o.agent]; a != nil {
		a.miss(now)
	}

	next, ok := o.envelope.Next()
	if !ok {
		delete(s.opens, key)
		delete(s.flows, key)
		return
	}
	o.envelope.Repeated = true
	o.agent, o.at = next, now
	if known := s.flows[key]; known != nil {
		known.agent = next
	}
	if a := s.agents[next]; a != nil {
		a.sent++
	}
	s.send(Action{Reason: PlacedNext, Key: key, To: next, Envelope: o.envelope, Packet: o.packet})
}
