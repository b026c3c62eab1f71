// Package model_test plays the shipped decisions of balancers and agents of
// forwarded flows in virtual time, with callers, upstreams and random faults.
package model_test

import (
	"container/heap"
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/coriandershift/coriandershift/internal/coordination/owner"
	"github.com/coriandershift/coriandershift/internal/coordination/steer"
	"github.com/coriandershift/coriandershift/internal/protocol/fwdmsg"
	"github.com/coriandershift/coriandershift/internal/state/config"
	"github.com/coriandershift/coriandershift/internal/state/flow"
	"github.com/coriandershift/coriandershift/internal/state/roster"
)

const (
	oneWay = time.Millisecond

	// contact is how long after a fault at an agent a reset of its flows is
	// excused, as the platform counts it.
	contact = 4 * time.Second

	// resetWindow is how near a reset must be to what a caller acknowledged.
	resetWindow = 76800

	coldPerSecond = 8
	slots         = 4
)

var address = flow.Endpoint{IP: [4]byte{198, 18, 0, 1}, Port: 443}

// event is something that happens at a time.
type event struct {
	at    time.Time
	order int
	run   func()
}

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

// world is a deployment in virtual time.
type world struct {
	t         *testing.T
	seed      uint64
	now       time.Time
	random    *rand.Rand
	queue     events
	order     int
	balancers []*balancer
	agents    []*agent
	callers   map[flow.Key]*caller
	lastPort  uint16
	cfg       *config.Config

	delivered, resets, answers int
}

type balancer struct {
	endpoint flow.Endpoint
	core     *steer.Router
	cfg      *config.Config
	down     bool
	started  time.Time
}

type agent struct {
	endpoint flow.Endpoint
	core     *owner.Owner
	cfg      *config.Config
	down     bool
	record   roster.Member
	upstream *upstream

	// faultAt is when the agent was last down, or its upstream began.
	faultAt time.Time
}

// upstream is a server that cannot be changed by those between it and its callers.
type upstream struct {
	id       string
	born     int64
	sequence uint64
	draining bool
	coldTill time.Time
	flows    map[flow.Key]*served
	opened   []time.Time // while it was cold
}

type served struct {
	start uint32
	open  bool
}

// caller is one flow of a caller.
type caller struct {
	key      flow.Key
	sequence uint32
	started  time.Time
	holder   *upstream // at which the flow is open
	at       *agent
	start    uint32
	over     bool
}

func newWorld(t *testing.T, seed uint64) *world {
	w := &world{
		t: t, seed: seed, now: time.Unix(1_800_000_000, 0), random: rand.New(rand.NewPCG(seed, 1)),
		callers: map[flow.Key]*caller{}, lastPort: 1024,
	}
	w.cfg = &config.Config{
		Revision: 1, IdleTimeout: 60000,
		Services: []config.Service{{Name: "svc", Limits: config.Limits{ColdPerSecond: coldPerSecond}}},
		Routes: []config.Route{{
			Name: "r", Address: address.AddrPort(), Kind: config.Idempotent, Objective: 200,
			Shares: []config.Share{{Service: "svc", Weight: 1}},
		}},
	}
	for i := range 3 {
		w.balancers = append(w.balancers, &balancer{endpoint: flow.Endpoint{IP: [4]byte{10, 0, 1, byte(i)}, Port: 7000}})
	}
	for i := range 7 {
		w.agents = append(w.agents, &agent{endpoint: flow.Endpoint{IP: [4]byte{10, 0, 2, byte(i)}, Port: 7000}})
	}
	for _, a := range w.agents {
		w.startAgent(a)
		w.startUpstream(a)
	}
	for _, b := range w.balancers {
		w.startBalancer(b)
	}
	return w
}

func (w *world) after(d time.Duration, run func()) {
	w.order++
	heap.Push(&w.queue, event{at: w.now.Add(d), order: w.order, run: run})
}

// carry moves a packet, which may be lost, doubled or late.
func (w *world) carry(run func()) {
	switch w.random.IntN(200) {
	case 0:
		return
	case 1:
		w.after(oneWay, run)
	case 2:
		w.after(20*oneWay, run)
		return
	}
	w.after(oneWay+time.Duration(w.random.IntN(1000))*time.Microsecond, run)
}

func (w *world) run(d time.Duration) {
	for end := w.now.Add(d); len(w.queue) > 0 && !w.queue[0].at.After(end); {
		e := heap.Pop(&w.queue).(event)
		w.now = e.at
		e.run()
	}
}

func (w *world) fail(format string, args ...any) {
	w.t.Helper()
	w.t.Fatalf("seed %d, at %v: %s", w.seed, w.now.Sub(time.Unix(1_800_000_000, 0)), fmt.Sprintf(format, args...))
}

// domain puts the agents into four failure domains.
func domain(a *agent) string {
	return string('a' + rune(a.endpoint.IP[3]%4))
}

