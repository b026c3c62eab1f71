package owner_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/coriandershift/coriandershift/internal/coordination/owner"
	"github.com/coriandershift/coriandershift/internal/protocol/fwdmsg"
	"github.com/coriandershift/coriandershift/internal/state/config"
	"github.com/coriandershift/coriandershift/internal/state/flow"
)

// fullLength is the data length of a full packet of the tests' callers, in bytes.
const fullLength = 1200

// dataAt returns a caller's packet with the data from an offset of its stream on.
func dataAt(port uint16, offset, length int) *flow.Packet {
	return packet(port, func(p *flow.Packet) {
		p.Ack, p.Acknowledged, p.Sequence, p.DataLength = true, upstreamStart+1, uint32(1001+offset), length
	})
}

// acknowledgement returns an upstream's packet that acknowledges the stream up to an offset.
func acknowledgement(port uint16, offset int) *flow.Packet {
	return fromUpstream(port, func(p *flow.Packet) {
		p.Ack, p.Sequence, p.Acknowledged = true, upstreamStart+1, uint32(1001+offset)
	})
}

// handshake opens a flow without sending a request.
func handshake(o *owner.Owner, now time.Time, port uint16) {
	o.HandleBalancerPacket(now, envelope(), opening(port))
	o.HandleUpstreamPacket(now, openingAnswer(port))
}

// upload runs a request of ten packets that arrives for a time and is answered after
// another, and returns when it is answered.
func upload(o *owner.Owner, now time.Time, port uint16, arrival, work time.Duration) time.Time {
	const packets = 10
	handshake(o, now, port)
	for i := range packets {
		length := fullLength
		if i == packets-1 {
			length = 100
		}
		o.HandleBalancerPacket(now.Add(arrival*time.Duration(i)/(packets-1)), envelope(), dataAt(port, i*fullLength, length))
	}
	now = now.Add(arrival + work)
	o.HandleUpstreamPacket(now, responseData(port))
	return now
}

func runningCount(o *owner.Owner) int {
	return o.RequestCount() - o.ArrivingCount()
}

func TestWhatCountsAsArriving(t *testing.T) {
	type step struct {
		offset, length int
	}
	const (
		running  = "running"
		arriving = "arriving"
	)
	tests := map[string]struct {
		learned bool // whether the length of a full packet is known from another flow
		data    []step
		want    string
	}{
		"an opening":                                {learned: true, want: running},
		"one packet":                                {learned: true, data: []step{{0, 300}}, want: running},
		"one packet of a full length, not known":    {data: []step{{0, fullLength}}, want: running},
		"one packet of a full length, known":        {learned: true, data: []step{{0, fullLength}}, want: arriving},
		"two full packets":                          {data: []step{{0, fullLength}, {1200, fullLength}}, want: arriving},
		"two packets, the last is short":            {data: []step{{0, fullLength}, {1200, 300}}, want: running},
		"the first was repeated":                    {data: []step{{0, fullLength}, {0, fullLength}, {1200, 300}}, want: running},
		"the last came first":                       {data: []step{{1200, 300}}, want: arriving},
		"the last came first, then the first":       {data: []step{{1200, 300}, {0, fullLength}}, want: running},
		"a packet in the middle is missing":         {data: []step{{0, fullLength}, {2400, 300}}, want: arriving},
		"it came late":                              {data: []step{{0, fullLength}, {2400, 300}, {1200, fullLength}}, want: running},
		"two are missing and one came":              {data: []step{{0, fullLength}, {3600, 300}, {1200, fullLength}}, want: arriving},
		"a repetition across a gap":                 {data: []step{{0, fullLength}, {2400, 300}, {600, 1800}}, want: running},
		"a short packet and a longer one":           {data: []step{{0, 200}, {200, fullLength}}, want: arriving},
		"a short packet, a longer one and the rest": {data: []step{{0, 200}, {200, fullLength}, {1400, 90}}, want: running},
		"smaller full packets than on other flows":  {learned: true, data: []step{{0, 900}, {900, 900}}, want: arriving},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			o := newServingOwner()
			if test.learned {
				upload(o, start, 1, time.Millisecond, 20*time.Millisecond)
			}
			handshake(o, start, 2)
			for _, s := range test.data {
				o.HandleBalancerPacket(start, envelope(), dataAt(2, s.offset, s.length))
			}
			got := running
			if o.ArrivingCount() == 1 {
				got = arriving
			}
			if o.RequestCount() != 1 || got != test.want {
				t.Errorf("%d requests, the flow is %s, want %s", o.RequestCount(), got, test.want)
			}
		})
	}
}

