package model_test

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/coriandershift/coriandershift/internal/coordination/owner"
	"github.com/coriandershift/coriandershift/internal/coordination/pick"
	"github.com/coriandershift/coriandershift/internal/coordination/steer"
	"github.com/coriandershift/coriandershift/internal/protocol/fwdmsg"
	"github.com/coriandershift/coriandershift/internal/state/config"
	"github.com/coriandershift/coriandershift/internal/state/flow"
	"github.com/coriandershift/coriandershift/internal/state/roster"
)

const (
	balancerCount = 6
	agentCount    = 7

	workSigma   = 0.5 // of the log-normal durations of requests
	maxAttempts = 3

	// coldSlowdown multiplies the duration of requests that an upstream runs
	// within coldDuration of its start.
	coldSlowdown = 1.6
	coldDuration = 2 * time.Second

	// warmUp is the time at the start whose requests are not measured: the
	// upstreams are cold, and no load is known yet.
	warmUp = 3 * time.Second

	// openTimeout is the longest time that a caller waits for its flow to open. Attempts
	// that others may follow share the time until the request's deadline, so that they
	// last for a third of it at most. minPause and maxPause bound the random pause before
	// the next attempt.
	openTimeout = 1400 * time.Millisecond
	minPause    = 25 * time.Millisecond
	maxPause    = 100 * time.Millisecond

	// maxBackOff bounds the random pause of a caller between a reset and its next attempt.
	maxBackOff = 10 * time.Millisecond

	// callerDelay and vmDelay are one-way delays, between a caller and a VM and
	// between two VMs.
	callerDelay = 3 * time.Millisecond
	vmDelay     = time.Millisecond
)

// profile is the mean duration of a service's requests, and how long its callers wait.
type profile struct {
	work      time.Duration
	objective time.Duration // within which an answer is in time
	deadline  time.Duration // at which a caller gives up
}

// The profiles follow services of the users.
var (
	patient   = profile{work: 55 * time.Millisecond, objective: 250 * time.Millisecond, deadline: 2500 * time.Millisecond} // policy-view
	impatient = profile{work: 22 * time.Millisecond, objective: 120 * time.Millisecond, deadline: 800 * time.Millisecond}  // hazard-flag
)

// attemptTimeout returns how long a caller waits for the flow of an attempt to open if
// the request has remaining until its deadline. The last attempt lasts until then.
func (p profile) attemptTimeout(attempt int, remaining time.Duration) time.Duration {
	if attempt == maxAttempts {
		return min(openTimeout, remaining)
	}
	return min(openTimeout, remaining/maxAttempts)
}

// experiment is the configuration of one run of a loadSim.
type experiment struct {
	seed    uint64
	policy  pick.Policy
	slots   int
	callers profile // patient if not set

	// load is the rate of requests as a fraction of the upstreams' capacity.
	load float64

	// burst multiplies the load for burstDuration from the middle of the run, if not 0.
	burst         float64
	burstDuration time.Duration

	// slowFactor multiplies the duration of the first upstream's requests, if not 0.
	slowFactor float64

	// failsFast makes the first upstream answer every request within a
	// millisecond, like one that answers with errors.
	failsFast bool

	// outage is how long all balancers, agents and upstreams are down, from the
	// middle of the run, if not 0.
	outage time.Duration

	// balancerOutage is how long all balancers are down, from the middle of the run.
	balancerOutage time.Duration

	// unreachable is the number of agents that no datagram of another VM reaches, from
	// the middle of the run.
	unreachable int

	// uneven says how the durations of requests differ, if not nil.
	uneven *uneven

	duration time.Duration
}

// loadAt returns the load at a time after the start.
func (e *experiment) loadAt(at time.Duration) float64 {
	if e.burst > 0 && at >= e.duration/2 && at < e.duration/2+e.burstDuration {
		return e.load * e.burst
	}
	return e.load
}

// results counts the requests that began after the warm-up and what their callers
// got. Resets, messages and times of work are those of the whole run.
type results struct {
	requests, inTime, answered, resets int
	failures                           int // answered by an upstream that fails fast
	afterOutage, afterOutageInTime     int // of requests begun in the two seconds after the outage
	latencies                          []time.Duration
	messages                           int // between balancers and agents
	workTime, wastedTime               time.Duration
}

