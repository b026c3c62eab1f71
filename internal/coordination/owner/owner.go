// Package owner decides at an agent for the forwarded flows of its one
// upstream. It sees every packet both ways, so it is the gate: limits, the ramp
// of a cold upstream, draining, failure domains that are out and dropped routes
// are enforced at the moment an opening packet would be delivered. It does no I/O.
package owner

import (
	"time"

	"github.com/coriandershift/coriandershift/internal/state/config"
	"github.com/coriandershift/coriandershift/internal/state/flow"
	"github.com/coriandershift/coriandershift/internal/state/queue"
)

const (
	// handshakeTimeout is how long the upstream has to answer an opening packet
	// and the caller to complete the handshake. The one is on the same VM, the
	// other a few milliseconds away. An upstream that does not answer is gone; a
	// caller that does not has given up, and must not keep others out.
	handshakeTimeout = 60 * time.Millisecond

	// offerPeriod is how long after its start an agent asks its upstream about
	// flows that it does not know: as long as a flow may live.
	offerPeriod = 60 * time.Second

	// flowIdleTimeout is how long a flow is remembered after its last packet.
	flowIdleTimeout = 60 * time.Second

	// closedFlowRetention is how long a flow that is closed, or never was completed, is
	// remembered for late packets.
	closedFlowRetention = 5 * time.Second

	// firstAnnouncementTimeout is how long an upstream that lives takes to announce itself
	// to an agent that has just started; its heartbeats come every second or faster.
	firstAnnouncementTimeout = 1200 * time.Millisecond

	// sweepInterval is the time between two passes over the table.
	sweepInterval = time.Second

	// maxFlows bounds the table; about 200 bytes each.
	maxFlows = 16384

	// silentThreshold is the number of opening packets in a row that were not
	// answered or bounced after which the upstream is taken to be silent.
	silentThreshold = 3

	// announcementTimeout is after how long without an announcement the upstream is taken
	// to be silent: several of its heartbeats, which come every second or faster.
	announcementTimeout = 4 * time.Second
)

// Settings are those of one agent.
type Settings struct {
	Self    flow.Endpoint
	Domain  string
	Service string
}

// Owner decides for one agent. It is not safe for concurrent use.
type Owner struct {
	settings    Settings
	serviceHash uint32
	startedAt   time.Time

	cfg                *config.Config
	routes             map[flow.Endpoint]*config.Route
	domainOut          bool // the failure domain is out
	limits             config.Limits
	upstream           *flow.Announcement
	departed           *flow.Announcement // the incarnation that said goodbye
	notListening       bool               // nothing listens at the upstream's address
	lastAnnouncementAt time.Time
	coldUntil          time.Time
	ramp               ramp
	stopping           bool

	flows      map[flow.Key]*entry
	handshakes map[flow.Key]*entry // those in their handshake
	requests   int                 // flows that the upstream works for, or soon will

	connections int // flows that the upstream holds

	failedOpenings      int // opening packets in a row without an answer
	backlog             queue.Backlog
	meanServiceTime     time.Duration // mean time of a request at the upstream
	failureRate         failureRate
	offers              offers
	mayHoldEarlierFlows bool // the upstream may have flows from before the agent's start

	lastSweep   time.Time
	lastTick    time.Time
	actions     []Action
	completions []Completion
}

// New returns an Owner that knows neither its upstream nor a configuration.
func New(settings Settings, now time.Time) *Owner {
	return &Owner{
		settings:    settings,
		serviceHash: config.ServiceHash(settings.Service),
		startedAt:   now,
		cfg:         &config.Config{},
		routes:      map[flow.Endpoint]*config.Route{},
		flows:       map[flow.Key]*entry{},
		handshakes:  map[flow.Key]*entry{},
		offers:      offers{byTag: map[uint32]offer{}, byKey: map[flow.Key]uint32{}},
	}
}

// Configure takes a newer configuration into use and returns the resets of
// flows whose route it drops.
func (o *Owner) Configure(now time.Time, cfg *config.Config) []Action {
	o.actions = o.actions[:0]
	o.cfg = cfg
	o.domainOut = cfg.IsDomainOut(o.settings.Domain)
	if s, known := cfg.Service(o.settings.Service); known {
		o.limits = s.Limits
	}
	o.ramp.setLimit(o.limits.ColdPerSecond)

	o.routes = make(map[flow.Endpoint]*config.Route, len(cfg.Routes))
	for i := range cfg.Routes {
		o.routes[flow.EndpointOf(cfg.Routes[i].Address)] = &cfg.Routes[i]
	}
	for key, e := range o.flows {
		if o.routes[key.Service] == nil {
			o.removeFlow(key, e)
			o.resetCaller(key, e.callerAck, RouteDropped)
		}
	}
	return o.actions
}

// Stop says that the process is about to end: new flows go to others. If the
// upstream has ended before, its callers learn it at once.
func (o *Owner) Stop(now time.Time) []Action {
	o.actions = o.actions[:0]
	o.stopping = true
	o.forwardWaiting(now, AgentStopping)
	if o.upstream == nil && o.departed != nil {
		o.resetAllFlows(UpstreamGone)
	}
	return o.actions
}

func (o *Owner) resetCaller(key flow.Key, sequence uint32, reason Reason) {
	o.actions = append(o.actions, Action{Kind: Reset, Reason: reason, Key: key, Sequence: sequence, Load: o.requests})
}

// RequestCount returns how many requests the upstream works on or will soon.
func (o *Owner) RequestCount() int {
	return o.requests
}

// FlowCount returns how many flows are known.
func (o *Owner) FlowCount() int {
	return len(o.flows)
}

// TakeCompletions returns the requests that ended since the last call.
func (o *Owner) TakeCompletions() []Completion {
	done := o.completions
	o.completions = nil
	return done
}
