package fleet

import (
	"time"

	"github.com/coriandershift/coriandershift/internal/coordination/pick"
	"github.com/coriandershift/coriandershift/internal/coordination/rank"
	"github.com/coriandershift/coriandershift/internal/state/config"
	"github.com/coriandershift/coriandershift/internal/state/roster"
)

// maxRanked is the number of highest ranked agents among which those that are not
// suspected are chosen from.
const maxRanked = 4 * pick.MaxChoices

// service holds the agents of one service.
type service struct {
	agents []*Agent

	// holders has a candidate for each agent that is not dead and may hold flows, eligible
	// for those that take new flows. Candidate.Index is an index into agents.
	holders, eligible []rank.Candidate
}

// updateCandidates rebuilds the candidate lists from agents and cfg.
func (svc *service) updateCandidates(cfg *config.Config) {
	svc.holders, svc.eligible = svc.holders[:0], svc.eligible[:0]
	for i, a := range svc.agents {
		c := rank.Candidate{Seed: a.seed, Index: i}
		if a.MayReply() {
			svc.holders = append(svc.holders, c)
		}
		if a.Member.State == roster.Alive && a.Member.Weight > 0 && !cfg.IsDomainOut(a.Member.Domain) {
			svc.eligible = append(svc.eligible, c)
		}
	}
}

// HasEligible reports whether any agent of a service takes new flows.
func (f *Fleet) HasEligible(service string) bool {
	svc := f.services[service]
	return svc != nil && len(svc.eligible) > 0
}

// Ranked returns up to choices of the highest ranked agents of a service that take new
// flows. Suspected agents are left out as long as there are others: a full agent would
// forward the flow to them, where it might be lost.
func (f *Fleet) Ranked(now time.Time, hash uint64, service string, choices int) []*Agent {
	svc := f.services[service]
	chosen, suspects := svc.highestRanked(now, hash, choices, choices)
	if suspects > 0 {
		chosen, _ = svc.highestRanked(now, hash, choices, maxRanked)
	}
	return chosen
}

// highestRanked returns up to choices of the count highest ranked agents that are not
// suspected, or the suspected ones if there are no others. It also returns how many are
// suspected.
func (svc *service) highestRanked(now time.Time, hash uint64, choices, count int) ([]*Agent, int) {
	var order [maxRanked]int
	var scores [maxRanked]uint64
	count = rank.Top(hash, svc.eligible, order[:count], scores[:count])
	chosen := make([]*Agent, 0, pick.MaxChoices)
	var suspected []*Agent
	for _, index := range order[:count] {
		switch a := svc.agents[index]; {
		case a.IsSuspected(now):
			suspected = append(suspected, a)
		case len(chosen) < choices:
			chosen = append(chosen, a)
		}
	}
	if len(chosen) == 0 {
		chosen = append(chosen, suspected[:min(len(suspected), choices)]...)
	}
	return chosen, len(suspected)
}