func (r *results) inTimeShare() float64   { return float64(r.inTime) / float64(max(1, r.requests)) }
func (r *results) answeredShare() float64 { return float64(r.answered) / float64(max(1, r.requests)) }

func (r *results) p99() time.Duration {
	if len(r.latencies) == 0 {
		return 0
	}
	slices.Sort(r.latencies)
	return r.latencies[len(r.latencies)*99/100]
}

func (r *results) String() string {
	return fmt.Sprintf("requests %5d  in time %.3f  answered %.3f  p99 %7.1f ms  resets %5d  wasted work %.3f  messages %.2f",
		r.requests, r.inTimeShare(), r.answeredShare(), float64(r.p99().Microseconds())/1000, r.resets,
		float64(r.wastedTime)/float64(max(1, r.workTime)), float64(r.messages)/float64(max(1, r.requests)))
}

// loadSim simulates balancers and agents under load in virtual time.
type loadSim struct {
	experiment
	results
	now            time.Time
	start          time.Time
	random         *rand.Rand
	queue          events
	eventCount     int
	cfg            *config.Config
	balancers      []*steer.Router
	agents         []*owner.Owner
	servers        []*server
	down           bool
	balancersDown  bool
	cut            bool // whether the unreachable agents are cut off
	restartedAt    time.Time
	epoch          int // number of starts, to ignore events of servers before a restart
	requestsByFlow map[flow.Key]*request
	lastPort       uint32
}

// server is an upstream that runs one request in each slot and queues the others.
type server struct {
	index     int
	busy      int
	queue     []*request
	flows     map[flow.Key]uint32 // initial sequence numbers, never 0
	startedAt time.Time
	epoch     int
}

// request is one request of a caller with the flow of its latest attempt.
type request struct {
	startedAt        time.Time
	key              flow.Key
	sequence         uint32 // initial sequence number of the caller's side
	attempts         int
	agent            int // index of the agent at which the flow is open
	upstreamSequence uint32
	open             bool
	done             bool
	measured         bool
	afterOutage      bool
}

func newLoadSim(e experiment) *loadSim {
	if e.callers.work == 0 {
		e.callers = patient
	}
	ls := &loadSim{experiment: e, now: time.Unix(1_800_000_000, 0), random: rand.New(rand.NewPCG(e.seed, 7)), requestsByFlow: map[flow.Key]*request{}}
	ls.start = ls.now
	ls.cfg = &config.Config{
		Revision: 1, IdleTimeout: 15000,
		Services: []config.Service{{Name: "svc"}},
		Routes: []config.Route{{
			Name: "r", Address: address.AddrPort(), Kind: config.Idempotent,
			Objective: config.Milliseconds(e.callers.objective.Milliseconds()), Timeout: config.Milliseconds(e.callers.deadline.Milliseconds()),
			Shares: []config.Share{{Service: "svc", Weight: 1}},
		}},
	}
	ls.startAll()
	return ls
}

func agentAddress(i int) flow.Endpoint {
	return flow.Endpoint{IP: [4]byte{10, 0, 2, byte(i)}, Port: 7000}
}

// startAll starts or restarts all balancers, agents and upstreams.
func (ls *loadSim) startAll() {
	ls.epoch++
	ls.balancers, ls.agents, ls.servers = nil, nil, nil
	for i := range agentCount {
		self := agentAddress(i)
		agent := owner.New(owner.Settings{Self: self, Domain: "a", Service: "svc"}, ls.now)
		ls.agents = append(ls.agents, agent)
		s := &server{index: i, flows: map[flow.Key]uint32{}, startedAt: ls.now, epoch: ls.epoch}
		ls.servers = append(ls.servers, s)
		ls.runAgentActions(i, agent.Configure(ls.now, ls.cfg))
		ls.announce(s, agent, 1)
		ls.tickAgent(i, agent)
	}
	ls.startBalancers()
}

