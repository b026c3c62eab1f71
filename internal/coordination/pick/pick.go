// Package pick orders the agents that may take a new flow, so that the one
// expected to answer it first is tried first. It evens out short imbalances of load,
// which arise by chance or from slow upstreams, and reduces the cost of a short
// overload of a whole service; docs/PLATFORM.md has the measurements.
package pick

import (
	"slices"
	"time"
)

const (
	// reportTTL is how long a reported load counts. Within a second an upstream
	// answers several times as many requests as it runs at once, so that an older
	// report says nothing.
	reportTTL = time.Second

	// fullTTL is how long a report of a full upstream counts, about the duration
	// of one request. After that the upstream is likely to have a free slot.
	fullTTL = 100 * time.Millisecond

	// slowFactor is the ratio of an upstream's mean duration to the typical one
	// above which the upstream counts as slow. Smaller ratios arise by chance from
	// a few long requests.
	slowFactor = 1.5

	// slowTTL is how long a report makes an upstream count as slow. A slow upstream gets few
	// flows, and each balancer hears only of its own, so that older reports would hide for
	// long that it is fast again.
	slowTTL = 400 * time.Millisecond

	// remoteCost, in requests per slot, is added for an agent in another failure
	// domain. It breaks ties in favour of the balancer's own domain, within which
	// traffic is free.
	remoteCost = 0.02

	// suspectCost is added for a suspected agent. It exceeds the cost of any load.
	suspectCost = 1000

	// failingCost is added for an agent whose upstream seems to fail. It exceeds the
	// cost of any load and is less than suspectCost, so that the agent is tried after
	// healthy agents and before suspected ones. Full agents still pass flows on to it,
	// so that a false alarm costs a hop but no capacity.
	failingCost = 500

	// failingTTL is how long a report counts for deciding that an upstream seems to
	// fail. After that one flow tries the upstream again.
	failingTTL = 5 * time.Second

	// failingPercent is the percentage of unanswered requests from which an upstream
	// seems to fail. Some requests stay unanswered at any upstream, because their
	// callers abandon them.
	failingPercent = 20

	// fastFailFactor is how many times shorter than the median an upstream's mean
	// duration must be for the upstream to seem to fail. Errors are answered at once,
	// so that without this rule a failing upstream would get the most flows.
	fastFailFactor = 4

	// minPeers is the minimum number of upstreams with a known duration for applying
	// fastFailFactor. Of two, the other may just as well be slow.
	minPeers = 3
)

// Policy says how agents are ordered.
type Policy struct {
	// Choices is the number of highest ranked agents of a flow to choose from.
	Choices int

	// ByLoad orders agents by their expected wait, the shortest first; otherwise the
	// ranks decide.
	ByLoad bool

	// DirectWhenFull sends a flow directly to the agent with the shortest expected
	// wait when all choices are full.
	DirectWhenFull bool
}

// DefaultPolicy is the policy of balancers.
var DefaultPolicy = Policy{Choices: MaxChoices, ByLoad: true, DirectWhenFull: true}

// MaxChoices bounds Policy.Choices. The search for an unknown flow starts with at
// least as many of the flow's highest ranked agents.
const MaxChoices = 4

// LoadReport is an agent's report on the load of its upstream.
type LoadReport struct {
	// Requests is the number of requests that run or wait at the upstream, Slots the
	// number that it runs at once.
	Requests, Slots int

	// MeanDuration is the mean time of a request, 0 if it has answered none.
	MeanDuration time.Duration

	// UnansweredPercent is the percentage of requests that it leaves unanswered.
	UnansweredPercent int
}

// Load is what a balancer knows of the load of one agent. The zero Load is that
// of an agent that has not reported.
type Load struct {
	requests, slots   float64
	placed            float64   // flows placed since the report
	placedAt          time.Time // when the last of them was placed
	meanDuration      time.Duration
	unansweredPercent int
	reportedAt        time.Time
}

// SetReport replaces the load by what the agent reported.
func (l *Load) SetReport(now time.Time, r LoadReport) {
	*l = Load{requests: float64(r.Requests), slots: float64(max(1, r.Slots)), meanDuration: r.MeanDuration, unansweredPercent: r.UnansweredPercent, reportedAt: now}
}

