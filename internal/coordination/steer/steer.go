// Package steer routes the packets of forwarded flows at a balancer to the agents
// that have the flows. The fabric may deliver any packet to any balancer, so the
// flows that a balancer knows are a cache: a packet of an unknown flow is passed
// along the agents in the order of their rank for the flow. The agent that has the
// flow takes the packet and sends the balancer a notice. The package does no I/O.
package steer

import (
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/coriandershift/coriandershift/internal/coordination/budget"
	"github.com/coriandershift/coriandershift/internal/coordination/fleet"
	"github.com/coriandershift/coriandershift/internal/coordination/intake"
	"github.com/coriandershift/coriandershift/internal/coordination/known"
	"github.com/coriandershift/coriandershift/internal/coordination/pick"
	"github.com/coriandershift/coriandershift/internal/coordination/seek"
	"github.com/coriandershift/coriandershift/internal/protocol/fwdmsg"
	"github.com/coriandershift/coriandershift/internal/state/config"
	"github.com/coriandershift/coriandershift/internal/state/flow"
	"github.com/coriandershift/coriandershift/internal/state/pause"
)

const (
	// minOpenTimeout and maxOpenTimeout bound the time that an agent has to send a
	// notice for a new flow before the next agent is tried: at least several round
	// trips between failure domains, at most the 200 ms after which callers
	// retransmit an opening packet.
	minOpenTimeout = 60 * time.Millisecond
	maxOpenTimeout = 200 * time.Millisecond

	// openTimeoutFactor is the ratio of the time that an agent has for a notice to the
	// average delay of notices. A new delay counts 1/noticeDelayWeight in this moving
	// average.
	openTimeoutFactor = 4
	noticeDelayWeight = 8

	// lateTickThreshold is the delay of a tick above which this process is assumed to
	// have lacked processor time, so that notices may wait unread.
	lateTickThreshold = 20 * time.Millisecond

	// lateTickPeriod is the time after a late tick within which the packets that waited in
	// the socket are handled.
	lateTickPeriod = 100 * time.Millisecond

	// maxFlows limits the cached flows, of about 100 bytes each.
	maxFlows = 65536

	// maxPendingOpens limits the opening packets that wait for a notice. Beyond it, as
	// in a flood, they are sent and not stored.
	maxPendingOpens = 8192

	// sweepInterval is the time between two removals of expired cache entries.
	sweepInterval = time.Second

	// closedFlowTTL is the time for which a flow stays cached after its last packet
	// or notice, once its caller has finished or reset it.
	closedFlowTTL = 3 * time.Second

	// defaultIdleTimeout is the time for which idle flows stay cached unless a
	// configuration sets it.
	defaultIdleTimeout = 60 * time.Second
)

// flowEntry is a cached flow.
type flowEntry struct {
	agent           flow.Endpoint
	lastActive      time.Time // time of the last packet or notice
	openingSequence uint32    // sequence number of the opening packet, if sawOpening
	sawOpening      bool      // this balancer saw the opening packet
	closing         bool      // the caller has sent a finish or reset
}

// pendingOpen is an opening packet for which no agent has sent a notice yet.
type pendingOpen struct {
	sentAt   time.Time // to agent; moved on when a timeout is extended
	placedAt time.Time // when it was first sent to agent
	late     bool      // agent has missed the timeout
	counted  bool      // it counts as a missed notice of agent
	packet   []byte
	envelope fwdmsg.Envelope
	agent    flow.Endpoint
}

// Router routes the packets of one balancer. It is not safe for concurrent use.
type Router struct {
	self    flow.Endpoint
	domain  string
	started time.Time
	policy  pick.Policy

	// linkRate is the rate of this balancer's link in bytes per second, 0 if not known.
	linkRate int
	use      linkUse
	budget   *budget.Budget

	// late is the result of linkSlow at latenessCheckedAt.
	late              bool
	latenessCheckedAt time.Time

	observeRoundTrip func(now time.Time, d time.Duration) // may be nil

	// intake decides which new flows the link can carry; nil, which takes all, without linkRate.
	intake *intake.Control

	// waitingOpens are the opening packets of new flows that wait for room on the link.
	waitingOpens map[flow.Key]heldPacket

	// refused are the flows that were refused or dropped for the link.
	refused *simplelru.LRU[flow.Key, refusal]

	cfg         *config.Config
	idleTimeout time.Duration
	routes      map[flow.Endpoint]*config.Route

	// members says when all agents are known, fleet which they are, and seeker finds the
	// flows that this balancer does not know among them.
	members *known.Members
	fleet   *fleet.Fleet
	seeker  *seek.Seeker

	flows        map[flow.Key]*flowEntry
	pendingOpens map[flow.Key]*pendingOpen

	// heldPackets arrived before enough agents were known for placing flows.
	// placementReady is the cached result of canPlaceFlows once it is true.
	heldPackets    []heldPacket
	placementReady bool

	// unrouted are the opening packets to addresses without a route.
	unrouted []heldPacket

	// latestRevision is the highest revision in a message of an agent.
	latestRevision uint64

	// oldestOpen is at or before the sentAt of all pendingOpens. A notice does not
	// update it; the next Tick does.
	oldestOpen time.Time

	noticeDelay time.Duration // moving average of the time from an opening packet to its notice

	lastTick   time.Time
	pause      pause.Detector
	lateTickAt time.Time // the latest tick that came late for an opening packet

	lastSweep time.Time
	actions   []Action
}

// New returns a Router for the balancer at the address self in a failure domain,
// started at now.
func New(self flow.Endpoint, domain string, now time.Time, options ...Option) *Router {
	refused, _ := simplelru.NewLRU[flow.Key, refusal](maxRefused, nil) // fails only for a size below 1
	r := &Router{
		refused:      refused,
		policy:       pick.DefaultPolicy,
		cfg:          &config.Config{},
		started:      now,
		self:         self,
		domain:       domain,
		idleTimeout:  defaultIdleTimeout,
		routes:       map[flow.Endpoint]*config.Route{},
		fleet:        fleet.New(now),
		flows:        map[flow.Key]*flowEntry{},
		pendingOpens: map[flow.Key]*pendingOpen{},
		waitingOpens: map[flow.Key]heldPacket{},
		pause:        pause.Detector{MonotonicOnly: true},
	}
	for _, apply := range options {
		apply(r)
	}
	r.budget = budget.New(r.linkRate)
	r.members = known.New(self, now, func(e flow.Endpoint) bool { return r.fleet.Agent(e) != nil })
	r.seeker = seek.New(self, now, r.fleet, r.budget, seek.WithRoundTripObserver(r.recordRoundTrip))
	r.intake = intake.New(r.linkRate)
	return r
}

// Configure applies a newer configuration. The Router keeps cfg.
func (r *Router) Configure(now time.Time, cfg *config.Config) {
	if cfg.IdleTimeout > 0 {
		r.idleTimeout = cfg.IdleTimeout.Duration()
	}
	routes := make(map[flow.Endpoint]*config.Route, len(cfg.Routes))
	for i := range cfg.Routes {
		routes[flow.EndpointOf(cfg.Routes[i].Address)] = &cfg.Routes[i]
	}
	r.routes = routes
	r.cfg = cfg
	r.fleet.Configure(now, cfg)
	r.seeker.Configure(routes)
	r.seeker.SetOutdated(r.latestRevision > cfg.Revision)
}

// FlowCount returns how many flows are cached.
func (r *Router) FlowCount() int {
	return len(r.flows)
}
