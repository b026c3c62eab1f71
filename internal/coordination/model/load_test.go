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
	loadBalancers = 6
	loadAgents    = 7

	// The work and the callers are those of the users' policy-view.
	workMean  = 55 * time.Millisecond
	workSigma = 0.5
	objective = 250 * time.Millisecond
	deadline  = 2500 * time.Millisecond
	tries     = 3

	// coldSlowdown and coldFor are how an upstream is after its start.
	coldSlowdown = 1.6
	coldFor      = 2 * time.Second

	// warmUp is not counted: the upstreams are cold, and no load is known yet.
	warmUp = 3 * time.Second

	// maxBackOff bounds the pause of a caller after a reset.
	maxBackOff = 100 * time.Millisecond

	toFabric = 3 * time.Millisecond
	interVM  = time.Millisecond
)

// play is one experiment.
type play struct {
	seed  uint64
	rule  pick.Policy
	slots int

	// load is the requests offered as a part of what the upstreams can work off.
	load float64

	// slow makes the first upstream's work longer by a factor, if not 0.
	slow float64

	// hasty lets the first upstream answer at once, as one does that fails.
	hasty bool

	// outage takes everything away for a time in the middle, if not 0.
	outage time.Duration

	length time.Duration
}

// tally is what callers got, of those that asked after the warm-up.
type tally struct {
	asked, inAim, answered, refused int
	failed                          int // by a hasty upstream
	after, afterInAim               int // asked in the two seconds after the outage
	took                            []time.Duration
	messages                        int // between balancers and agents
	work, wasted                    time.Duration
}

func (t *tally) share() float64  { return float64(t.inAim) / float64(max(1, t.asked)) }
func (t *tally) served() float64 { return float64(t.answered) / float64(max(1, t.asked)) }

func (t *tally) p99() time.Duration {
	if len(t.took) == 0 {
		return 0
	}
	slices.Sort(t.took)
	return t.took[len(t.took)*99/100]
}

func (t *tally) String() string {
	return fmt.Sprintf("asked %5d  in aim %.3f  answered %.3f  p99 %7.1f ms  resets %5d  wasted work %.3f  messages %.2f",
		t.asked, t.share(), t.served(), float64(t.p99().Microseconds())/1000, t.refused,
		float64(t.wasted)/float64(max(1, t.work)), float64(t.messages)/float64(max(1, t.asked)))
}

// farm plays balancers and agents under load.
type farm struct {
	play
	tally
	now       time.Time
	start     time.Time
	random    *rand.Rand
	queue     events
	order     int
	cfg       *config.Config
	balancers []*steer.Router
	agents    []*owner.Owner
	servers   []*server
	down      bool
	backAt    time.Time
	epoch     int
	asks      map[flow.Key]*ask
	lastPort  uint32
}

// server is an upstream with slots and a queue.
type server struct {
	index   int
	busy    int
	waiting []*ask
	flows   map[flow.Key]uint32
	born    time.Time
	epoch   int
}

// ask is one request of a caller and the flow that it goes over now.
type ask struct {
	at       time.Time
	key      flow.Key
	sequence uint32
	tries    int
	holder   int
	start    uint32
	open     bool
	done     bool
	counted  bool
	recovery bool
}

func newFarm(p play) *farm {
	f := &farm{play: p, now: time.Unix(1_800_000_000, 0), random: rand.New(rand.NewPCG(p.seed, 7)), asks: map[flow.Key]*ask{}}
	f.start = f.now
	f.cfg = &config.Config{
		Revision: 1, IdleTimeout: 15000,
		Services: []config.Service{{Name: "svc"}},
		Routes: []config.Route{{
			Name: "r", Address: address.AddrPort(), Kind: config.Idempotent, Objective: config.Milliseconds(objective.Milliseconds()),
			Shares: []config.Share{{Service: "svc", Weight: 1}},
		}},
	}
	f.boot()
	return f
}

// agentAt returns the address of an agent.
func agentAt(i int) flow.Endpoint {
	return flow.Endpoint{IP: [4]byte{10, 0, 2, byte(i)}, Port: 7000}
}

// boot starts all programs and upstreams anew.
func (f *farm) boot() {
	f.epoch++
	f.balancers, f.agents, f.servers = nil, nil, nil
	for i := range loadAgents {
		self := agentAt(i)
		agent := owner.New(owner.Settings{Self: self, Domain: "a", Service: "svc"}, f.now)
		f.agents = append(f.agents, agent)
		s := &server{index: i, flows: map[flow.Key]uint32{}, born: f.now, epoch: f.epoch}
		f.servers = append(f.servers, s)
		f.fromAgent(i, agent.Configure(f.now, f.cfg))
		f.announce(s, agent, 1)
		f.tickAgent(i, agent)
	}
	var members []roster.Member
	for i := range f.agents {
		members = append(members, roster.Member{
			Address: agentAt(i).AddrPort(), Role: roster.Agent, Service: "svc", Domain: "a", State: roster.Alive,
			Weight: roster.MaxWeight, Incarnation: uint64(f.epoch),
		})
	}
	for i := range loadBalancers {
		b := steer.New(flow.Endpoint{IP: [4]byte{10, 0, 1, byte(i)}, Port: 7000}, "a", f.now, steer.WithPolicy(f.rule))
		f.balancers = append(f.balancers, b)
		b.Configure(f.cfg)
		b.UpdateMembers(f.now, members)
		f.tickBalancer(i, b)
	}
}