// A caller sends as many packets beyond gaps as its window has; what is beyond that
// cannot be tracked.
func TestAFlowWithMoreGapsThanCallersSendCountsAsRunning(t *testing.T) {
	o := newServingOwner()
	handshake(o, start, 1)
	for i := range 40 {
		o.HandleBalancerPacket(start, envelope(), dataAt(1, (2*i+1)*fullLength, fullLength))
	}
	if runningCount(o) != 1 {
		t.Errorf("%d requests run, want 1", runningCount(o))
	}
	o.HandleUpstreamPacket(start, responseData(1))
	o.HandleBalancerPacket(start, envelope(), dataAt(1, 100*fullLength, 300))
	if o.RequestCount() != 1 {
		t.Errorf("%d requests after the next one, want 1", o.RequestCount())
	}
}

func TestAFlowFromBeforeTheStartCountsAsRunning(t *testing.T) {
	o := owner.New(owner.Settings{Self: self, Domain: "a", Service: "svc"}, start)
	o.Configure(start, newConfig(1, nil))
	o.HandleAnnouncement(start, announcement(func(a *flow.Announcement) { a.Sequence = 40 }))
	o.HandleUpstreamPacket(start, acknowledgement(1, 9000))
	for i := range 3 {
		o.HandleBalancerPacket(start, envelope(), dataAt(1, 20000+i*fullLength, fullLength))
	}
	if runningCount(o) != 1 {
		t.Errorf("%d requests run, want 1", runningCount(o))
	}
}

func TestLaterRequestsOfAFlow(t *testing.T) {
	o := newServingOwner()
	handshake(o, start, 1)
	offset := 0
	for range 3 {
		o.HandleBalancerPacket(start, envelope(), dataAt(1, offset, fullLength))
		o.HandleBalancerPacket(start, envelope(), dataAt(1, offset+fullLength, fullLength))
		if o.ArrivingCount() != 1 || o.RequestCount() != 1 {
			t.Fatalf("at %d: %d of %d requests arrive", offset, o.ArrivingCount(), o.RequestCount())
		}
		o.HandleBalancerPacket(start, envelope(), dataAt(1, offset+2*fullLength, 100))
		if runningCount(o) != 1 {
			t.Fatalf("at %d: %d requests run", offset, runningCount(o))
		}
		o.HandleUpstreamPacket(start.Add(10*time.Millisecond), responseData(1))
		if o.RequestCount() != 0 {
			t.Fatalf("at %d: %d requests after the answer", offset, o.RequestCount())
		}
		offset += 2*fullLength + 100
	}
	if done := o.TakeCompletions(); len(done) != 3 {
		t.Errorf("%d completions, want 3", len(done))
	}
}

func TestDataAfterAnEarlyAnswerBelongsToTheAnsweredRequest(t *testing.T) {
	o := newServingOwner()
	handshake(o, start, 1)
	o.HandleBalancerPacket(start, envelope(), dataAt(1, 0, fullLength))
	o.HandleBalancerPacket(start, envelope(), dataAt(1, 2*fullLength, fullLength))
	o.HandleUpstreamPacket(start, responseData(1))
	o.HandleBalancerPacket(start, envelope(), dataAt(1, fullLength, fullLength))
	o.HandleBalancerPacket(start, envelope(), dataAt(1, 3*fullLength, 100))
	if o.RequestCount() != 0 {
		t.Errorf("%d requests, want 0", o.RequestCount())
	}
	o.HandleBalancerPacket(start, envelope(), dataAt(1, 3*fullLength+100, 300))
	if runningCount(o) != 1 {
		t.Errorf("%d requests run after the next one, want 1", runningCount(o))
	}
}

