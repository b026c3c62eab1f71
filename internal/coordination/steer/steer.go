// Package steer decides at a balancer where the packets of forwarded flows go.
// The fabric may hand any packet to any balancer, so what a balancer remembers
// of flows is a cache: a packet of an unknown flow goes along the ranks of its
// flow until the agent that has it answers with a note. It does no I/O.
package steer

import (
	"time"

	"github.com/coriandershift/coriandershift/internal/coordination/pick"
	"github.com/coriandershift/coriandershift/internal/protocol/fwdmsg"
	"github.com/coriandershift/coriandershift/internal/state/config"
	"github.com/coriandershift/coriandershift/internal/state/flow"
)

const (
	// minOpenTimeout and maxOpenTimeout bound how long an agent has to note a new
	// flow before the next one is tried: several round trips between failure
	// domains, and the 200 ms after which callers repeat an opening packet.
	minOpenTimeout = 60 * time.Millisecond
	maxOpenTimeout = 200 * time.Millisecond

	// openTimeoutFactor is by how much it exceeds the usual time to a note, and
	// noteWeight the weight of old times against a new one.
	openTimeoutFactor = 4
	noticeDelayWeight = 8

	// lateTickThreshold is by how much a tick may be late before this process is taken to
	// lack processor time, so that notes may wait unread.
	lateTickThreshold = 20 * time.Millisecond

	// maxFlows bounds the cache; about 100 bytes each.
	maxFlows = 65536

	// maxPendingOpens bounds the opening packets that wait for a note. Beyond it, as in a
	// flood, they are sent and not remembered.
	maxPendingOpens = 8192

	// sweepInterval is the time between two passes over the cache.
	sweepInterval = time.Second

	// closedFlowTTL is how long a flow is cached after its caller's last packet was seen.
	closedFlowTTL = 3 * time.Second

	// defaultIdleTimeout is how long flows are cached while no configuration says it.
	defaultIdleTimeout = 60 * time.Second
)

type flowEntry struct {
	agent           flow.Endpoint
	lastActive      time.Time
	openingSequence uint32 // of the opening packet, if it was seen
	sawOpening      bool   // the opening packet was seen
	closing         bool
}

// pendingOpen is an opening packet that no agent has noted yet.
type pendingOpen struct {
	sentAt   time.Time
	packet   []byte
	envelope fwdmsg.Envelope
	agent    flow.Endpoint
}

// Router decides for one balancer. It is not safe for concurrent use.
type Router struct {
	self    flow.Endpoint
	domain  string
	started time.Time
	policy  pick.Policy

	cfg           *config.Config
	idleTimeout   time.Duration
	routes        map[flow.Endpoint]*config.Route
	services      map[string]*service
	agents        map[flow.Endpoint]*agent
	agentsVersion uint64 // grows with every change of the agents that may hold flows

	// formerServices are the services that addresses led to in earlier configurations.
	formerServices map[flow.Endpoint][]string

	flows        map[flow.Key]*flowEntry
	pendingOpens map[flow.Key]*pendingOpen

	// heldPackets are packets from before the balancer knew enough for placing flows.
	heldPackets    []heldPacket
	placementReady bool

	// oldestOpen is not after the time of any of opens.
	oldestOpen time.Time

	noticeDelay time.Duration // usual time to a note

	// searches are the flows that were looked for and not found yet; active says
	// that some may need ticks.
	searchesActive bool
	searches       map[flow.Key]*search
	queries        map[uint16]*query
	lastQueryID    uint16

	// expected are the members that were known before the start, if counted;
	// agreed says that a balancer which knew all members has the same list, settled
	// that all agents are known. balancers are this one and the others, with
	// whether they knew all agents when they were first heard of.
	expected    []flow.Endpoint
	balancers   map[flow.Endpoint]bool
	expectedSet bool
	synced      bool
	converged   bool
	lastTick    time.Time

	lastSweep time.Time
	actions   []Action
}

// New returns a Router for the balancer at an address and failure domain.
func New(self flow.Endpoint, domain string, now time.Time, options ...Option) *Router {
	r := &Router{
		policy:         pick.DefaultPolicy,
		cfg:            &config.Config{},
		started:        now,
		self:           self,
		domain:         domain,
		idleTimeout:    defaultIdleTimeout,
		routes:         map[flow.Endpoint]*config.Route{},
		services:       map[string]*service{},
		agents:         map[flow.Endpoint]*agent{},
		balancers:      map[flow.Endpoint]bool{},
		flows:          map[flow.Key]*flowEntry{},
		pendingOpens:   map[flow.Key]*pendingOpen{},
		searches:       map[flow.Key]*search{},
		queries:        map[uint16]*query{},
		formerServices: map[flow.Endpoint][]string{},
	}
	for _, apply := range options {
		apply(r)
	}
	return r
}

// Option changes a new Router.
type Option func(*Router)

// WithPolicy sets how agents are chosen for new flows. Rule.Choices is at most pick.MaxChoices.
func WithPolicy(rule pick.Policy) Option {
	return func(r *Router) {
		rule.Choices = min(rule.Choices, pick.MaxChoices)
		r.policy = rule
	}
}

// Configure takes a newer configuration into use.
func (r *Router) Configure(cfg *config.Config) {
	if cfg.IdleTimeout > 0 {
		r.idleTimeout = cfg.IdleTimeout.Duration()
	}
	routes := make(map[flow.Endpoint]*config.Route, len(cfg.Routes))
	for i := range cfg.Routes {
		routes[flow.EndpointOf(cfg.Routes[i].Address)] = &cfg.Routes[i]
	}
	r.recordFormerServices(routes)
	r.routes = routes
	r.cfg = cfg
	for _, svc := range r.services {
		svc.updateCandidates(cfg)
	}
}

// EligibleAgentCount returns how many agents take new flows.
func (r *Router) EligibleAgentCount() int {
	count := 0
	for _, svc := range r.services {
		count += len(svc.eligible)
	}
	return count
}

// FlowCount returns how many flows are cached.
func (r *Router) FlowCount() int {
	return len(r.flows)
}