// startBalancers starts or restarts all balancers.
func (ls *loadSim) startBalancers() {
	ls.balancers = nil
	var members []roster.Member
	for i := range ls.agents {
		members = append(members, roster.Member{
			Address: agentAddress(i).AddrPort(), Role: roster.Agent, Service: "svc", Domain: "a", State: roster.Alive,
			Weight: roster.MaxWeight, Incarnation: uint64(ls.epoch),
		})
	}
	for i := range balancerCount {
		b := steer.New(flow.Endpoint{IP: [4]byte{10, 0, 1, byte(i)}, Port: 7000}, "a", ls.now, steer.WithPolicy(ls.policy))
		ls.balancers = append(ls.balancers, b)
		b.Configure(ls.now, ls.cfg)
		b.UpdateMembers(ls.now, members)
		ls.tickBalancer(i, b)
	}
}

func (ls *loadSim) schedule(d time.Duration, run func()) {
	ls.eventCount++
	heap.Push(&ls.queue, event{at: ls.now.Add(d), order: ls.eventCount, run: run})
}

// jitter adds up to 0.1 ms to a delay.
func (ls *loadSim) jitter(d time.Duration) time.Duration {
	return d + time.Duration(ls.random.IntN(100))*time.Microsecond
}

func (ls *loadSim) run() *results {
	ls.schedule(0, ls.startRequest)
	if ls.outage > 0 {
		ls.schedule(ls.duration/2, func() {
			ls.down = true
			ls.balancers, ls.agents, ls.servers = nil, nil, nil
			ls.schedule(ls.outage, func() {
				ls.down = false
				ls.restartedAt = ls.now
				ls.startAll()
			})
		})
	}
	if ls.balancerOutage > 0 {
		ls.schedule(ls.duration/2, func() {
			ls.balancersDown = true
			ls.schedule(ls.balancerOutage, func() {
				ls.balancersDown = false
				ls.restartedAt = ls.now
				ls.startBalancers()
			})
		})
	}
	ls.schedule(ls.duration/2, func() { ls.cut = true })
	for len(ls.queue) > 0 {
		e := heap.Pop(&ls.queue).(event)
		ls.now = e.at
		if ls.now.Sub(ls.start) > ls.duration+ls.callers.deadline {
			break
		}
		e.run()
	}
	return &ls.results
}

// startRequest starts a caller's request and schedules the next caller's, with
// exponentially distributed pauses.
func (ls *loadSim) startRequest() {
	if ls.now.Sub(ls.start) > ls.duration {
		return
	}
	r := &request{startedAt: ls.now, measured: ls.now.Sub(ls.start) > warmUp}
	r.afterOutage = !ls.restartedAt.IsZero() && ls.now.Sub(ls.restartedAt) < 2*time.Second
	if r.measured {
		ls.requests++
	}
	if r.afterOutage {
		ls.results.afterOutage++
	}
	ls.attempt(r)
	rate := ls.loadAt(ls.now.Sub(ls.start)) * float64(ls.slots*agentCount) / ls.callers.work.Seconds()
	ls.schedule(time.Duration(ls.random.ExpFloat64()/rate*float64(time.Second)), ls.startRequest)
}

// attempt opens a new flow for a request, unless the caller has given up.
func (ls *loadSim) attempt(r *request) {
	if r.done || r.attempts == maxAttempts || ls.now.Sub(r.startedAt) > ls.callers.deadline {
		return
	}
	r.attempts++
	r.open = false
	ls.lastPort++
	r.key = flow.Key{
		Caller:  flow.Endpoint{IP: [4]byte{100, 64, byte(ls.lastPort >> 24), byte(ls.lastPort >> 16)}, Port: uint16(ls.lastPort)},
		Service: address,
	}
	r.sequence = ls.random.Uint32()
	ls.requestsByFlow[r.key] = r
	key := r.key
	timeout := ls.callers.attemptTimeout(r.attempts, r.startedAt.Add(ls.callers.deadline).Sub(ls.now))
	// As on the platform, Acknowledged is the number of the retransmission in an opening
	// packet, and the last attempt goes on although its caller has left.
	for i, d := range openingDelays {
		if d >= timeout && r.attempts < maxAttempts {
			break
		}
		ls.schedule(d, func() {
			if r.key == key && !r.open && !r.done {
				ls.sendFromCaller(r, flow.Packet{Open: true, Sequence: r.sequence, SinceFirstSent: d, Acknowledged: uint32(i)})
			}
		})
	}
	if r.attempts == maxAttempts {
		return
	}
	ls.schedule(timeout, func() {
		if r.key == key && !r.open {
			r.key = flow.Key{}
			ls.schedule(minPause+time.Duration(ls.random.Int64N(int64(maxPause-minPause))), func() { ls.attempt(r) })
		}
	})
}