func (f *farm) after(d time.Duration, run func()) {
	f.order++
	heap.Push(&f.queue, event{at: f.now.Add(d), order: f.order, run: run})
}

// jitter spreads a delay by a tenth of a millisecond.
func (f *farm) jitter(d time.Duration) time.Duration {
	return d + time.Duration(f.random.IntN(100))*time.Microsecond
}

func (f *farm) run() *tally {
	f.after(0, f.arrive)
	if f.outage > 0 {
		f.after(f.length/2, func() {
			f.down = true
			f.balancers, f.agents, f.servers = nil, nil, nil
			f.after(f.outage, func() {
				f.down = false
				f.backAt = f.now
				f.boot()
			})
		})
	}
	for len(f.queue) > 0 {
		e := heap.Pop(&f.queue).(event)
		f.now = e.at
		if f.now.Sub(f.start) > f.length+deadline {
			break
		}
		e.run()
	}
	return &f.tally
}

// arrive lets the next caller ask.
func (f *farm) arrive() {
	if f.now.Sub(f.start) > f.length {
		return
	}
	a := &ask{at: f.now, counted: f.now.Sub(f.start) > warmUp}
	a.recovery = f.outage > 0 && !f.backAt.IsZero() && f.now.Sub(f.backAt) < 2*time.Second
	if a.counted {
		f.asked++
	}
	if a.recovery {
		f.tally.after++
	}
	f.attempt(a)
	rate := f.load * float64(f.slots*loadAgents) / workMean.Seconds()
	f.after(time.Duration(f.random.ExpFloat64()/rate*float64(time.Second)), f.arrive)
}

// attempt opens a flow for a request.
func (f *farm) attempt(a *ask) {
	if a.done || a.tries == tries || f.now.Sub(a.at) > deadline {
		return
	}
	a.tries++
	a.open = false
	f.lastPort++
	a.key = flow.Key{
		Caller:  flow.Endpoint{IP: [4]byte{100, 64, byte(f.lastPort >> 24), byte(f.lastPort >> 16)}, Port: uint16(f.lastPort)},
		Service: address,
	}
	a.sequence = f.random.Uint32()
	f.asks[a.key] = a
	key := a.key
	for i, d := range []time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond} {
		f.after(d, func() {
			if a.key == key && !a.open && !a.done {
				f.write(a, flow.Packet{Open: true, Sequence: a.sequence, SinceFirstSent: d, Acknowledged: uint32(i)})
			}
		})
	}
	f.after(1400*time.Millisecond, func() {
		if a.key == key && !a.open {
			f.attempt(a)
		}
	})
}

// write hands a caller's packet to the balancer that the fabric deals its flow to.
func (f *farm) write(a *ask, p flow.Packet) {
	p.Source, p.Destination = a.key.Caller, a.key.Service
	age := p.SinceFirstSent
	raw := pack(p)
	i := int(a.key.Hash() % loadBalancers)
	f.after(f.jitter(toFabric), func() {
		if f.down {
			return
		}
		p, _ := unpack(raw)
		p.SinceFirstSent = age
		f.fromBalancer(i, f.balancers[i].HandleCallerPacket(f.now, &p))
	})
}

func (f *farm) tickBalancer(i int, core *steer.Router) {
	if f.down || f.balancers[i] != core {
		return
	}
	f.fromBalancer(i, core.Tick(f.now))
	f.after(10*time.Millisecond, func() { f.tickBalancer(i, core) })
}

func (f *farm) tickAgent(i int, core *owner.Owner) {
	if f.down || f.agents[i] != core {
		return
	}
	f.fromAgent(i, core.Tick(f.now))
	f.after(10*time.Millisecond, func() { f.tickAgent(i, core) })
}

func (f *farm) announce(s *server, core *owner.Owner, sequence uint64) {
	if f.down || s.epoch != f.epoch {
		return
	}
	_, actions := core.HandleAnnouncement(f.now, flow.Announcement{
		ID: fmt.Sprintf("i-%d-%d", s.index, s.epoch), StartedUnixMilli: s.born.UnixMilli(), Service: "svc", Slots: f.slots, State: flow.Serving,
		Sequence: sequence, WarmUpLeft: max(0, coldFor-f.now.Sub(s.born)),
	})
	f.fromAgent(s.index, actions)
	f.after(700*time.Millisecond, func() { f.announce(s, core, sequence+1) })
}

