package member_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/coriandershift/coriandershift/internal/coordination/member"
	"github.com/coriandershift/coriandershift/internal/state/roster"
)

const (
	minDelay = 1500 * time.Microsecond // of a message; the delay is random, up to twice as long
	domains  = 4                       // number of failure domains

	// timeStep is the resolution of virtual time: no node ticks more often.
	timeStep = 20 * time.Millisecond
)

// fleet runs nodes in virtual time and delivers their messages.
type fleet struct {
	t         testing.TB
	now       time.Time
	random    *rand.Rand
	nodes     []*host
	byAddress map[netip.AddrPort]*host
	inFlight  deliveries
	posted    int // messages put in flight so far

	// drop reports whether a message is lost.
	drop func(from, to *host) bool

	// sent is the number of messages sent of each kind, lost ones included.
	sent map[member.MessageKind]int

	// localPushes is the number of pushes sent to a host in the same failure domain.
	localPushes int

	// messageSize returns the size of a message in bytes. It may be nil.
	messageSize func(member.Message) int

	// traffic is the number of bytes sent and received by each role, if messageSize
	// is set.
	traffic map[roster.Role]int
}

type host struct {
	node   *member.Node
	addr   netip.AddrPort
	domain string
	role   roster.Role
	down   bool
	paused bool

	nextTick time.Time
	affected bool // by a fault, now or earlier

	// inbox holds the messages that arrived while the host was paused.
	inbox []member.Message
}

// delivery is a message in flight.
type delivery struct {
	at      time.Time
	order   int // of two deliveries at the same time, the lower goes first
	from    *host
	to      *host
	message member.Message
}

// deliveries is a heap of messages in flight, the earliest first.
type deliveries []delivery

func (l deliveries) Len() int { return len(l) }
func (l deliveries) Less(i, j int) bool {
	if l[i].at.Equal(l[j].at) {
		return l[i].order < l[j].order
	}
	return l[i].at.Before(l[j].at)
}
func (l deliveries) Swap(i, j int) { l[i], l[j] = l[j], l[i] }
func (l *deliveries) Push(x any)   { *l = append(*l, x.(delivery)) }
func (l *deliveries) Pop() any {
	old := *l
	last := old[len(old)-1]
	*l = old[:len(old)-1]
	return last
}

func newFleet(t testing.TB, seed uint64, balancers, agents int) *fleet {
	f := &fleet{
		t:         t,
		now:       time.Unix(1_800_000_000, 0),
		random:    rand.New(rand.NewPCG(seed, 1)),
		byAddress: map[netip.AddrPort]*host{},
		drop:      func(_, _ *host) bool { return false },
		sent:      map[member.MessageKind]int{},
	}
	for range balancers {
		f.join(roster.Balancer)
	}
	for range agents {
		f.join(roster.Agent)
	}
	return f
}

// join adds a host to the fleet and starts its node. Its seeds are the first
// balancer of each failure domain.
func (f *fleet) join(role roster.Role) *host {
	i := len(f.nodes)
	h := &host{
		addr:   netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)}), 7100),
		domain: fmt.Sprintf("d%d", i%domains),
		role:   role,
	}
	f.nodes = append(f.nodes, h)
	f.byAddress[h.addr] = h
	f.start(h)
	return h
}

// start starts a host's node anew.
func (f *fleet) start(h *host) {
	f.startAt(h, f.now)
}

// startAt starts a host's node with a clock that shows another time of day.
func (f *fleet) startAt(h *host, clock time.Time) {
	self := roster.Member{
		Address: h.addr, Role: h.role, Name: h.addr.String(), Domain: h.domain,
		Incarnation: uint64(clock.UnixMilli()), Weight: roster.MaxWeight,
	}
	if h.role == roster.Balancer {
		self.Admin = netip.AddrPortFrom(h.addr.Addr(), 7101)
	} else {
		self.Service = fmt.Sprintf("s%d", slices.Index(f.nodes, h)/6)
	}
	h.down, h.paused, h.inbox = false, false, nil
	h.node = member.New(self, rand.New(rand.NewPCG(f.random.Uint64(), 1)))
	h.nextTick = f.now

	var seeds []netip.AddrPort
	for _, other := range f.nodes[:min(domains, len(f.nodes))] {
		seeds = append(seeds, other.addr)
	}
	h.node.SetSeeds(seeds)
}

