package model_test

import (
	"cmp"
	"container/heap"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/coriandershift/coriandershift/internal/coordination/fanout"
	"github.com/coriandershift/coriandershift/internal/coordination/owner"
	"github.com/coriandershift/coriandershift/internal/coordination/steer"
	"github.com/coriandershift/coriandershift/internal/protocol/fwdmsg"
	"github.com/coriandershift/coriandershift/internal/state/config"
	"github.com/coriandershift/coriandershift/internal/state/flow"
	"github.com/coriandershift/coriandershift/internal/state/roster"
)

const (
	// tenMbps is a rate of 10 Mbit/s in bytes per second.
	tenMbps = 10_000_000 / 8

	// syncDelay is the time after a balancer's start at which it has compared its list
	// of members with another balancer's, memberDelay the one at which it knows them.
	memberDelay = 100 * time.Millisecond
	syncDelay   = 300 * time.Millisecond

	// readyInterval is the time between two probes of the fabric for a balancer that
	// comes back.
	readyInterval = 500 * time.Millisecond

	narrowSlots = 4
)

// narrowConfig is the configuration of one run of a narrowSim.
type narrowConfig struct {
	seed                                   uint64
	domainCount, balancerCount, agentCount int

	// linkRate is the rate of each balancer's link in bytes per second, in each direction.
	linkRate int

	// load is what callers send as a fraction of the rate of all links.
	load float64

	// withoutUploads leaves out the uploads of the callers.
	withoutUploads bool

	triggers []trigger
	duration time.Duration
}

// narrowSim simulates balancers with narrow links, agents and callers in virtual time.
// Other VMs, callers and the paths between them have no limits.
type narrowSim struct {
	narrowConfig
	now, start                 time.Time
	queue                      events
	eventCount                 int
	callersRandom, flowsRandom *rand.Rand
	cfg                        *config.Config
	balancers                  []*narrowBalancer
	agents                     []*narrowAgent
	rotation                   []int // indexes of the balancers to which the fabric delivers
	flows                      map[flow.Key]*narrowFlow
	lastPort                   uint32
	requests                   []*narrowRequest
	lossShare                  float64
	openingsTo                 map[int][]time.Duration // times of openings sent to each agent
}

// narrowBalancer is a balancer with its link. ownSent and ownReceived count the bytes of
// its own messages, whether or not the link drops them: queries, copies of openings for
// further agents and the replies.
type narrowBalancer struct {
	index                 int
	endpoint              flow.Endpoint
	core                  *steer.Router // nil while it is down
	in, out               *link
	ownSent, ownReceived  byteCounter
	received, transmitted byteCounter
}

// narrowAgent is an agent with its upstream. No packet leaves or reaches its VM while cut.
type narrowAgent struct {
	index  int
	domain string
	core   *owner.Owner
	server *narrowServer
	cut    bool

	collector *fanout.Collector
}

func newNarrowSim(c narrowConfig) *narrowSim {
	ns := &narrowSim{
		narrowConfig: c, now: time.Unix(1_800_000_000, 0), flows: map[flow.Key]*narrowFlow{},
		callersRandom: rand.New(rand.NewPCG(c.seed, 1)), flowsRandom: rand.New(rand.NewPCG(c.seed, 2)), openingsTo: map[int][]time.Duration{},
	}
	ns.start = ns.now
	ns.cfg = narrowRoutes()
	for i := range c.agentCount {
		ns.startAgent(i)
	}
	for i := range c.balancerCount {
		b := &narrowBalancer{
			index: i, endpoint: flow.Endpoint{IP: [4]byte{10, 0, 1, byte(i)}, Port: 7000}, in: &link{rate: c.linkRate}, out: &link{rate: c.linkRate},
			ownSent: byteCounter{}, ownReceived: byteCounter{}, received: byteCounter{}, transmitted: byteCounter{},
		}
		ns.balancers = append(ns.balancers, b)
		ns.rotation = append(ns.rotation, i)
	}
	for _, b := range ns.balancers {
		ns.startBalancer(b, 0)
	}
	return ns
}

// domainOfIndex returns the failure domain of the VM with an index.
func (ns *narrowSim) domainOfIndex(i int) string { return string('a' + rune(i%ns.domainCount)) }

func (ns *narrowSim) elapsed() time.Duration { return ns.now.Sub(ns.start) }

func (ns *narrowSim) schedule(d time.Duration, run func()) {
	ns.eventCount++
	heap.Push(&ns.queue, event{at: ns.now.Add(d), order: ns.eventCount, run: run})
}

// travel schedules the arrival of a datagram after a delay with some jitter. It may be
// lost. Both depend on the datagram, given by its id, and not on the order of sending.
func (ns *narrowSim) travel(d time.Duration, id uint64, arrive func()) {
	draw := rand.New(rand.NewPCG(ns.seed^id, uint64(ns.elapsed())))
	jitter := time.Duration(draw.IntN(100)) * time.Microsecond
	if ns.lossShare > 0 && draw.Float64() < ns.lossShare {
		return
	}
	ns.schedule(d+jitter, arrive)
}

// messageID returns an id of a message for travel. Neither the ID of a query nor the order
// of its questions counts: they depend on the random order of maps.
func messageID(e *fwdmsg.Envelope, to uint64, payload []byte) uint64 {
	id := uint64(e.Kind)<<32 | to<<16 | uint64(e.Balancer.IP[3])<<8 | uint64(e.Agent.IP[3])
	if e.Kind >= fwdmsg.Query && e.Kind <= fwdmsg.DelegatedReply {
		return id<<8 + uint64(len(payload))
	}
	return id ^ xxhash.Sum64(payload)
}

