// Package seek searches for the agents that have the flows of packets which the fabric
// delivered to a balancer that does not know them. A packet is passed along the agents that
// most likely have its flow; if none of them has it, all agents that may have it are asked.
// Only once each has answered that it does not is a flow gone. The package does no I/O.
package seek

import (
	"math/rand/v2"
	"time"

	"github.com/coriandershift/coriandershift/internal/coordination/budget"
	"github.com/coriandershift/coriandershift/internal/coordination/fleet"
	"github.com/coriandershift/coriandershift/internal/state/config"
	"github.com/coriandershift/coriandershift/internal/state/delay"
	"github.com/coriandershift/coriandershift/internal/state/flow"
	"github.com/coriandershift/coriandershift/internal/state/roster"
)

const (
	// maxChainTimeout is the longest time allowed for passing the packet along the chain: a
	// few hops between failure domains, and some queueing.
	maxChainTimeout = 100 * time.Millisecond

	// tickInterval is the time between two ticks while flows are searched for, unless
	// something is due before.
	tickInterval = 50 * time.Millisecond

	// batchDelay is the time for which a flow waits for others that are asked about in the
	// same query. Flows that are lost together come back from their agents together.
	batchDelay = 5 * time.Millisecond

	// questionTime is the time by which each question delays the next query, up to a
	// tickInterval. It limits the processor time that balancer and agents spend while many
	// flows are lost one by one: more of them are asked about together.
	questionTime = 100 * time.Microsecond

	// queryTimeout is the time that agents have to answer a query or an offered packet.
	queryTimeout = 400 * time.Millisecond

	// maxSilence is the longest silence after which queries stop waiting for an agent that
	// holds no flows: it answers at once if it is alive, and if it is not, no flow is
	// missed. The silence may have begun with an earlier query.
	maxSilence = 150 * time.Millisecond

	// minReplyDelay is the least time that such an agent has to answer a query even so, in
	// case that it has come back. It has twice as long as the others took, if that is more.
	minReplyDelay = 5 * time.Millisecond

	// maxResendDelay is the longest time after which a query is repeated to the agents that
	// have not replied.
	maxResendDelay = 100 * time.Millisecond

	// minTimeout is the least value of the timeouts that follow measured times: an agent
	// may have to wait for the processor.
	minTimeout = 20 * time.Millisecond

	// retryDelay is the time after which an inconclusive search asks again without
	// another packet of the caller, and retryPeriod how long after the caller's last
	// packet it does so. Callers retransmit a packet after 1.6 s at the latest.
	retryDelay  = 200 * time.Millisecond
	retryPeriod = 1800 * time.Millisecond

	// maxRetryDoublings limits the doublings of retryDelay on a link with a budget.
	maxRetryDoublings = 3

	// searchTTL is the time after the caller's last packet at which a search is removed.
	searchTTL = 4 * time.Second

	// maxAskedAtOnce limits the agents that are asked about a flow at once; the others
	// are asked after those have replied.
	maxAskedAtOnce = 256

	// maxQueriedAgents limits the agents that are asked about a flow. A balancer that
	// knew few agents may have placed the flow at any of them, so with more agents than
	// this a flow is never declared gone.
	maxQueriedAgents = 4096

	// maxSearches limits the searches that are kept, of up to 1.2 KB each. Beyond
	// maxUnroutedSearches none begins for a flow whose address has no route, so that packets
	// to arbitrary addresses leave room for the others.
	maxSearches         = 2048
	maxUnroutedSearches = maxSearches / 2

	// replyDelayFactor is the ratio of the time that agents have for replies to the
	// average delay of notices, and maxReplyTimeout the longest such time on a slow link:
	// callers repeat data after 1.6 s at the latest.
	replyDelayFactor = 3
	maxReplyTimeout  = 1500 * time.Millisecond
)

// Seeker searches for the flows of one balancer. It is not safe for concurrent use.
type Seeker struct {
	self   flow.Endpoint
	fleet  *fleet.Fleet
	budget *budget.Budget
	routes map[flow.Endpoint]*config.Route

	observeRoundTrip func(now time.Time, d time.Duration) // may be nil

	// converged says that the fleet has had all agents. Until incompleteUntil it may lack
	// some again; awaitsAgents says that searches are to ask again after that.
	converged       bool
	incompleteUntil time.Time
	awaitsAgents    bool

	// outdated says that a later configuration than the one in force is known to exist.
	outdated bool

	// noticeDelay is the average time from an opening packet to its notice.
	noticeDelay time.Duration

	// active says that some searches may need ticks. due is when the searches are to
	// advance before the next regular tick, zero if nothing is due, and lastTick the latest
	// tick.
	active        bool
	due, lastTick time.Time

	// nextQueryAt is the earliest time of the next query.
	nextQueryAt time.Time

	searches    map[flow.Key]*search
	queries     map[uint16]*query
	delegations map[uint16]*delegation // by the QueryID of the DelegatedQuery
	lastQueryID uint16                 // starts elsewhere in each process, so that late replies to an earlier one do not fit
	random      *rand.Rand

	// chainTimeout is the time allowed for a chain. resendDelay is the time after which
	// questions are repeated, and silence that after which an agent without flows is not
	// waited for.
	chainTimeout, resendDelay, silence delay.Timeout

	outcomes []Outcome
}

