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
	oneWay  = 1500 * time.Microsecond
	domains = 4
)

// fleet runs nodes in virtual time and carries their messages.
type fleet struct {
	t       testing.TB
	now     time.Time
	random  *rand.Rand
	nodes   []*host
	byAddr  map[netip.AddrPort]*host
	waiting deliveries
	order   int

	// cut reports whether a message is lost.
	cut func(from, to *host) bool

	sent map[member.MessageKind]int

	// nearPushes are those that stayed in their failure domain.
	nearPushes int
	size       func(member.Message) int

	// traffic is the bytes sent and received by each role, if size is set.
	traffic map[roster.Role]int
}

type host struct {
	node   *member.Node
	addr   netip.AddrPort
	domain string
	role   roster.Role
	down   bool
	paused bool

	// touched says that something has befallen the host.
	touched bool
	inbox   []member.Message
}

type delivery struct {
	at      time.Time
	order   int
	from    *host
	to      *host
	message member.Message
}

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
		t:      t,
		now:    time.Unix(1_800_000_000, 0),
		random: rand.New(rand.NewPCG(seed, 1)),
		byAddr: map[netip.AddrPort]*host{},
		cut:    func(_, _ *host) bool { return false },
		sent:   map[member.MessageKind]int{},
	}
	for range balancers {
		f.join(roster.Balancer)
	}
	for range agents {
		f.join(roster.Agent)
	}
	return f
}

// join starts a node. It knows the first balancer of each failure domain as a seed.
func (f *fleet) join(role roster.Role) *host {
	i := len(f.nodes)
	h := &host{
		addr:   netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)}), 7100),
		domain: fmt.Sprintf("d%d", i%domains),
		role:   role,
	}
	f.nodes = append(f.nodes, h)
	f.byAddr[h.addr] = h
	f.start(h)
	return h
}

func (f *fleet) start(h *host) {
	f.startAt(h, f.now)
}

// startAt starts a node whose clock shows another time of day.
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

	var seeds []netip.AddrPort
	for _, other := range f.nodes[:min(domains, len(f.nodes))] {
		seeds = append(seeds, other.addr)
	}
	h.node.SetSeeds(seeds)
}

// run lets virtual time pass.
func (f *fleet) run(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(member.TickInterval) {
		f.deliver(f.now)
		for _, h := range f.nodes {
			if !h.down && !h.paused {
				f.post(h, h.node.Tick(f.now))
			}
		}
	}
}

func (f *fleet) deliver(until time.Time) {
	for len(f.waiting) > 0 && !f.waiting[0].at.After(until) {
		l := heap.Pop(&f.waiting).(delivery)
		switch {
		case l.to.down:
		case l.to.paused:
			l.to.inbox = append(l.to.inbox, l.message)
		default:
			sends, _ := l.to.node.Handle(l.at, l.message)
			f.post(l.to, sends)
		}
	}
}

func (f *fleet) post(from *host, sends []member.Outgoing) {
	for _, s := range sends {
		f.sent[s.Message.Kind]++
		to := f.byAddr[s.To]
		if s.Message.Kind == member.Push && to != nil && from.domain == to.domain {
			f.nearPushes++
		}
		if f.size != nil && to != nil {
			bytes := f.size(s.Message)
			f.traffic[from.role] += bytes
			f.traffic[to.role] += bytes
		}
		if to == nil || f.cut(from, to) {
			continue
		}
		f.order++
		at := f.now.Add(oneWay + time.Duration(f.random.Int64N(int64(oneWay))))
		heap.Push(&f.waiting, delivery{at: at, order: f.order, from: from, to: to, message: s.Message})
	}
}

// resume ends a pause: first a tick, then what waited unread.
func (f *fleet) resume(h *host) {
	h.paused = false
	f.post(h, h.node.Tick(f.now))
	for _, m := range h.inbox {
		sends, _ := h.node.Handle(f.now, m)
		f.post(h, sends)
	}
	h.inbox = nil
}

// stateAt returns what one node thinks of another.
func stateAt(h, other *host) roster.State {
	m, _ := h.node.Roster().Get(other.addr)
	return m.State
}

// disagreeing returns the running balancers that do not hold a state for a host.
func (f *fleet) disagreeing(about *host, want roster.State) []*host {
	var wrong []*host
	for _, h := range f.nodes {
		if h.role == roster.Balancer && !h.down && !h.paused && h != about && stateAt(h, about) != want {
			wrong = append(wrong, h)
		}
	}
	return wrong
}

// mustAgree fails unless every running balancer knows the truth about every host within a bound.
func (f *fleet) mustAgree(within time.Duration) {
	f.t.Helper()
	wrong, example := 0, ""
	for passed := time.Duration(0); passed <= within; passed += member.TickInterval {
		wrong = 0
		for _, h := range f.nodes {
			want := roster.Alive
			if h.down {
				want = roster.Dead
			}
			for _, other := range f.disagreeing(h, want) {
				wrong++
				example = fmt.Sprintf("%s thinks %s %s, want %s", other.addr, h.addr, stateAt(other, h), want)
			}
		}
		if wrong == 0 {
			return
		}
		f.run(member.TickInterval)
	}
	f.t.Fatalf("%d wrong records after %s: %s", wrong, within, example)
}