func TestDataThatFollowsTheEndOfTheUpstreamsStreamIsNoRequest(t *testing.T) {
	o := newServingOwner()
	open(t, o, start, 1)
	o.HandleUpstreamPacket(start, responseData(1))
	o.HandleUpstreamPacket(start, fromUpstream(1, func(p *flow.Packet) { p.Ack, p.Finish, p.Sequence = true, true, upstreamStart+201 }))
	o.HandleBalancerPacket(start, envelope(), dataAt(1, 100, 100))
	if o.RequestCount() != 0 {
		t.Errorf("%d requests, want 0", o.RequestCount())
	}
}

// A request may end with a full packet. It counts as running once the caller would have
// repeated or sent more.
func TestAQuietAcknowledgedRequestCountsAsRunning(t *testing.T) {
	tests := map[string]struct {
		acknowledged int
		after        time.Duration
		want         int
	}{
		"soon":                  {2 * fullLength, 600 * time.Millisecond, 0},
		"quiet":                 {2 * fullLength, 650 * time.Millisecond, 1},
		"quiet, not all is had": {fullLength, 650 * time.Millisecond, 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			o := newServingOwner()
			handshake(o, start, 1)
			o.HandleBalancerPacket(start, envelope(), dataAt(1, 0, fullLength))
			o.HandleBalancerPacket(start, envelope(), dataAt(1, fullLength, fullLength))
			o.HandleUpstreamPacket(start, acknowledgement(1, test.acknowledged))
			o.Tick(start.Add(test.after))
			if runningCount(o) != test.want {
				t.Errorf("%d requests run, want %d", runningCount(o), test.want)
			}
		})
	}
}

func TestTicksAreDueWhileRequestsArrive(t *testing.T) {
	o := newServingOwner()
	handshake(o, start, 1)
	o.Tick(start)
	o.HandleBalancerPacket(start, envelope(), dataAt(1, 0, fullLength))
	o.HandleBalancerPacket(start, envelope(), dataAt(1, fullLength, fullLength))
	if due, ok := o.NextTick(); !ok || due.Sub(start) > 200*time.Millisecond {
		t.Errorf("due after %v, %v", due.Sub(start), ok)
	}
}

func TestACallerThatLeavesWhileItsRequestArrives(t *testing.T) {
	o := newServingOwner()
	handshake(o, start, 1)
	o.HandleBalancerPacket(start, envelope(), dataAt(1, 0, fullLength))
	o.HandleBalancerPacket(start, envelope(), dataAt(1, 2*fullLength, fullLength))
	for elapsed := time.Second; elapsed <= 4*time.Second; elapsed += time.Second {
		o.Tick(start.Add(elapsed))
		if counted := o.RequestCount() == 1; counted != (elapsed < 2*time.Second) {
			t.Errorf("after %v: %d requests", elapsed, o.RequestCount())
		}
	}
	if diff := cmp.Diff(map[owner.Outcome]int{owner.Incomplete: 1}, countOutcomes(o)); diff != "" {
		t.Error(diff)
	}
	if percent := reportedFailures(t, o, start.Add(4*time.Second)); percent != 0 {
		t.Errorf("%d%% reported as failures of the upstream", percent)
	}
}

// The time in which an upload arrived used to count as work, so that the upstream looked
// slow and flows were refused for waits that they would not have had.
func TestServiceTimesBeginWithTheLastData(t *testing.T) {
	o := newServingOwner()
	now := start
	for port := uint16(1); port <= 100; port++ {
		now = upload(o, now, port, 900*time.Millisecond, 5*time.Millisecond)
	}
	for _, c := range o.TakeCompletions() {
		if c.Duration != 5*time.Millisecond || c.Arrival != 900*time.Millisecond {
			t.Fatalf("got %+v", c)
		}
	}
	for _, a := range o.HandleBalancerPacket(now, envelope(), opening(1000)) {
		if a.Kind == owner.Notify && (a.Envelope.MeanDuration < 45 || a.Envelope.MeanDuration > 55) {
			t.Errorf("reported %d tenths of a millisecond, want 50", a.Envelope.MeanDuration)
		}
	}
}