// CountPlaced counts a flow placed with the agent since its report.
func (l *Load) CountPlaced(now time.Time) {
	l.placed = l.recentlyPlaced(now) + 1
	l.placedAt = now
}

// recentlyPlaced returns the flows placed since the report, 0 if the last of them is
// older than reportTTL: an agent whose reports were lost is not avoided for good.
func (l *Load) recentlyPlaced(now time.Time) float64 {
	if now.Sub(l.placedAt) > reportTTL {
		return 0
	}
	return l.placed
}

// ReportAge returns how old the report is, 0 if there is none.
func (l *Load) ReportAge(now time.Time) time.Duration {
	if l.reportedAt.IsZero() {
		return 0
	}
	return now.Sub(l.reportedAt)
}

// RequestsPerSlot returns the expected number of requests per slot: those reported,
// unless the report is older than reportTTL, and the flows placed since. It counts
// one slot if the agent has not reported.
func (l *Load) RequestsPerSlot(now time.Time) float64 {
	placed := l.recentlyPlaced(now)
	if l.slots == 0 {
		return placed
	}
	if now.Sub(l.reportedAt) > reportTTL {
		return placed / l.slots
	}
	return (l.requests + placed) / l.slots
}

// full reports whether a recent report shows no free slot.
func (l *Load) full(now time.Time) bool {
	return l.slots > 0 && now.Sub(l.reportedAt) <= fullTTL && l.requests >= l.slots
}

// Candidate is one agent for a new flow.
type Candidate struct {
	*Load

	// OtherDomain reports whether the agent is in another failure domain than the balancer.
	OtherDomain bool

	// Suspected reports whether the agent left opening packets unanswered.
	Suspected bool
}

// Costs writes the cost of each candidate to cost, which must have the length of
// candidates; the one with the least cost is to be tried first. direct says that all
// candidates are full and that the flow is to be sent to that one only.
func (p Policy) Costs(now time.Time, candidates []Candidate, cost []float64) (direct bool) {
	minPlausible, typical := durationLimits(now, candidates)
	direct = true
	for i, c := range candidates {
		if cost[i] = 0; p.ByLoad {
			cost[i] = c.cost(now, typical)
		}
		if c.seemsFailing(now, minPlausible) {
			cost[i] += failingCost
		}
		if c.Suspected {
			cost[i] += suspectCost
		}
		direct = direct && c.full(now) && !c.Suspected
	}
	return direct && p.DirectWhenFull && len(candidates) > 0
}

func (c *Candidate) cost(now time.Time, typical time.Duration) float64 {
	cost := c.RequestsPerSlot(now)
	if slowness := float64(c.meanDuration) / float64(max(1, typical)); typical > 0 && slowness > slowFactor && c.ReportAge(now) <= slowTTL {
		cost = (cost + 1/c.slots) * slowness // counts the new flow too, so that an idle slow upstream has a cost
	}
	if c.OtherDomain {
		cost += remoteCost
	}
	return cost
}

// seemsFailing reports whether the agent's upstream seems to fail requests: it leaves
// too many unanswered, or its mean duration is below minPlausible.
func (c *Candidate) seemsFailing(now time.Time, minPlausible time.Duration) bool {
	if c.slots == 0 || c.ReportAge(now) > failingTTL {
		return false
	}
	return c.unansweredPercent >= failingPercent || (c.meanDuration > 0 && c.meanDuration < minPlausible)
}

// durationLimits returns the mean duration of requests below which an upstream
// seems to fail, and the median of the mean durations that are not below it. Either
// is 0 if too few are known.
func durationLimits(now time.Time, candidates []Candidate) (minPlausible, typical time.Duration) {
	var buffer [MaxChoices]time.Duration // kept off the heap
	durations := buffer[:0]
	for _, c := range candidates {
		if c.meanDuration > 0 && c.ReportAge(now) <= failingTTL {
			durations = append(durations, c.meanDuration)
		}
	}
	slices.Sort(durations)
	if len(durations) >= minPeers {
		minPlausible = durations[len(durations)/2] / fastFailFactor
		durations = slices.DeleteFunc(durations, func(d time.Duration) bool { return d < minPlausible })
	}
	if len(durations) > 0 {
		typical = durations[(len(durations)-1)/2]
	}
	return minPlausible, typical
}
