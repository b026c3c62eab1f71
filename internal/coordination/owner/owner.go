// Package owner decides at an agent for the forwarded flows of its one
// upstream. It sees every packet both ways, so it is the gate: limits, the ramp
// of a cold upstream, draining, failure domains that are out and dropped routes
// are enforced at the moment an opening packet would be delivered. It does no I/O.
package owner

import (
	"time"

	"github.com/coriandershift/coriandershift/internal/protocol/hop"
	"github.com/coriandershift/coriandershift/internal/state/backlog"
	"github.com/coriandershift/coriandershift/internal/state/config"
	"github.com/coriandershift/coriandershift/internal/state/flow"
)

const (
	// handshakeTimeout is how long the upstream has to answer an opening packet
	// and the caller to complete the handshake. The one is on the same VM, the
	// other a few milliseconds away. An upstream that does not answer is gone; a
	// caller that does not has given up, and must not keep others out.
	handshakeTimeout = 60 * time.Millisecond

	// offerFor is how long after its start an agent asks its upstream about
	// flows that it does not know: as long as a flow may live.
	offerFor = 60 * time.Second

	// forgetAfter is how long a flow is remembered after its last packet.
	forgetAfter = 60 * time.Second

	// closedLinger is how long a closed flow is remembered for late packets.
	closedLinger = 5 * time.Second

	// firstAnnouncement is how long an upstream that lives takes to announce itself
	// to an agent that has just started; its heartbeats come every second or faster.
	firstAnnouncement = 1200 * time.Millisecond

	// sweepEvery is the time between two passes over the table.
	sweepEvery = time.Second

	// maxFlows bounds the table; about 200 bytes each.
	maxFlows = 16384

	// silentAfter is the number of opening packets in a row that were not
	// answered or bounced after which the upstream is taken to be silent.
	silentAfter = 3

	// lapseAfter is after how long without an announcement the upstream is taken
	// to be silent: several of its heartbeats, which come every second or faster.
	lapseAfter = 4 * time.Second
)

// Verb is what becomes of a packet.
type Verb uint8

// The verbs.
const (
	// Drop throws the packet away.
	Drop Verb = iota
	// Deliver gives it to the upstream.
	Deliver
	// Answer sends the upstream's packet to the caller.
	Answer
	// Forward hands it to another agent, or back to the balancer.
	Forward
	// Tell sends a note to the balancer.
	Tell
	// Reset tells the caller that the flow does not exist.
	Reset
	// Hold keeps an opening packet until the upstream has room.
	Hold
)

// Action is a decision. Reason is empty for packets of known flows.
type Action struct {
	Verb     Verb
	Reason   Reason
	Key      flow.Key
	To       flow.Endpoint
	Envelope hop.Envelope
	Packet   []byte

	// Tag is what to mark a delivered packet with.
	Tag uint32

	// Sequence is that of a reset.
	Sequence uint32

	// Load is the number of requests at the upstream.
	Load int
}

// Reason says why a packet went where it did.
type Reason string

// The reasons.
const (
	Opened       Reason = "opened"
	Offered      Reason = "offered"
	Found        Reason = "found"
	NotHeld      Reason = "notHeld"
	NoUpstream   Reason = "noUpstream"
	Silent       Reason = "upstreamSilent"
	WrongService Reason = "wrongService"
	RouteDropped Reason = "routeDropped"
	DomainOut    Reason = "domainOut"
	Leaving      Reason = "upstreamDraining"
	Stopping     Reason = "agentStopping"
	Cold         Reason = "coldLimit"
	Full         Reason = "full"
	Queued       Reason = "queued"
	Expired      Reason = "expired"
	Overloaded   Reason = "overloaded"
	Bounced      Reason = "bounced"
	NoAnswer     Reason = "noAnswer"
	Gone         Reason = "upstreamGone"
	TableFull    Reason = "tableFull"
	Unconfigured Reason = "unconfigured"
)

// Settings are those of one agent.
type Settings struct {
	Self    flow.Endpoint
	Domain  string
	Service string
}

// Owner decides for one agent. It is not safe for concurrent use.
type Owner struct {
	settings Settings
	hash     uint32
	started  time.Time

	cfg      *config.Config
	routes   map[flow.Endpoint]*config.Route
	out      bool // the failure domain is out
	limits   config.Limits
	upstream *flow.Announcement
	gone     *flow.Announcement // the incarnation that said goodbye
	absent   bool               // nothing listens at the upstream's address
	heardAt  time.Time
	coldTill time.Time
	ramp     ramp
	stopping bool

	flows    map[flow.Key]*entry
	opening  map[flow.Key]*entry // those in their handshake
	requests int                 // flows that the upstream works for, or soon will
	unheard  int                 // opening packets in a row without an answer
	backlog  backlog.Backlog
	service  time.Duration // mean time of a request at the upstream
	offers   offers
	mayOffer bool // the upstream may have flows from before the agent's start

	lastSweep time.Time
	lastTick  time.Time
	actions   []Action
	finished  []Completion
}

// Completion is the end of one request, seen from its packets.
type Completion struct {
	Key  flow.Key
	Kind config.Kind
	Took time.Duration
}

// New returns an Owner that knows neither its upstream nor a configuration.
func New(settings Settings, now time.Time) *Owner {
	return &Owner{
		settings: settings,
		hash:     config.ServiceHash(settings.Service),
		started:  now,
		cfg:      &config.Config{},
		routes:   map[flow.Endpoint]*config.Route{},
		flows:    map[flow.Key]*entry{},
		opening:  map[flow.Key]*entry{},
		offers:   offers{byTag: map[uint32]offer{}, byKey: map[flow.Key]uint32{}},
	}
}