func (f *farm) fromBalancer(_ int, actions []steer.Action) {
	for _, a := range actions {
		switch a.Kind {
		case steer.Send:
			e, packet := clone(a.Envelope, a.Packet)
			f.toAgent(a.To, e, packet)
		case steer.Reset:
			f.reset(a.Key)
		}
	}
}

func (f *farm) toAgent(to flow.Endpoint, e fwdmsg.Envelope, packet []byte) {
	f.messages++
	f.after(f.jitter(interVM), func() {
		if f.down || e.Kind == fwdmsg.Query {
			return
		}
		p, _ := unpack(packet)
		i := int(to.IP[3])
		f.fromAgent(i, f.agents[i].HandleBalancerPacket(f.now, &e, &p))
	})
}

func (f *farm) fromAgent(i int, actions []owner.Action) {
	for _, action := range actions {
		e, packet := clone(action.Envelope, action.Packet)
		switch action.Kind {
		case owner.Deliver:
			p, _ := unpack(packet)
			f.toServer(f.servers[i], &p)
		case owner.Answer:
			p, _ := unpack(packet)
			f.after(f.jitter(toFabric), func() { f.toCaller(i, &p) })
		case owner.Forward:
			if e.Kind != fwdmsg.ReturnedPacket {
				f.toAgent(action.To, e, packet)
			}
		case owner.Notify:
			f.messages++
			payload := action.Key.Append(nil)
			f.after(f.jitter(interVM), func() {
				if !f.down {
					f.balancers[e.Balancer.IP[3]].HandleAgentMessage(f.now, &e, payload, unpack)
				}
			})
		case owner.Reset:
			f.reset(action.Key)
		}
	}
}

// toServer is what an upstream does with a packet.
func (f *farm) toServer(s *server, p *flow.Packet) {
	key := p.KeyFromCaller()
	if p.IsOpening() {
		if s.flows[key] == 0 {
			s.flows[key] = f.random.Uint32() | 1
		}
		f.outbound(s, flow.Packet{Source: key.Service, Destination: key.Caller, Open: true, Ack: true, Sequence: s.flows[key]})
		return
	}
	a := f.asks[key]
	if a == nil || p.DataLength == 0 {
		return
	}
	if s.busy < f.slots {
		f.work(s, a)
		return
	}
	s.waiting = append(s.waiting, a)
}

// work runs a request and then the next one that waits.
func (f *farm) work(s *server, a *ask) {
	s.busy++
	took := time.Duration(math.Exp(f.random.NormFloat64()*workSigma-workSigma*workSigma/2) * float64(workMean))
	if f.now.Sub(s.born) < coldFor {
		took = time.Duration(float64(took) * coldSlowdown)
	}
	if f.hasty && s.index == 0 {
		took = time.Millisecond
		if a.counted {
			f.failed++
		}
	}
	if f.slow > 0 && s.index == 0 {
		took = time.Duration(float64(took) * f.slow)
	}
	key := a.key
	f.after(took, func() {
		if f.down || s.epoch != f.epoch {
			return
		}
		s.busy--
		f.tally.work += took
		if a.done || a.key != key || f.now.Sub(a.at) > deadline {
			f.wasted += took
		}
		f.outbound(s, flow.Packet{Source: key.Service, Destination: key.Caller, Ack: true, Sequence: s.flows[key] + 1, DataLength: 9, Finish: true})
		if len(s.waiting) > 0 {
			next := s.waiting[0]
			s.waiting = s.waiting[1:]
			f.work(s, next)
		}
	})
}

func (f *farm) outbound(s *server, p flow.Packet) {
	p, _ = unpack(pack(p))
	f.fromAgent(s.index, f.agents[s.index].HandleUpstreamPacket(f.now, &p))
}

func (f *farm) toCaller(i int, p *flow.Packet) {
	a := f.asks[p.KeyFromUpstream()]
	if a == nil || a.done || a.key != p.KeyFromUpstream() || f.now.Sub(a.at) > deadline {
		return
	}
	if p.Open && !a.open {
		a.open, a.holder, a.start = true, i, p.Sequence
		f.write(a, flow.Packet{Ack: true, Sequence: a.sequence + 1, Acknowledged: a.start + 1, DataLength: 1})
	}
	if p.DataLength > 0 {
		f.answer(a)
	}
}

func (f *farm) answer(a *ask) {
	a.done = true
	took := f.now.Sub(a.at)
	if took <= objective && a.recovery {
		f.afterInAim++
	}
	if !a.counted {
		return
	}
	f.answered++
	f.took = append(f.took, took)
	if took <= objective {
		f.inAim++
	}
}

// reset ends a flow at its caller, who tries again.
func (f *farm) reset(key flow.Key) {
	f.refused++
	f.after(f.jitter(toFabric), func() {
		a := f.asks[key]
		if a == nil || a.key != key || a.open {
			return
		}
		a.key = flow.Key{}
		f.after(time.Duration(f.random.Int64N(int64(maxBackOff))), func() { f.attempt(a) })
	})
}