func TestHowManyRequestsMayArrive(t *testing.T) {
	tests := map[string]struct {
		arrival, work time.Duration
		connections   int
		min, max      int
	}{
		"as many as there are slots":                 {time.Microsecond, 50 * time.Millisecond, 0, 2, 2},
		"about three times as many":                  {100 * time.Millisecond, 50 * time.Millisecond, 0, 5, 6},
		"16 for each slot at most":                   {time.Second, 5 * time.Millisecond, 0, 32, 32},
		"as many as the service permits connections": {time.Second, 5 * time.Millisecond, 120, 20, 20},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			o := newServingOwner()
			o.Configure(start, newConfig(2, func(c *config.Config) { c.Services[0].Limits.Connections = test.connections }))
			now := start
			for port := uint16(1); port <= 100; port++ {
				now = upload(o, now, port, test.arrival, test.work)
			}
			opened := 0
			for port := uint16(1001); port <= 1100; port++ {
				kind, _ := firstAction(o.HandleBalancerPacket(now, envelope(endpoint(11)), opening(port)))
				if kind != owner.Deliver {
					continue
				}
				opened++
				o.HandleUpstreamPacket(now, openingAnswer(port))
				o.HandleBalancerPacket(now, envelope(), dataAt(port, 0, fullLength))
			}
			if opened < test.min || opened > test.max {
				t.Errorf("%d flows were opened, want %d to %d", opened, test.min, test.max)
			}
		})
	}
}

func TestARequestOfOnePacketThatIsLongerThanAnyThatWasFollowedByMoreCountsAsRunning(t *testing.T) {
	o := newServingOwner()
	handshake(o, start, 1)
	o.HandleBalancerPacket(start, envelope(), dataAt(1, 0, 100))
	o.HandleBalancerPacket(start, envelope(), dataAt(1, 100, 300))
	o.HandleUpstreamPacket(start.Add(5*time.Millisecond), responseData(1))

	handshake(o, start, 2)
	o.HandleBalancerPacket(start, envelope(), dataAt(2, 0, 300))
	if runningCount(o) != 1 {
		t.Errorf("%d requests run, want 1", runningCount(o))
	}
}

// The load is a balancer that has just started: what agents know of the size of requests
// tells it which routes are heavy.
func TestNoticesReportTheMeanSizeOfRequests(t *testing.T) {
	reported := func(o *owner.Owner, now time.Time, port uint16) int {
		for _, a := range o.HandleBalancerPacket(now, envelope(), opening(port)) {
			if a.Envelope.Kind == fwdmsg.Notice {
				return int(a.Envelope.RequestSize) * fwdmsg.RequestSizeUnit
			}
		}
		t.Fatal("no notice was sent")
		return 0
	}
	o := newServingOwner()
	if got := reported(o, start, 1); got != 0 {
		t.Errorf("before the first request: %d bytes, want 0", got)
	}
	now := start
	for port := uint16(2); port < 50; port++ {
		now = upload(o, now, port, time.Millisecond, time.Millisecond)
	}
	const size = 9*fullLength + 100
	if got := reported(o, now, 60); got < size || got >= size+fwdmsg.RequestSizeUnit {
		t.Errorf("got %d bytes, want %d rounded up", got, size)
	}
}

// The load is a surge after an outage on a route whose uploads took a second to arrive
// before: all open at once, and all of their data comes a round trip later. The upstream
// runs 4 requests and queues 16.
func TestASurgeOfUploadsFitsTheUpstream(t *testing.T) {
	const slots, queued = 4, 16
	o := newServingOwner()
	o.HandleAnnouncement(start, announcement(func(a *flow.Announcement) { a.Slots, a.Sequence = slots, 2 }))
	now := start
	for port := uint16(1); port <= 50; port++ {
		now = upload(o, now, port, time.Second, 5*time.Millisecond)
	}
	var opened []uint16
	for port := uint16(1000); port < 1300; port++ {
		for _, a := range o.HandleBalancerPacket(now, envelope(), opening(port)) {
			if a.Reason == owner.Opened {
				opened = append(opened, port)
			}
		}
	}
	for _, port := range opened {
		o.HandleUpstreamPacket(now, openingAnswer(port))
		for i := range 10 {
			length := fullLength
			if i == 9 {
				length = 100
			}
			o.HandleBalancerPacket(now.Add(20*time.Millisecond), envelope(), dataAt(port, i*fullLength, length))
		}
	}
	if got := runningCount(o); got > slots+queued || got < slots {
		t.Errorf("%d requests are at the upstream, want %d to %d", got, slots, slots+queued)
	}
}