// Option configures a new Seeker.
type Option func(*Seeker)

// WithRoundTripObserver has observe called for each direct reply to a question. now is when
// it was handled, d the time since the question.
func WithRoundTripObserver(observe func(now time.Time, d time.Duration)) Option {
	return func(s *Seeker) { s.observeRoundTrip = observe }
}

// New returns a Seeker for the balancer at the address self, started at now, whose agents
// and budget for own messages are given.
func New(self flow.Endpoint, now time.Time, agents *fleet.Fleet, own *budget.Budget, options ...Option) *Seeker {
	s := &Seeker{
		self:         self,
		fleet:        agents,
		budget:       own,
		searches:     map[flow.Key]*search{},
		queries:      map[uint16]*query{},
		delegations:  map[uint16]*delegation{},
		lastQueryID:  uint16(now.UnixMilli()),
		random:       rand.New(rand.NewPCG(roster.HashAddress(self.AddrPort()), uint64(now.UnixNano()))),
		chainTimeout: delay.Timeout{Factor: 2, Floor: minTimeout, Ceiling: maxChainTimeout},
		resendDelay:  delay.Timeout{Factor: 2, Floor: minTimeout, Ceiling: maxResendDelay},
		silence:      delay.Timeout{Factor: 4, Floor: 2 * minTimeout, Ceiling: maxSilence},
	}
	for _, apply := range options {
		apply(s)
	}
	return s
}

// Configure sets the routes in force by their addresses, which the Seeker keeps.
func (s *Seeker) Configure(routes map[flow.Endpoint]*config.Route) {
	s.routes = routes
}

// SetOutdated sets whether a later configuration than the one in force is known to exist.
func (s *Seeker) SetOutdated(outdated bool) {
	s.outdated = outdated
}

// routeOf returns the route of an address, without services if there is none.
func (s *Seeker) routeOf(address flow.Endpoint) *config.Route {
	if route := s.routes[address]; route != nil {
		return route
	}
	return &config.Route{Address: address.AddrPort()}
}

// SetNoticeDelay sets the average time from an opening packet to its notice. On a link
// whose rate is known, replies take as long.
func (s *Seeker) SetNoticeDelay(d time.Duration) {
	s.noticeDelay = d
}

// Converge takes the fleet as complete from now on. Searches that ended without a result
// before are queued for another query, so that their callers get an answer.
func (s *Seeker) Converge(now time.Time) {
	s.converged = true
	s.queueEnded(now)
}

// SetIncompleteUntil sets until when the fleet may lack agents although it had all before.
// No flow counts as gone until then.
func (s *Seeker) SetIncompleteUntil(until time.Time) {
	s.incompleteUntil = until
}

// knowsAllAgents reports whether the fleet is taken as complete.
func (s *Seeker) knowsAllAgents(now time.Time) bool {
	return s.converged && !now.Before(s.incompleteUntil)
}

// queueEnded queues the searches that ended without a result for another query.
func (s *Seeker) queueEnded(now time.Time) {
	for _, r := range s.searches {
		if r.state == stateEnded {
			r.enter(stateQueued, now)
		}
	}
}

// Active reports whether searches need ticks.
func (s *Seeker) Active() bool {
	return s.active
}

// NextTick returns when Tick is due, and false if nothing is pending.
func (s *Seeker) NextTick() (time.Time, bool) {
	var due time.Time
	if s.active {
		due = s.lastTick.Add(tickInterval)
	}
	if !s.due.IsZero() && (due.IsZero() || s.due.Before(due)) {
		due = s.due
	}
	return due, !due.IsZero()
}

// Tick advances the searches. The outcomes are valid until the next call.
func (s *Seeker) Tick(now time.Time) []Outcome {
	s.outcomes = s.outcomes[:0]
	s.lastTick = now
	s.due = time.Time{}
	s.advance(now)
	s.active = s.needsTicks(now)
	return s.outcomes
}

// advanceAt has the searches advance at a later time, if that is before the next regular
// tick.
func (s *Seeker) advanceAt(now, due time.Time) {
	if due.After(now) && (s.due.IsZero() || due.Before(s.due)) {
		s.due = due
	}
}

// replyTimeout extends a timeout for replies while they are known to take longer.
func (s *Seeker) replyTimeout(timeout time.Duration) time.Duration {
	if !s.budget.IsLimited() {
		return timeout
	}
	return max(timeout, min(replyDelayFactor*s.noticeDelay, maxReplyTimeout))
}

func (s *Seeker) add(o Outcome) {
	s.outcomes = append(s.outcomes, o)
}

// Sweep removes the searches whose callers have sent nothing for a while.
func (s *Seeker) Sweep(now time.Time) {
	for key, r := range s.searches {
		if now.Sub(r.packetAt) > searchTTL {
			delete(s.searches, key)
		}
	}
}
