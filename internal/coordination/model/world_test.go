// Package model_test simulates balancers and agents of forwarded flows in virtual
// time. The decisions are those of the shipped code; callers, upstreams, the network
// and random faults are simulated.
package model_test

import (
	"container/heap"
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/coriandershift/coriandershift/internal/coordination/fanout"
	"github.com/coriandershift/coriandershift/internal/coordination/owner"
	"github.com/coriandershift/coriandershift/internal/coordination/steer"
	"github.com/coriandershift/coriandershift/internal/protocol/fwdmsg"
	"github.com/coriandershift/coriandershift/internal/state/config"
	"github.com/coriandershift/coriandershift/internal/state/flow"
	"github.com/coriandershift/coriandershift/internal/state/roster"
)

const (
	oneWayDelay = time.Millisecond

	// resetGrace is how long after a fault at an agent the platform tolerates
	// resets of its flows.
	resetGrace = 4 * time.Second

	// resetWindow is the largest distance, in bytes, between the sequence number of
	// a reset and the one that the caller expects next. Callers ignore other resets.
	resetWindow = 76800

	// coldPerSecond limits the new flows of a cold upstream in any second.
	coldPerSecond = 8
	slots         = 4
)

var address = flow.Endpoint{IP: [4]byte{198, 18, 0, 1}, Port: 443}

// event is a function to run at a time; order decides among equal times.
type event struct {
	at    time.Time
	order int
	run   func()
}

// events is a heap of events, the earliest first.
type events []event

func (l events) Len() int { return len(l) }
func (l events) Less(i, j int) bool {
	if l[i].at.Equal(l[j].at) {
		return l[i].order < l[j].order
	}
	return l[i].at.Before(l[j].at)
}
func (l events) Swap(i, j int) { l[i], l[j] = l[j], l[i] }
func (l *events) Push(x any)   { *l = append(*l, x.(event)) }
func (l *events) Pop() any {
	old := *l
	last := old[len(old)-1]
	*l = old[:len(old)-1]
	return last
}

// faultSim simulates a deployment with random faults in virtual time.
type faultSim struct {
	t           *testing.T
	seed        uint64
	now         time.Time
	random      *rand.Rand
	queue       events
	eventCount  int
	balancers   []*balancer
	agents      []*agent
	callerFlows map[flow.Key]*callerFlow
	lastPort    uint16
	cfg         *config.Config
	linkRate    int // of the balancers, in bytes per second; 0 if not known
	versions    *versions

	delivered, resets, answers, delegated int
}

type balancer struct {
	endpoint flow.Endpoint
	core     *steer.Router
	cfg      *config.Config
	down     bool
	started  time.Time
	pause    pausable
}

type agent struct {
	endpoint flow.Endpoint
	service  string
	core     *owner.Owner
	cfg      *config.Config
	down     bool
	member   roster.Member
	upstream *upstream

	collector *fanout.Collector
	pause     pausable

	// faultAt is when the agent last started or its upstream last ended.
	faultAt time.Time
}

type upstream struct {
	id           string
	startedMilli int64
	sequence     uint64 // of the last announcement
	draining     bool
	coldUntil    time.Time
	flows        map[flow.Key]*upstreamFlow
	coldOpenings []time.Time // times of flows opened while it was cold, in order
}

type upstreamFlow struct {
	sequence uint32 // initial sequence number of the upstream's side
	open     bool
	openedAt time.Time
}

// callerFlow is a flow as its caller sees it.
type callerFlow struct {
	key              flow.Key
	revision         uint64 // of the latest configuration when the caller opened it
	sequence         uint32 // initial sequence number of the caller's side
	started          time.Time
	upstream         *upstream // where the flow is open; nil before that
	agent            *agent
	upstreamSequence uint32
	done             bool
}

func newFaultSim(t *testing.T, seed uint64) *faultSim {
	return newFaultSimOnLinks(t, seed, 0)
}

func newFaultSimOnLinks(t *testing.T, seed uint64, linkRate int) *faultSim {
	fs := newFaultWorld(t, seed, linkRate)
	fs.start()
	return fs
}