// openingDelays are the delays of the copies of an opening packet after the first one.
var openingDelays = []time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond}

// sendFromCaller sends a caller's packet to the balancer that the fabric assigns to its flow.
func (ls *loadSim) sendFromCaller(r *request, p flow.Packet) {
	p.Source, p.Destination = r.key.Caller, r.key.Service
	age := p.SinceFirstSent
	raw := pack(p)
	i := int(r.key.Hash() % balancerCount)
	ls.schedule(ls.jitter(callerDelay), func() {
		if ls.down || ls.balancersDown {
			return
		}
		p, _ := unpack(raw)
		p.SinceFirstSent = age
		ls.runBalancerActions(i, ls.balancers[i].HandleCallerPacket(ls.now, &p))
	})
}

func (ls *loadSim) tickBalancer(i int, core *steer.Router) {
	if ls.down || ls.balancersDown || ls.balancers[i] != core {
		return
	}
	ls.runBalancerActions(i, core.Tick(ls.now))
	ls.schedule(10*time.Millisecond, func() { ls.tickBalancer(i, core) })
}

func (ls *loadSim) tickAgent(i int, core *owner.Owner) {
	if ls.down || ls.agents[i] != core {
		return
	}
	ls.runAgentActions(i, core.Tick(ls.now))
	ls.schedule(10*time.Millisecond, func() { ls.tickAgent(i, core) })
}

func (ls *loadSim) announce(s *server, core *owner.Owner, sequence uint64) {
	if ls.down || s.epoch != ls.epoch {
		return
	}
	_, actions := core.HandleAnnouncement(ls.now, flow.Announcement{
		ID: fmt.Sprintf("i-%d-%d", s.index, s.epoch), StartedUnixMilli: s.startedAt.UnixMilli(), Service: "svc", Slots: ls.slots, State: flow.Serving,
		Sequence: sequence, WarmUpLeft: max(0, coldDuration-ls.now.Sub(s.startedAt)),
	})
	ls.runAgentActions(s.index, actions)
	ls.schedule(700*time.Millisecond, func() { ls.announce(s, core, sequence+1) })
}

func (ls *loadSim) runBalancerActions(_ int, actions []steer.Action) {
	for _, a := range actions {
		switch a.Kind {
		case steer.Send:
			e, packet := clone(a.Envelope, a.Packet)
			ls.deliverToAgent(a.To, e, packet)
		case steer.Reset:
			ls.resetFlow(a.Key)
		}
	}
}

func (ls *loadSim) deliverToAgent(to flow.Endpoint, e fwdmsg.Envelope, packet []byte) {
	ls.messages++
	i := int(to.IP[3])
	if ls.cut && i < ls.unreachable {
		return
	}
	ls.schedule(ls.jitter(vmDelay), func() {
		if ls.down || e.Kind == fwdmsg.Query {
			return
		}
		p, _ := unpack(packet)
		ls.runAgentActions(i, ls.agents[i].HandleBalancerPacket(ls.now, &e, &p))
	})
}

func (ls *loadSim) runAgentActions(i int, actions []owner.Action) {
	for _, action := range actions {
		e, packet := clone(action.Envelope, action.Packet)
		switch action.Kind {
		case owner.Deliver:
			p, _ := unpack(packet)
			ls.deliverToServer(ls.servers[i], &p)
		case owner.Answer:
			p, _ := unpack(packet)
			ls.schedule(ls.jitter(callerDelay), func() { ls.deliverToCaller(i, &p) })
		case owner.Forward:
			if e.Kind != fwdmsg.ReturnedPacket {
				ls.deliverToAgent(action.To, e, packet)
			}
		case owner.Notify:
			ls.messages++
			payload := action.Key.Append(nil)
			ls.schedule(ls.jitter(vmDelay), func() {
				if !ls.down && !ls.balancersDown {
					ls.balancers[e.Balancer.IP[3]].HandleAgentMessage(ls.now, &e, payload, unpack)
				}
			})
		case owner.Reset:
			ls.resetFlow(action.Key)
		}
	}
}

