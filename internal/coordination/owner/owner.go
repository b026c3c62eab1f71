// Package owner decides, at the agent of one upstream, what happens to the packets
// of forwarded flows. It sees every packet in both directions, so it enforces
// admission: limits, the ramp of a cold upstream, draining, dropped routes and
// failure domains that operators have taken out are checked whenever an opening
// packet is about to be delivered. It does no I/O: its methods return actions for
// the transport to carry out.
package owner

import (
	"time"

	"github.com/coriandershift/coriandershift/internal/state/config"
	"github.com/coriandershift/coriandershift/internal/state/flow"
	"github.com/coriandershift/coriandershift/internal/state/pause"
	"github.com/coriandershift/coriandershift/internal/state/queue"
)

const (
	// handshakeTimeout is the time within which the upstream must answer an opening
	// packet and the caller must complete the handshake. The upstream is on the same
	// VM, the caller a few milliseconds away. An upstream that does not answer is
	// gone; a caller that does not has given up and must not take up capacity.
	handshakeTimeout = 60 * time.Millisecond

	// offerPeriod is the time after the agent's start in which packets of unknown
	// flows are offered to the upstream, which may hold flows from before the start.
	// It equals the longest lifetime of a flow.
	offerPeriod = 60 * time.Second

	// flowIdleTimeout is how long a flow stays in the table after its last packet.
	flowIdleTimeout = 60 * time.Second

	// closedFlowRetention is how long a flow that is closed, or whose handshake was
	// never completed, stays in the table for late packets.
	closedFlowRetention = 5 * time.Second

	// firstAnnouncementTimeout is the time within which a running upstream announces
	// itself to an agent that has just started. Announcements come at least once a second.
	firstAnnouncementTimeout = 1200 * time.Millisecond

	// sweepInterval is the time between two passes that remove old flows and offers.
	sweepInterval = time.Second

	// maxFlows is the largest number of flows in the table. Each takes about 500 bytes.
	maxFlows = 16384

	// silentThreshold is the number of consecutive opening packets, each unanswered
	// or bounced, after which the upstream counts as silent.
	silentThreshold = 3

	// announcementTimeout is the time without an announcement after which the upstream
	// counts as silent. It spans several announcements, which come at least once a second.
	announcementTimeout = 4 * time.Second
)

// Settings describe the agent.
type Settings struct {
	Self    flow.Endpoint // the address at which balancers and other agents reach it
	Domain  string        // its failure domain
	Service string        // the service of its upstream
}

// Owner holds the state of the forwarded flows of one agent's upstream. It is not
// safe for concurrent use.
type Owner struct {
	settings    Settings
	serviceHash uint32
	startedAt   time.Time

	cfg                *config.Config
	routes             map[flow.Endpoint]*config.Route
	domainOut          bool   // the agent's failure domain is out
	latestRevision     uint64 // the highest revision in a message of a balancer
	limits             config.Limits
	upstream           *flow.Announcement
	departed           *flow.Announcement // the last announcement of an incarnation that announced its departure
	departedAt         time.Time          // when departed did so
	departureDoubtful  bool               // departed may live on
	ignored            *flow.Announcement // the last one of another incarnation while upstream was silent
	notListening       bool               // nothing listens at the upstream's address
	lastAnnouncementAt time.Time
	coldUntil          time.Time // when the upstream's warm-up ends
	ramp               ramp
	stopping           bool

	flows      map[flow.Key]*entry
	handshakes map[flow.Key]*entry // the flows whose handshake is not complete
	requests   int                 // flows whose request the upstream runs, or is about to get

	arriving     map[flow.Key]*entry // flows whose request still arrives
	awaitingData int                 // flows of arriving that have sent no data yet
	weight       int                 // the sum of the weights of running and arriving flows
	arrivals     map[flow.Endpoint]*routeArrivals

	connections int // flows at the upstream that are not closed

	failedOpenings      int // consecutive opening packets that were unanswered or bounced
	backlog             queue.Backlog
	contendedAt         time.Time     // when a flow last found no room, but for a caller that dominates
	backlogEmptyAt      time.Time     // when the backlog was last known to be empty, but for a caller that dominates it
	serviceTimes        durationMean  // times from the last data of a request to its answer
	meanHandshake       time.Duration // moving average of the time of a handshake
	failureRate         failureRate
	offers              offers
	mayHoldEarlierFlows bool // the upstream may hold flows from before the agent's start

	lastSweep   time.Time
	lastTick    time.Time
	pause       pause.Detector
	actions     []Action
	completions []Completion
}

// New returns an Owner that has neither an upstream nor a configuration yet.
func New(settings Settings, now time.Time) *Owner {
	return &Owner{
		settings:    settings,
		serviceHash: config.ServiceHash(settings.Service),
		startedAt:   now,
		cfg:         &config.Config{},
		routes:      map[flow.Endpoint]*config.Route{},
		flows:       map[flow.Key]*entry{},
		handshakes:  map[flow.Key]*entry{},
		arriving:    map[flow.Key]*entry{},
		arrivals:    map[flow.Endpoint]*routeArrivals{},
		offers:      offers{byTag: map[uint32]offer{}, byKey: map[flow.Key]uint32{}},
	}
}

// Configure applies a newer configuration and returns resets for the flows whose
// route was dropped. The actions are valid until the next call.
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
	for address := range o.arrivals {
		if o.routes[address] == nil {
			delete(o.arrivals, address)
		}
	}
	o.resetDropped(now)
	return o.actions
}

// Stop prepares for the end of the process: from now on, new flows go to other
// agents. If the upstream has departed, the callers of its flows are reset at once.
// The actions are valid until the next call.
func (o *Owner) Stop(now time.Time) []Action {
	o.actions = o.actions[:0]
	o.stopping = true
	o.forwardWaiting(now, AgentStopping)
	if o.NoFlows() {
		o.resetAllFlows(UpstreamGone)
	}
	return o.actions
}

func (o *Owner) resetCaller(key flow.Key, sequence uint32, reason Reason) {
	o.actions = append(o.actions, Action{Kind: Reset, Reason: reason, Key: key, Sequence: sequence, Load: o.load()})
}

// RequestCount returns the number of requests that the upstream runs or is about to get,
// those included whose data still arrives.
func (o *Owner) RequestCount() int {
	return o.requests + len(o.arriving)
}

// ArrivingCount returns the number of requests whose data still arrives.
func (o *Owner) ArrivingCount() int {
	return len(o.arriving)
}

// FlowCount returns the number of flows in the table, closed ones included.
func (o *Owner) FlowCount() int {
	return len(o.flows)
}

// TakeCompletions returns the requests that ended since the last call.
func (o *Owner) TakeCompletions() []Completion {
	done := o.completions
	o.completions = nil
	return done
}
