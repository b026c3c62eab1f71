package intake_test

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"time"

	"github.com/coriandershift/coriandershift/internal/coordination/intake"
	"github.com/coriandershift/coriandershift/internal/state/config"
	"github.com/coriandershift/coriandershift/internal/state/flow"
)

// Bytes on the link: the header of a packet, and what its envelope, IP and UDP add.
const (
	header         = 31
	overhead       = 53 + 28
	maxData        = 1200
	fullPacketSize = header + overhead + maxData
)

// linkRate is that of a link of 10 Mbit/s in bytes per second.
const linkRate = 1_250_000

// Times of callers: the way to a VM and back, and the delay of the first retransmission,
// which doubles up to maxRetransmission.
const (
	roundTrip         = 4 * time.Millisecond
	retransmission    = 200 * time.Millisecond
	maxRetransmission = 1600 * time.Millisecond
	maxInFlight       = 16
	maxTries          = 3
	retryPause        = 10 * time.Millisecond
)

// maxQueue is the time that packets wait at the link at most; others are lost.
const maxQueue = time.Second

var start = time.Unix(1_800_000_000, 0)

// link simulates callers whose packets pass one link, a queue in order of arrival, to a
// balancer with a Control.
type link struct {
	control   *intake.Control
	now       time.Time
	busyUntil time.Time
	events    eventHeap
	eventSeq  int
	lastPort  map[byte]uint16
	waiting   map[flow.Key]*connection
	requests  []*request
	random    *rand.Rand
}

// event is due at a time; events at the same time are in the order of sequence.
type event struct {
	at       time.Time
	sequence int
	do       func()
}

// eventHeap implements heap.Interface.
type eventHeap []event

func (h eventHeap) Len() int      { return len(h) }
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(e any)   { *h = append(*h, e.(event)) }

func (h eventHeap) Less(i, j int) bool {
	return h[i].at.Before(h[j].at) || (h[i].at.Equal(h[j].at) && h[i].sequence < h[j].sequence)
}

func (h *eventHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// load is a kind of requests that arrive at random.
type load struct {
	route     *config.Route
	meanSize  float64 // of the data in bytes
	spread    float64 // coefficient of variation of the size
	work      time.Duration
	perSecond float64
	callers   int  // callers ask equally often
	firstIP   byte // of callers in sequence
	from, to  time.Duration
}

// request is what a caller wants done, with up to maxTries flows.
type request struct {
	load      *load
	caller    byte
	size      int
	begun     time.Time
	endedAt   time.Time // zero if it failed
	tries     int
	refusals  int
	slowest   time.Duration // refusal
	packets   int           // sent, with copies
	delivered int           // bytes of data
}

func newLink(control *intake.Control) *link {
	return &link{control: control, now: start, busyUntil: start, lastPort: map[byte]uint16{}, waiting: map[flow.Key]*connection{}, random: rand.New(rand.NewPCG(1, 2))}
}

func (l *link) after(delay time.Duration, do func()) {
	l.eventSeq++
	heap.Push(&l.events, event{at: l.now.Add(delay), sequence: l.eventSeq, do: do})
}

func (l *link) run(until time.Duration) {
	for len(l.events) > 0 && !l.events[0].at.After(start.Add(until)) {
		next := heap.Pop(&l.events).(event)
		l.now = next.at
		next.do()
		l.endWaits()
	}
}

// endWaits lets the flows begin whose turn has come, and refuses those that waited too long.
func (l *link) endWaits() {
	for {
		key, verdict, found := l.control.Next(l.now)
		if !found {
			break
		}
		c := l.waiting[key]
		delete(l.waiting, key)
		c.decided(verdict)
	}
	if due, waiting := l.control.NextDue(); waiting && (len(l.events) == 0 || l.events[0].at.After(due)) {
		l.after(due.Sub(l.now), func() {})
	}
}

// add schedules the requests of a load, as a Poisson process.
func (l *link) add(d load) {
	for at := d.from; ; {
		at += time.Duration(l.random.ExpFloat64() / d.perSecond * float64(time.Second))
		if at >= d.to {
			return
		}
		r := &request{load: &d, caller: d.firstIP + byte(l.random.IntN(d.callers)), size: l.sizeOf(&d)}
		l.after(start.Add(at).Sub(l.now), func() { l.begin(r) })
	}
}

// sizeOf draws a size from a log-normal distribution, limited to six times the mean.
func (l *link) sizeOf(d *load) int {
	variance := math.Log(1 + d.spread*d.spread)
	size := d.meanSize * math.Exp(l.random.NormFloat64()*math.Sqrt(variance)-variance/2)
	return int(max(1, min(size, 6*d.meanSize)))
}

func (l *link) begin(r *request) {
	r.begun = l.now
	l.requests = append(l.requests, r)
	l.try(r)
}

// pass queues a packet at the link and calls arrive when it has reached the balancer.
func (l *link) pass(r *request, p *flow.Packet, arrive func()) {
	r.packets++
	if l.busyUntil.Before(l.now) {
		l.busyUntil = l.now
	}
	if l.busyUntil.Sub(l.now) > maxQueue {
		return
	}
	p.Raw = make([]byte, header+p.DataLength)
	l.busyUntil = l.busyUntil.Add(time.Duration(float64(len(p.Raw)+overhead) / linkRate * float64(time.Second)))
	l.after(l.busyUntil.Sub(l.now), arrive)
}

// packetOf returns a packet of a caller's port, changed by change.
func packetOf(route *config.Route, caller byte, port uint16, change func(*flow.Packet)) *flow.Packet {
	p := &flow.Packet{
		Source:      flow.Endpoint{IP: [4]byte{100, 64, 0, caller}, Port: port},
		Destination: flow.EndpointOf(route.Address),
		Raw:         make([]byte, header),
	}
	change(p)
	p.Raw = make([]byte, header+p.DataLength)
	return p
}