func (ls *loadSim) deliverToServer(s *server, p *flow.Packet) {
	key := p.KeyFromCaller()
	if p.IsOpening() {
		if s.flows[key] == 0 {
			s.flows[key] = ls.random.Uint32() | 1
		}
		ls.sendFromUpstream(s, flow.Packet{Source: key.Service, Destination: key.Caller, Open: true, Ack: true, Sequence: s.flows[key]})
		return
	}
	r := ls.requestsByFlow[key]
	if r == nil || p.DataLength == 0 {
		return
	}
	if s.busy < ls.slots {
		ls.serve(s, r)
		return
	}
	s.queue = append(s.queue, r)
}

// serve runs a request and then the next one in the queue.
func (ls *loadSim) serve(s *server, r *request) {
	s.busy++
	duration := time.Duration(math.Exp(ls.random.NormFloat64()*workSigma-workSigma*workSigma/2) * float64(ls.callers.work))
	if ls.now.Sub(s.startedAt) < coldDuration {
		duration = time.Duration(float64(duration) * coldSlowdown)
	}
	if ls.failsFast && s.index == 0 {
		duration = time.Millisecond
		if r.measured {
			ls.failures++
		}
	}
	if ls.slowFactor > 0 && s.index == 0 {
		duration = time.Duration(float64(duration) * ls.slowFactor)
	}
	duration = ls.unevenDuration(s, r, duration)
	key := r.key
	ls.schedule(duration, func() {
		if ls.down || s.epoch != ls.epoch {
			return
		}
		s.busy--
		ls.results.workTime += duration
		if r.done || r.key != key || ls.now.Sub(r.startedAt) > ls.callers.deadline {
			ls.wastedTime += duration
		}
		ls.sendFromUpstream(s, flow.Packet{Source: key.Service, Destination: key.Caller, Ack: true, Sequence: s.flows[key] + 1, DataLength: 9, Finish: true})
		if len(s.queue) > 0 {
			next := s.queue[0]
			s.queue = s.queue[1:]
			ls.serve(s, next)
		}
	})
}

func (ls *loadSim) sendFromUpstream(s *server, p flow.Packet) {
	p, _ = unpack(pack(p))
	ls.runAgentActions(s.index, ls.agents[s.index].HandleUpstreamPacket(ls.now, &p))
}

func (ls *loadSim) deliverToCaller(i int, p *flow.Packet) {
	r := ls.requestsByFlow[p.KeyFromUpstream()]
	if r == nil || r.done || r.key != p.KeyFromUpstream() || ls.now.Sub(r.startedAt) > ls.callers.deadline {
		return
	}
	if p.Open && !r.open {
		r.open, r.agent, r.upstreamSequence = true, i, p.Sequence
		ls.sendFromCaller(r, flow.Packet{Ack: true, Sequence: r.sequence + 1, Acknowledged: r.upstreamSequence + 1, DataLength: 1})
	}
	if p.DataLength > 0 {
		ls.recordAnswer(r)
	}
}

func (ls *loadSim) recordAnswer(r *request) {
	r.done = true
	latency := ls.now.Sub(r.startedAt)
	if latency <= ls.callers.objective && r.afterOutage {
		ls.afterOutageInTime++
	}
	if !r.measured {
		return
	}
	ls.answered++
	ls.latencies = append(ls.latencies, latency)
	if latency <= ls.callers.objective {
		ls.inTime++
	}
}

// resetFlow ends an attempt whose flow is not open yet; the caller tries again
// after a pause.
func (ls *loadSim) resetFlow(key flow.Key) {
	ls.resets++
	ls.schedule(ls.jitter(callerDelay), func() {
		r := ls.requestsByFlow[key]
		if r == nil || r.key != key || r.open {
			return
		}
		r.key = flow.Key{}
		ls.schedule(time.Duration(ls.random.Int64N(int64(maxBackOff))), func() { ls.attempt(r) })
	})
}