func (ns *narrowSim) run() {
	ns.startCallers()
	for _, t := range ns.triggers {
		ns.schedule(t.at, func() { t.begin(ns) })
		if t.end != nil {
			ns.schedule(t.at+t.duration, func() { t.end(ns) })
		}
	}
	for len(ns.queue) > 0 {
		e := heap.Pop(&ns.queue).(event)
		ns.now = e.at
		if ns.elapsed() > ns.duration {
			return
		}
		e.run()
	}
}

func (ns *narrowSim) startAgent(i int) {
	service := "desk"
	if i%hubDivisor == hubDivisor-1 {
		service = "hub"
	}
	a := &narrowAgent{index: i, domain: ns.domainOfIndex(i), server: &narrowServer{flows: map[flow.Key]*serverFlow{}}}
	a.core = owner.New(owner.Settings{Self: agentAddress(i), Domain: a.domain, Service: service}, ns.now)
	a.collector = fanout.New(agentAddress(i), ns.now)
	ns.agents = append(ns.agents, a)
	ns.runAgentActions(a, a.core.Configure(ns.now, ns.cfg))
	ns.announceNarrow(a, service, 1)
	ns.tickNarrowAgent(a)
}

func (ns *narrowSim) announceNarrow(a *narrowAgent, service string, sequence uint64) {
	_, actions := a.core.HandleAnnouncement(ns.now, flow.Announcement{
		ID: "i", StartedUnixMilli: ns.start.UnixMilli(), Service: service, Slots: narrowSlots, State: flow.Serving, Sequence: sequence,
	})
	ns.runAgentActions(a, actions)
	ns.schedule(700*time.Millisecond, func() { ns.announceNarrow(a, service, sequence+1) })
}

func (ns *narrowSim) tickNarrowAgent(a *narrowAgent) {
	ns.runAgentActions(a, a.core.Tick(ns.now))
	ns.sendForBalancer(a, a.collector.Tick(ns.now))
	ns.schedule(10*time.Millisecond, func() { ns.tickNarrowAgent(a) })
}

// startBalancer starts a balancer's process. convergedWeight is the weight that the
// records of the other balancers have: 0 if all start together.
func (ns *narrowSim) startBalancer(b *narrowBalancer, convergedWeight uint8) {
	core := steer.New(b.endpoint, ns.domainOfIndex(b.index), ns.now, steer.WithLinkRate(b.in.rate))
	b.core = core
	ns.schedule(memberDelay, func() {
		var members []roster.Member
		var expected []flow.Endpoint
		for _, other := range ns.balancers {
			members = append(members, roster.Member{Address: other.endpoint.AddrPort(), Role: roster.Balancer, State: roster.Alive, Weight: convergedWeight, Incarnation: 1})
			expected = append(expected, other.endpoint)
		}
		for _, a := range ns.agents {
			service := a.core.Upstream().Service
			members = append(members, roster.Member{
				Address: agentAddress(a.index).AddrPort(), Role: roster.Agent, Service: service, Domain: a.domain, State: roster.Alive,
				Weight: roster.MaxWeight, Incarnation: 1,
			})
			expected = append(expected, agentAddress(a.index))
		}
		core.Configure(ns.now, ns.cfg)
		core.ExpectMembers(expected)
		core.UpdateMembers(ns.now, members)
	})
	ns.schedule(syncDelay, core.MarkSynced)
	ns.tickNarrowBalancer(b, core)
}

func (ns *narrowSim) tickNarrowBalancer(b *narrowBalancer, core *steer.Router) {
	if b.core != core {
		return
	}
	ns.runBalancerActions(b, core.Tick(ns.now))
	ns.schedule(10*time.Millisecond, func() { ns.tickNarrowBalancer(b, core) })
}

// runBalancerActions carries out the actions of a balancer. Those of a tick come in the
// random order of its maps, so they are sorted.
func (ns *narrowSim) runBalancerActions(b *narrowBalancer, actions []steer.Action) {
	sorted := slices.Clone(actions)
	slices.SortStableFunc(sorted, func(x, y steer.Action) int {
		return cmp.Or(
			cmp.Compare(x.Envelope.Kind, y.Envelope.Kind), cmp.Compare(x.Key.String(), y.Key.String()),
			cmp.Compare(x.To.String(), y.To.String()), cmp.Compare(len(x.Packet), len(y.Packet)), cmp.Compare(x.Envelope.QueryID, y.Envelope.QueryID))
	})
	for i := range sorted {
		switch a := &sorted[i]; a.Kind {
		case steer.Send:
			ns.sendFromBalancer(b, a)
		case steer.Reset:
			size := packetSize(0)
			b.transmitted.add(ns.elapsed(), size)
			if delay, ok := b.out.send(ns.now, size); ok {
				key := a.Key
				ns.travel(delay+callerDelay, key.Hash(), func() { ns.resetFlow(key) })
			}
		}
	}
}

func (ns *narrowSim) sendFromBalancer(b *narrowBalancer, a *steer.Action) {
	e, payload := clone(a.Envelope, a.Packet)
	size := messageSize(&e, len(payload))
	b.transmitted.add(ns.elapsed(), size)
	if e.Kind != fwdmsg.CallerPacket || a.Reason == steer.PlacedNextAfterSilence {
		b.ownSent.add(ns.elapsed(), size)
	}
	to := int(a.To.IP[3])
	if a.Reason == steer.Placed || a.Reason == steer.PlacedAllFull || a.Reason == steer.PlacedNextAfterSilence {
		ns.openingsTo[to] = append(ns.openingsTo[to], ns.elapsed())
	}
	if delay, ok := b.out.send(ns.now, size); ok {
		ns.sendToAgent(delay, ns.agents[to], e, payload)
	}
}
