// Package pick orders the agents that may take a new flow, so that the one
// expected to answer it first is tried first. It answers load that is spread
// unevenly for moments, as by chance or by slow upstreams, and short overload of
// a whole service; docs/PLATFORM.md has the measurements.
package pick

import (
	"slices"
	"time"
)

const (
	// reportTTL is how long a told load is believed: in a second a service
	// answers several times what it runs at once.
	reportTTL = time.Second

	// fullTTL is how long a report of a full upstream is believed, about as long
	// as one request takes. After it the upstream may well have room.
	fullTTL = 100 * time.Millisecond

	// slowFactor is from how much slower than usual an upstream's requests count as
	// slow. Less is the chance of a few long requests.
	slowFactor = 1.5

	// remoteCost, in requests for each slot, breaks ties in favour of the
	// balancer's own failure domain, where bytes cost nothing.
	remoteCost = 0.02

	// suspectCost is above any load.
	suspectCost = 1000

	// doubtCost is above the load of any agent that is not suspect: an upstream that
	// seems to fail comes after the others. Those that are full hand flows on to it,
	// so that a false alarm costs a hop and no capacity.
	doubtCost = 500

	// doubtTTL is how long a report counts for that: after it one flow tries the
	// upstream again.
	doubtTTL = 5 * time.Second

	// maxFaults is from how many unanswered requests of a hundred an upstream
	// seems to fail. Callers leave a few behind at any.
	maxFaults = 20

	// hastyFactor is from how much faster than the others an upstream seems to
	// fail: errors are answered at once, and the fastest would get the most flows.
	hastyFactor = 4

	// minPeers is among how many upstreams one can be told to be hasty: of two,
	// the other may as well be slow.
	minPeers = 3
)

// Policy says how agents are ordered.
type Policy struct {
	// Choices is among how many ranks of a flow the agent is chosen.
	Choices int

	// ByLoad puts the shortest expected wait first; otherwise the ranks decide.
	ByLoad bool

	// DirectWhenFull sends a flow straight to the shortest wait when all choices are full.
	DirectWhenFull bool
}

// DefaultPolicy is the rule that balancers follow.
var DefaultPolicy = Policy{Choices: MaxChoices, ByLoad: true, DirectWhenFull: true}

// MaxChoices bounds Policy.Choices. It is within the ranks along which an unknown
// flow is looked for first.
const MaxChoices = 4

// LoadReport is what an agent tells of its upstream.
type LoadReport struct {
	// Requests are those that it has or that wait for it, Slots how many run at once.
	Requests, Slots int

	// MeanDuration is the mean time of a request, 0 if it has answered none.
	MeanDuration time.Duration

	// UnansweredPercent is how many of a hundred requests it leaves unanswered.
	UnansweredPercent int
}

// Load is what a balancer knows of the load of one agent. The zero Load is that
// of an agent which has told nothing.
type Load struct {
	requests, slots float64
	sent            float64 // flows placed since the report
	took            time.Duration
	faults          int
	at              time.Time
}

// SetReport takes the agent's own figures.
func (l *Load) SetReport(now time.Time, r LoadReport) {
	*l = Load{requests: float64(r.Requests), slots: float64(max(1, r.Slots)), took: r.MeanDuration, faults: r.UnansweredPercent, at: now}
}

// CountPlaced counts a flow placed with the agent.
func (l *Load) CountPlaced() {
	l.sent++
}

// ReportAge returns how old the report is, 0 if there is none.
func (l *Load) ReportAge(now time.Time) time.Duration {
	if l.at.IsZero() {
		return 0
	}
	return now.Sub(l.at)
}

// RequestsPerSlot returns the expected requests for each slot.
func (l *Load) RequestsPerSlot(now time.Time) float64 {
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

	// OtherDomain says that it is in another failure domain than the balancer.
	OtherDomain bool

	// Suspected says that it left opening packets unanswered.
	Suspected bool
}

// Costs returns the cost of each candidate in cost, the least for the one to try
// first, and whether all of them are full.
func (r Policy) Costs(now time.Time, candidates []Candidate, cost []float64) (full bool) {
	hasty, usual := times(now, candidates)
	full = true
	for i, c := range candidates {
		if cost[i] = 0; r.ByLoad {
			cost[i] = c.cost(now, usual)
		}
		if c.doubtful(now, hasty) {
			cost[i] += doubtCost
		}
		if c.Suspected {
			cost[i] += suspectCost
		}
		full = full && c.full(now) && !c.Suspected
	}
	return full && r.DirectWhenFull && len(candidates) > 0
}

func (c *Candidate) cost(now time.Time, usual time.Duration) float64 {
	cost := c.RequestsPerSlot(now)
	if slowness := float64(c.took) / float64(max(1, usual)); usual > 0 && slowness > slowFactor && c.ReportAge(now) <= reportTTL {
		cost = (cost + 1/c.slots) * slowness
	}
	if c.OtherDomain {
		cost += remoteCost
	}
	return cost
}

// doubtful reports whether the agent's upstream seems to fail requests: it leaves
// them unanswered, or answers in less than a time that is hasty among the candidates.
func (c *Candidate) doubtful(now time.Time, hasty time.Duration) bool {
	if c.slots == 0 || c.ReportAge(now) > doubtTTL {
		return false
	}
	return c.faults >= maxFaults || (c.took > 0 && c.took < hasty)
}

// times returns below what mean time of requests an upstream is hasty, and the
// usual time among the others; 0 if it cannot be told.
func times(now time.Time, candidates []Candidate) (hasty, usual time.Duration) {
	var room [MaxChoices]time.Duration // kept off the heap
	told := room[:0]
	for _, c := range candidates {
		if c.took > 0 && c.ReportAge(now) <= doubtTTL {
			told = append(told, c.took)
		}
	}
	slices.Sort(told)
	if len(told) >= minPeers {
		hasty = told[len(told)/2] / hastyFactor
		told = slices.DeleteFunc(told, func(took time.Duration) bool { return took < hasty })
	}
	if len(told) > 0 {
		usual = told[(len(told)-1)/2]
	}
	return hasty, usual
}