func (w *world) startBalancer(b *balancer) {
	b.core = steer.New(b.endpoint, "a", w.now)
	b.cfg = &config.Config{}
	b.down = false
	b.started = w.now
	w.after(time.Duration(w.random.IntN(300))*time.Millisecond, func() { w.configureBalancer(b, w.cfg) })
	w.after(500*time.Millisecond, func() {
		var members []flow.Endpoint
		for _, a := range w.agents {
			members = append(members, a.endpoint)
		}
		b.core.ExpectMembers(members)
		w.inform(b)
	})
	w.tickBalancer(b, b.core)
}

// inform gives a balancer the members as they are now.
func (w *world) inform(b *balancer) {
	var members []roster.Member
	for _, other := range w.balancers {
		weight := uint8(0)
		if other.core != nil && other.core.Converged() {
			weight = roster.MaxWeight
		}
		members = append(members, roster.Member{
			Address: other.endpoint.AddrPort(), Role: roster.Balancer, State: roster.Alive, Weight: weight,
			Incarnation: uint64(other.started.UnixMilli()),
		})
	}
	for _, a := range w.agents {
		members = append(members, a.record)
	}
	b.core.UpdateMembers(w.now, members)
}

func (w *world) configureBalancer(b *balancer, cfg *config.Config) {
	if cfg.Revision <= b.cfg.Revision {
		return
	}
	b.cfg = cfg
	b.core.Configure(cfg)
	w.inform(b)
}

func (w *world) tickBalancer(b *balancer, core *steer.Router) {
	if b.core != core {
		return
	}
	w.fromBalancer(b, core.Tick(w.now))
	w.after(20*time.Millisecond, func() { w.tickBalancer(b, core) })
}

func (w *world) startAgent(a *agent) {
	a.core = owner.New(owner.Settings{Self: a.endpoint, Domain: domain(a), Service: "svc"}, w.now)
	a.cfg = &config.Config{}
	a.down = false
	a.faultAt = w.now
	w.after(time.Duration(w.random.IntN(300))*time.Millisecond, func() { w.configureAgent(a, w.cfg) })
	w.tickAgent(a, a.core)
}

func (w *world) configureAgent(a *agent, cfg *config.Config) {
	if a.down || cfg.Revision <= a.cfg.Revision {
		return
	}
	a.cfg = cfg
	w.fromAgent(a, a.core.Configure(w.now, cfg))
}

func (w *world) tickAgent(a *agent, core *owner.Owner) {
	if a.core != core || a.down {
		return
	}
	w.fromAgent(a, core.Tick(w.now))
	w.record(a)
	w.after(20*time.Millisecond, func() { w.tickAgent(a, core) })
}

// record spreads what an agent says of itself to the balancers, unevenly.
func (w *world) record(a *agent) {
	next := roster.Member{
		Address: a.endpoint.AddrPort(), Role: roster.Agent, Service: "svc", Domain: domain(a), State: roster.Alive,
		NoFlows: a.core.NoFlows(), Incarnation: a.record.Incarnation,
	}
	if a.core.Accepting() {
		next.Weight = roster.MaxWeight
	}
	if next == a.record {
		return
	}
	a.record = next
	for _, b := range w.balancers {
		w.after(time.Duration(w.random.IntN(1000))*time.Millisecond, func() {
			if !b.down {
				w.inform(b)
			}
		})
	}
}

func (w *world) startUpstream(a *agent) {
	u := &upstream{
		id: fmt.Sprintf("i-%d", w.random.Uint32()), born: w.now.UnixMilli(), flows: map[flow.Key]*served{},
		coldTill: w.now.Add(2 * time.Second),
	}
	a.upstream = u
	w.beat(a, u)
}

func (w *world) beat(a *agent, u *upstream) {
	if a.upstream != u {
		return
	}
	w.after(300*time.Millisecond, func() { w.beat(a, u) })
	u.sequence++
	if a.down {
		return
	}
	state := flow.Serving
	if u.draining {
		state = flow.Draining
	}
	_, actions := a.core.HandleAnnouncement(w.now, flow.Announcement{
		ID: u.id, StartedUnixMilli: u.born, Service: "svc", Slots: slots, State: state, Sequence: u.sequence,
		WarmUpLeft: max(0, u.coldTill.Sub(w.now)),
	})
	w.fromAgent(a, actions)
}

// pack and unpack put a packet into bytes and back.
func pack(p flow.Packet) []byte {
	var raw [40]byte
	copy(raw[:], flow.Key{Caller: p.Source, Service: p.Destination}.Append(nil))
	binary.BigEndian.PutUint32(raw[12:], p.Sequence)
	binary.BigEndian.PutUint32(raw[16:], p.Acknowledged)
	binary.BigEndian.PutUint32(raw[20:], p.Tag)
	raw[24] = byte(p.DataLength)
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
		Tag: binary.BigEndian.Uint32(raw[20:]), DataLength: int(raw[24]),
		Open: raw[25] == 1, Ack: raw[26] == 1, Finish: raw[27] == 1, Reset: raw[28] == 1, Bounced: raw[29] == 1,
		Raw: raw,
	}, nil
}

func clone(e fwdmsg.Envelope, packet []byte) (fwdmsg.Envelope, []byte) {
	return e, append([]byte(nil), packet...)
}