// newFaultWorld returns a deployment whose processes have not started yet.
func newFaultWorld(t *testing.T, seed uint64, linkRate int) *faultSim {
	fs := &faultSim{
		linkRate: linkRate,
		t:        t, seed: seed, now: time.Unix(1_800_000_000, 0), random: rand.New(rand.NewPCG(seed, 1)),
		callerFlows: map[flow.Key]*callerFlow{}, lastPort: 1024,
	}
	fs.cfg = &config.Config{
		Revision: 1, IdleTimeout: 60000,
		Services: []config.Service{{Name: "svc", Limits: config.Limits{ColdPerSecond: coldPerSecond}}},
		Routes: []config.Route{{
			Name: "r", Address: address.AddrPort(), Kind: config.Idempotent, Objective: 200,
			Shares: []config.Share{{Service: "svc", Weight: 1}},
		}},
	}
	for i := range 3 {
		fs.balancers = append(fs.balancers, &balancer{endpoint: flow.Endpoint{IP: [4]byte{10, 0, 1, byte(i)}, Port: 7000}})
	}
	for i := range 7 {
		fs.agents = append(fs.agents, &agent{endpoint: flow.Endpoint{IP: [4]byte{10, 0, 2, byte(i)}, Port: 7000}, service: "svc"})
	}
	return fs
}

// start starts all processes.
func (fs *faultSim) start() {
	for _, a := range fs.agents {
		fs.startAgent(a)
		fs.startUpstream(a)
	}
	for _, b := range fs.balancers {
		fs.startBalancer(b)
	}
}

func (fs *faultSim) schedule(d time.Duration, run func()) {
	fs.eventCount++
	heap.Push(&fs.queue, event{at: fs.now.Add(d), order: fs.eventCount, run: run})
}

// transmit runs the delivery of a packet after a delay. The packet may be lost,
// duplicated or late.
func (fs *faultSim) transmit(run func()) {
	switch fs.random.IntN(200) {
	case 0:
		return
	case 1:
		fs.schedule(oneWayDelay, run)
	case 2:
		fs.schedule(20*oneWayDelay, run)
		return
	}
	fs.schedule(oneWayDelay+time.Duration(fs.random.IntN(1000))*time.Microsecond, run)
}

func (fs *faultSim) run(d time.Duration) {
	for end := fs.now.Add(d); len(fs.queue) > 0 && !fs.queue[0].at.After(end); {
		e := heap.Pop(&fs.queue).(event)
		fs.now = e.at
		e.run()
	}
}

func (fs *faultSim) fatalf(format string, args ...any) {
	fs.t.Helper()
	fs.t.Fatalf("seed %d, at %v: %s", fs.seed, fs.now.Sub(time.Unix(1_800_000_000, 0)), fmt.Sprintf(format, args...))
}

// domainOf returns the failure domain of an agent, one of four.
func domainOf(a *agent) string {
	return string('a' + rune(a.endpoint.IP[3]%4))
}

func (fs *faultSim) startBalancer(b *balancer) {
	b.core = steer.New(b.endpoint, "a", fs.now, steer.WithLinkRate(fs.linkRate))
	b.cfg = &config.Config{}
	b.down = false
	b.pause = pausable{}
	b.started = fs.now
	fs.schedule(time.Duration(fs.random.IntN(300))*time.Millisecond, func() { fs.configureBalancer(b, fs.cfg) })
	fs.schedule(500*time.Millisecond, func() {
		var members []flow.Endpoint
		for _, a := range fs.agents {
			members = append(members, a.endpoint)
		}
		b.core.ExpectMembers(members)
		fs.updateMembers(b)
	})
	fs.tickBalancer(b, b.core)
}

// updateMembers gives a balancer the current records of all members.
func (fs *faultSim) updateMembers(b *balancer) {
	var members []roster.Member
	for _, other := range fs.balancers {
		weight := uint8(0)
		if other.core != nil && other.core.Converged() {
			weight = roster.MaxWeight
		}
		members = append(members, roster.Member{
			Address: other.endpoint.AddrPort(), Role: roster.Balancer, State: roster.Alive, Weight: weight,
			Incarnation: uint64(other.started.UnixMilli()),
		})
	}
	for _, a := range fs.agents {
		members = append(members, a.member)
	}
	b.core.UpdateMembers(fs.now, members)
}

func (fs *faultSim) configureBalancer(b *balancer, cfg *config.Config) {
	if cfg.Revision <= b.cfg.Revision || b.pause.keeps(func() { fs.configureBalancer(b, cfg) }) {
		return
	}
	b.cfg = cfg
	b.core.Configure(fs.now, cfg)
	fs.updateMembers(b)
}

func (fs *faultSim) tickBalancer(b *balancer, core *steer.Router) {
	if b.core != core {
		return
	}
	if !b.pause.paused {
		core.RecordRunning(fs.now)
		fs.runBalancerActions(b, core.Tick(fs.now))
	}
	fs.schedule(20*time.Millisecond, func() { fs.tickBalancer(b, core) })
}

