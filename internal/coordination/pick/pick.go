// Package pick orders the agents that may take a new flow, so that the one
// expected to answer it first is tried first. It answers load that is spread
// unevenly for moments, as by chance or by slow upstreams, and short overload of
// a whole service; docs/PLATFORM.md has the measurements.
package pick

import "time"

const (
	// reportTTL is how long a told load is believed: in a second a service
	// answers several times what it runs at once.
	reportTTL = time.Second

	// fullTTL is how long a report of a full upstream is believed, about as long
	// as one request takes. After it the upstream may well have room.
	fullTTL = 100 * time.Millisecond

	// slowFactor is from how much slower than the fastest an upstream's requests
	// count as slow. Less is the chance of a few long requests.
	slowFactor = 1.5

	// remoteCost, in requests for each slot, breaks ties in favour of the
	// balancer's own failure domain, where bytes cost nothing.
	remoteCost = 0.02

	// suspectCost is above any load.
	suspectCost = 1000
)

// Rule says how agents are ordered.
type Rule struct {
	// Choices is among how many ranks of a flow the agent is chosen.
	Choices int

	// ByLoad puts the shortest expected wait first; otherwise the ranks decide.
	ByLoad bool

	// Direct sends a flow straight to the shortest wait when all choices are full.
	Direct bool
}

// Usual is the rule that balancers follow.
var Usual = Rule{Choices: 4, ByLoad: true, Direct: true}

// Load is what a balancer knows of the load of one agent. The zero Load is that
// of an agent which has told nothing.
type Load struct {
	requests, slots float64
	sent            float64 // flows placed since the report
	took            time.Duration
	at              time.Time
}

// Report takes the agent's own figures: the requests that its upstream has or
// that wait for it, how many run at once, and the mean time of one.
func (l *Load) Report(now time.Time, requests, slots int, took time.Duration) {
	*l = Load{requests: float64(requests), slots: float64(max(1, slots)), took: took, at: now}
}

// Send counts a flow placed with the agent.
func (l *Load) Send() {
	l.sent++
}

// Age returns how old the report is, 0 if there is none.
func (l *Load) Age(now time.Time) time.Duration {
	if l.at.IsZero() {
		return 0
	}
	return now.Sub(l.at)
}

// Estimate returns the expected requests for each slot.
func (l *Load) Estimate(now time.Time) float64 {
	if l.slots == 0 {
		return l.sent
	}
	if now.Sub(l.at) > reportTTL {
		return l.sent / l.slots
	}
	return (l.requests + l.sent) / l.slots
}

// full reports whether the agent surely has no room.
func (l *Load) full(now time.Time) bool {
	return l.slots > 0 && now.Sub(l.at) <= fullTTL && l.requests >= l.slots
}

// Candidate is one agent for a new flow.
type Candidate struct {
	*Load

	// Remote says that it is in another failure domain than the balancer.
	Remote bool

	// Suspect says that it left opening packets unanswered.
	Suspect bool
}

// Costs returns the cost of each candidate in cost, the least for the one to try
// first, and whether all of them are full.
func (r Rule) Costs(now time.Time, candidates []Candidate, cost []float64) (full bool) {
	fastest := fastest(now, candidates)
	full = true
	for i, c := range candidates {
		cost[i] = c.cost(now, fastest)
		if !r.ByLoad {
			cost[i] = 0
		}
		if c.Suspect {
			cost[i] += suspectCost
		}
		full = full && c.full(now) && !c.Suspect
	}
	return full && r.Direct && len(candidates) > 0
}

func (c *Candidate) cost(now time.Time, fastest time.Duration) float64 {
	cost := c.Estimate(now)
	if slowness := float64(c.took) / float64(max(1, fastest)); slowness > slowFactor && c.Age(now) <= reportTTL {
		cost = (cost + 1/c.slots) * slowness
	}
	if c.Remote {
		cost += remoteCost
	}
	return cost
}

func fastest(now time.Time, candidates []Candidate) time.Duration {
	var least time.Duration
	for _, c := range candidates {
		if c.took > 0 && c.Age(now) <= reportTTL && (least == 0 || c.took < least) {
			least = c.took
		}
	}
	return least
}