// Configure takes a newer configuration into use and returns the resets of
// flows whose route it drops.
func (o *Owner) Configure(now time.Time, cfg *config.Config) []Action {
	o.actions = o.actions[:0]
	o.cfg = cfg
	o.out = cfg.IsOut(o.settings.Domain)
	if s, known := cfg.Service(o.settings.Service); known {
		o.limits = s.Limits
	}
	o.ramp.limit(o.limits.ColdPerSecond)

	o.routes = make(map[flow.Endpoint]*config.Route, len(cfg.Routes))
	for i := range cfg.Routes {
		o.routes[flow.EndpointOf(cfg.Routes[i].Address)] = &cfg.Routes[i]
	}
	for key, e := range o.flows {
		if o.routes[key.Service] == nil {
			o.end(key, e)
			o.resetCaller(key, e.callerAck, RouteDropped)
		}
	}
	return o.actions
}

// Announce takes an announcement of the upstream. It reports whether it was
// news, and returns what ends with an earlier incarnation.
func (o *Owner) Announce(now time.Time, a flow.Announcement) (bool, []Action) {
	o.actions = o.actions[:0]
	if !o.newer(&a) {
		return false, nil
	}

	if o.upstream != nil && !o.upstream.SameIncarnation(&a) {
		o.endAll(Gone)
	}
	fresh := o.upstream == nil || !o.upstream.SameIncarnation(&a)
	if fresh {
		o.mayOffer = o.gone == nil && o.upstream == nil && a.Sequence > freshSequence
		o.ramp.fresh(now)
		o.unheard = 0
	}
	// One more opening packet tries a silent upstream that still announces itself.
	o.unheard = min(o.unheard, silentAfter-1)
	o.upstream = &a
	o.absent = false
	o.heardAt = now
	o.coldTill = now.Add(a.WarmUpLeft)
	if a.State != flow.Serving {
		o.drainBacklog(now, Leaving)
	}
	return true, o.actions
}

func (o *Owner) newer(a *flow.Announcement) bool {
	if o.gone != nil && o.gone.SameIncarnation(a) {
		return false
	}
	if o.upstream == nil {
		return o.gone == nil || a.Born >= o.gone.Born
	}
	if o.upstream.SameIncarnation(a) {
		return a.Sequence > o.upstream.Sequence
	}
	return a.Born > o.upstream.Born
}

// Depart takes the upstream's goodbye.
func (o *Owner) Depart(id string) {
	if o.upstream != nil && o.upstream.ID == id {
		o.gone = o.upstream
		o.upstream = nil
	}
}

// Stop says that the process is about to end: new flows go to others. If the
// upstream has ended before, its callers learn it at once.
func (o *Owner) Stop(now time.Time) []Action {
	o.actions = o.actions[:0]
	o.stopping = true
	o.drainBacklog(now, Stopping)
	if o.upstream == nil && o.gone != nil {
		o.endAll(Gone)
	}
	return o.actions
}

// Ended takes the news that nothing listens at the upstream's address any more.
func (o *Owner) Ended() []Action {
	o.actions = o.actions[:0]
	o.absent = true
	o.upstream = nil
	o.endAll(Gone)
	return o.actions
}

// endAll ends all flows with their upstream. Those that are not open here may be
// open at another one.
func (o *Owner) endAll(reason Reason) {
	for key, e := range o.flows {
		open := e.open && !e.closed()
		o.end(key, e)
		if open {
			o.resetCaller(key, e.callerAck, reason)
		}
	}
}

func (o *Owner) resetCaller(key flow.Key, sequence uint32, reason Reason) {
	o.actions = append(o.actions, Action{Verb: Reset, Reason: reason, Key: key, Sequence: sequence, Load: o.requests})
}

// Accepting reports whether the upstream takes new flows now, so that balancers
// need not ask.
func (o *Owner) Accepting() bool {
	return o.upstream != nil && o.upstream.State == flow.Serving && !o.out && !o.stopping && o.unheard < silentAfter
}

// lapsed reports whether the upstream stopped announcing itself.
func (o *Owner) lapsed(now time.Time) bool {
	return o.upstream != nil && now.Sub(o.heardAt) > lapseAfter
}

// Doubtful reports whether the upstream may have ended without a word: it leaves
// opening packets unanswered, or has not announced itself since the agent's start.
func (o *Owner) Doubtful(now time.Time) bool {
	if o.upstream == nil {
		return !o.absent && o.gone == nil && now.Sub(o.started) > firstAnnouncement
	}
	return o.unheard >= silentAfter
}

// Empty reports whether the upstream is surely gone, and its flows with it.
func (o *Owner) Empty() bool {
	return o.upstream == nil && (o.gone != nil || o.absent)
}

// Upstream returns the upstream's last announcement, or nil.
func (o *Owner) Upstream() *flow.Announcement {
	return o.upstream
}

// Requests returns how many requests the upstream works on or will soon.
func (o *Owner) Requests() int {
	return o.requests
}

// Flows returns how many flows are known.
func (o *Owner) Flows() int {
	return len(o.flows)
}

// TakeCompletions returns the requests that ended since the last call.
func (o *Owner) TakeCompletions() []Completion {
	done := o.finished
	o.finished = nil
	return done
}

// slots returns how many requests the upstream runs at once.
func (o *Owner) slots() int {
	if o.upstream == nil {
		return 1
	}
	return max(1, o.upstream.Slots)
}