func (fs *faultSim) startAgent(a *agent) {
	a.core = owner.New(owner.Settings{Self: a.endpoint, Domain: domainOf(a), Service: a.service}, fs.now)
	a.collector = fanout.New(a.endpoint, fs.now)
	a.cfg = &config.Config{}
	a.down = false
	a.pause = pausable{}
	a.faultAt = fs.now
	fs.schedule(time.Duration(fs.random.IntN(300))*time.Millisecond, func() { fs.configureAgent(a, fs.cfg) })
	fs.tickAgent(a, a.core)
}

func (fs *faultSim) configureAgent(a *agent, cfg *config.Config) {
	if a.down || cfg.Revision <= a.cfg.Revision || a.pause.keeps(func() { fs.configureAgent(a, cfg) }) {
		return
	}
	a.cfg = cfg
	fs.runAgentActions(a, a.core.Configure(fs.now, cfg))
}

func (fs *faultSim) tickAgent(a *agent, core *owner.Owner) {
	if a.core != core || a.down {
		return
	}
	if a.pause.paused {
		fs.schedule(20*time.Millisecond, func() { fs.tickAgent(a, core) })
		return
	}
	core.RecordRunning(fs.now)
	fs.runAgentActions(a, core.Tick(fs.now))
	fs.sendForBalancer(a, a.collector.Tick(fs.now))
	fs.spreadMember(a)
	fs.schedule(20*time.Millisecond, func() { fs.tickAgent(a, core) })
}

// spreadMember updates an agent's record and gives it to each balancer after a
// random delay.
func (fs *faultSim) spreadMember(a *agent) {
	next := roster.Member{
		Address: a.endpoint.AddrPort(), Role: roster.Agent, Service: a.service, Domain: domainOf(a), State: roster.Alive,
		NoFlows: a.core.NoFlows(), Incarnation: a.member.Incarnation,
	}
	if a.core.Accepting() {
		next.Weight = roster.MaxWeight
	}
	if next == a.member {
		return
	}
	a.member = next
	for _, b := range fs.balancers {
		fs.schedule(time.Duration(fs.random.IntN(1000))*time.Millisecond, func() {
			if !b.down {
				fs.updateMembers(b)
			}
		})
	}
}

func (fs *faultSim) startUpstream(a *agent) {
	u := &upstream{
		id: fmt.Sprintf("i-%d", fs.random.Uint32()), startedMilli: fs.now.UnixMilli(), flows: map[flow.Key]*upstreamFlow{},
		coldUntil: fs.now.Add(2 * time.Second),
	}
	a.upstream = u
	fs.announce(a, u)
}

func (fs *faultSim) announce(a *agent, u *upstream) {
	if a.upstream != u {
		return
	}
	fs.schedule(300*time.Millisecond, func() { fs.announce(a, u) })
	u.sequence++
	if a.down || a.pause.paused {
		return
	}
	state := flow.Serving
	if u.draining {
		state = flow.Draining
	}
	_, actions := a.core.HandleAnnouncement(fs.now, flow.Announcement{
		ID: u.id, StartedUnixMilli: u.startedMilli, Service: a.service, Slots: slots, State: state, Sequence: u.sequence,
		WarmUpLeft: max(0, u.coldUntil.Sub(fs.now)),
	})
	fs.runAgentActions(a, actions)
}

// pack and unpack convert a packet to and from a format of the simulations.
func pack(p flow.Packet) []byte {
	var raw [40]byte
	copy(raw[:], flow.Key{Caller: p.Source, Service: p.Destination}.Append(nil))
	binary.BigEndian.PutUint32(raw[12:], p.Sequence)
	binary.BigEndian.PutUint32(raw[16:], p.Acknowledged)
	binary.BigEndian.PutUint32(raw[20:], p.Tag)
	raw[24], raw[30] = byte(p.DataLength), byte(p.DataLength>>8)
	for i, set := range []bool{p.Open, p.Ack, p.Finish, p.Reset, p.Bounced} {
		if set {
			raw[25+i] = 1
		}
	}
	return raw[:]
}

func unpack(raw []byte) (flow.Packet, error) {
	key := flow.DecodeKey(raw)
	return flow.Packet{
		Source: key.Caller, Destination: key.Service,
		Sequence: binary.BigEndian.Uint32(raw[12:]), Acknowledged: binary.BigEndian.Uint32(raw[16:]),
		Tag: binary.BigEndian.Uint32(raw[20:]), DataLength: int(raw[24]) | int(raw[30])<<8,
		Open: raw[25] == 1, Ack: raw[26] == 1, Finish: raw[27] == 1, Reset: raw[28] == 1, Bounced: raw[29] == 1,
		Raw: raw,
	}, nil
}

func clone(e fwdmsg.Envelope, packet []byte) (fwdmsg.Envelope, []byte) {
	return e, append([]byte(nil), packet...)
}