// run advances virtual time by d.
func (f *fleet) run(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(timeStep) {
		f.deliver(f.now)
		for _, h := range f.nodes {
			if !h.down && !h.paused && !f.now.Before(h.nextTick) {
				f.post(h, h.node.Tick(f.now))
				h.nextTick = f.now.Add(h.node.TickDelay(f.now))
			}
		}
	}
}

// deliver delivers the messages that arrive until a time.
func (f *fleet) deliver(until time.Time) {
	for len(f.inFlight) > 0 && !f.inFlight[0].at.After(until) {
		d := heap.Pop(&f.inFlight).(delivery)
		switch {
		case d.to.down:
		case d.to.paused:
			d.to.inbox = append(d.to.inbox, d.message)
		default:
			sends, _ := d.to.node.Handle(d.at, d.message)
			f.post(d.to, sends)
		}
	}
}

// post puts messages in flight, except for lost ones.
func (f *fleet) post(from *host, sends []member.Outgoing) {
	for _, s := range sends {
		f.sent[s.Message.Kind]++
		to := f.byAddress[s.To]
		if s.Message.Kind == member.Push && to != nil && from.domain == to.domain {
			f.localPushes++
		}
		if f.messageSize != nil && to != nil {
			bytes := f.messageSize(s.Message)
			f.traffic[from.role] += bytes
			f.traffic[to.role] += bytes
		}
		if to == nil || f.drop(from, to) {
			continue
		}
		f.posted++
		at := f.now.Add(minDelay + time.Duration(f.random.Int64N(int64(minDelay))))
		heap.Push(&f.inFlight, delivery{at: at, order: f.posted, from: from, to: to, message: s.Message})
	}
}

// resume ends a pause. The node runs a tick before it reads the messages that
// arrived meanwhile.
func (f *fleet) resume(h *host) {
	h.paused = false
	f.post(h, h.node.Tick(f.now))
	for _, m := range h.inbox {
		sends, _ := h.node.Handle(f.now, m)
		f.post(h, sends)
	}
	h.inbox = nil
}

// stateAt returns the state of other in the roster of h.
func stateAt(h, other *host) roster.State {
	m, _ := h.node.Roster().Get(other.addr)
	return m.State
}

// disagreeing returns the running balancers, other than the host itself, whose
// roster does not have the host in the wanted state.
func (f *fleet) disagreeing(about *host, want roster.State) []*host {
	var wrong []*host
	for _, h := range f.nodes {
		if h.role == roster.Balancer && !h.down && !h.paused && h != about && stateAt(h, about) != want {
			wrong = append(wrong, h)
		}
	}
	return wrong
}

// mustConverge fails the test unless every running balancer knows the actual state
// of every host within the given time.
func (f *fleet) mustConverge(within time.Duration) {
	f.t.Helper()
	wrong, example := 0, ""
	for elapsed := time.Duration(0); elapsed <= within; elapsed += member.TickInterval {
		wrong = 0
		for _, h := range f.nodes {
			want := roster.Alive
			if h.down {
				want = roster.Dead
			}
			for _, other := range f.disagreeing(h, want) {
				wrong++
				example = fmt.Sprintf("%s has %s in state %s, want %s", other.addr, h.addr, stateAt(other, h), want)
			}
		}
		if wrong == 0 {
			return
		}
		f.run(member.TickInterval)
	}
	f.t.Fatalf("%d wrong records after %s: %s", wrong, within, example)
}
