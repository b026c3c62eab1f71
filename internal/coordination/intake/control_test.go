package intake_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/coriandershift/coriandershift/internal/coordination/intake"
	"github.com/coriandershift/coriandershift/internal/state/config"
	"github.com/coriandershift/coriandershift/internal/state/flow"
)

// urgentUploads is a route of large files that is more urgent than uploads.
var urgentUploads = &config.Route{Address: netip.MustParseAddrPort("198.18.0.3:443"), Priority: 0, Objective: 800, Timeout: 4000}

func openingOf(route *config.Route, caller byte, port uint16) *flow.Packet {
	return packetOf(route, caller, port, func(p *flow.Packet) { p.Open = true })
}

// dataOf returns a full packet of data that acknowledges acknowledged bytes of the answer.
func dataOf(route *config.Route, caller byte, port uint16, index int, acknowledged uint32) *flow.Packet {
	return packetOf(route, caller, port, func(p *flow.Packet) {
		p.Ack, p.Acknowledged, p.Sequence, p.DataLength = true, 1+acknowledged, uint32(1+index*maxData), maxData
	})
}

func finishOf(route *config.Route, caller byte, port uint16) *flow.Packet {
	return packetOf(route, caller, port, func(p *flow.Packet) { p.Ack, p.Finish, p.Acknowledged = true, true, 301 })
}

// send records an upload of full packets, up to its finish.
func send(c *intake.Control, at time.Time, route *config.Route, caller byte, port uint16, packets int) {
	c.Admit(at, openingOf(route, caller, port), route)
	for i := range packets {
		c.Observe(at, dataOf(route, caller, port, i, 0), route)
	}
	c.Observe(at, finishOf(route, caller, port), route)
}

// learned returns a Control for a link of 10 Mbit/s that has seen transfers of bookings
// and uploads, and the time from which they do not count in its rates.
func learned(options ...intake.Option) (*intake.Control, time.Time) {
	c := intake.New(linkRate, options...)
	send(c, start, uploads, 1, 1, 34)
	send(c, start, urgentUploads, 1, 2, 34)
	send(c, start, bookings, 1, 3, 1)
	return c, start.Add(time.Minute)
}

// outstanding returns the outstanding bytes of all priorities.
func outstanding(c *intake.Control) int {
	total := 0.0
	for _, bytes := range c.OutstandingBytes() {
		total += bytes
	}
	return int(total)
}

// fill admits uploads of different callers until one is not taken, and returns how many were.
func fill(c *intake.Control, at time.Time, route *config.Route) int {
	for count := range 100 {
		if c.Admit(at, openingOf(route, byte(100+count), 1), route) != intake.Take {
			return count
		}
	}
	return 100
}

func TestAdmitOnAFullLink(t *testing.T) {
	tests := map[string]struct {
		route    *config.Route
		occupant *config.Route // of the flows that fill the link
		waiting  int           // flows that wait before
		caller   byte
		want     intake.Verdict
	}{
		"a light route is always taken":                        {bookings, uploads, 3, 50, intake.Take},
		"a flow waits if its turn comes soon":                  {uploads, uploads, 1, 50, intake.Wait},
		"a flow is refused if its turn comes later":            {uploads, uploads, 3, 50, intake.Refuse},
		"a caller that has a flow is refused before others":    {uploads, uploads, 1, 100, intake.Refuse},
		"a more urgent route does not wait for a less urgent":  {urgentUploads, uploads, 3, 50, intake.Take},
		"a less urgent route waits for a more urgent one":      {uploads, urgentUploads, 1, 50, intake.Wait},
		"a less urgent route is refused for a more urgent one": {uploads, urgentUploads, 3, 50, intake.Refuse},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c, now := learned()
			if count := fill(c, now, test.occupant); count < 2 { // the next one waits
				t.Fatalf("only %d flows are taken", count)
			}
			for i := range test.waiting - 1 {
				c.Admit(now, openingOf(test.occupant, byte(20+i), 1), test.occupant)
			}
			if got := c.Admit(now, openingOf(test.route, test.caller, 2), test.route); got != test.want {
				t.Errorf("got verdict %d, want %d", got, test.want)
			}
		})
	}
}

func TestATransferEnds(t *testing.T) {
	tests := map[string]func(c *intake.Control, now time.Time) time.Time{
		"with a finish": func(c *intake.Control, now time.Time) time.Time {
			c.Observe(now, finishOf(uploads, 1, 9), uploads)
			return now
		},
		"with a reset": func(c *intake.Control, now time.Time) time.Time {
			c.Observe(now, packetOf(uploads, 1, 9, func(p *flow.Packet) { p.Reset = true }), uploads)
			return now
		},
		"with the acknowledged answer": func(c *intake.Control, now time.Time) time.Time {
			c.Observe(now, packetOf(uploads, 1, 9, func(p *flow.Packet) { p.Ack, p.Acknowledged = true, 301 }), uploads)
			return now
		},
		"when its flow was refused": func(c *intake.Control, now time.Time) time.Time {
			c.Forget(openingOf(uploads, 1, 9).KeyFromCaller())
			return now
		},
		"when no packet comes for a second": func(c *intake.Control, now time.Time) time.Time {
			c.Observe(now.Add(time.Second), openingOf(bookings, 1, 10), bookings)
			return now.Add(time.Second)
		},
	}
	for name, end := range tests {
		t.Run(name, func(t *testing.T) {
			c, now := learned()
			c.Admit(now, openingOf(uploads, 1, 9), uploads)
			c.Observe(now, dataOf(uploads, 1, 9, 0, 0), uploads)
			if got := outstanding(c); got != 33*fullPacketSize {
				t.Errorf("%d bytes are outstanding after a packet, want those of 33", got)
			}
			now = end(c, now)
			if got := outstanding(c); got != 0 {
				t.Errorf("%d bytes are outstanding after the end", got)
			}
			c.Observe(now, packetOf(uploads, 1, 9, func(p *flow.Packet) { p.Ack, p.Acknowledged = true, 301 }), uploads)
			if got := outstanding(c); got != 0 {
				t.Errorf("%d bytes are outstanding after a late acknowledgement", got)
			}
		})
	}
}

func TestOutstandingBytes(t *testing.T) {
	tests := map[string]struct {
		packets []*flow.Packet
		want    int // in full packets
	}{
		"an opened transfer":             {[]*flow.Packet{openingOf(uploads, 1, 9)}, 34},
		"one found by its data":          {[]*flow.Packet{dataOf(uploads, 1, 9, 20, 0)}, 33},
		"none found by an acknowledging": {[]*flow.Packet{packetOf(uploads, 1, 9, func(p *flow.Packet) { p.Ack = true })}, 0},
		"a retransmission does not count as progress": {
			[]*flow.Packet{openingOf(uploads, 1, 9), dataOf(uploads, 1, 9, 0, 0), dataOf(uploads, 1, 9, 0, 0)}, 33,
		},
		"data after an answer is another transfer": {
			[]*flow.Packet{openingOf(uploads, 1, 9), dataOf(uploads, 1, 9, 0, 0), dataOf(uploads, 1, 9, 1, 300)}, 28, // the mean has fallen by an eighth of the difference
		},
		"a light transfer": {[]*flow.Packet{openingOf(bookings, 1, 9)}, 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c, now := learned()
			for _, p := range test.packets {
				route := uploads
				if p.Destination == flow.EndpointOf(bookings.Address) {
					route = bookings
				}
				c.Observe(now, p, route)
			}
			if diff := cmp.Diff(test.want, outstanding(c)/fullPacketSize); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// The load is uploads through a balancer that has just started, of whose routes it has
// forwarded nothing yet.
func TestAReportedSizeMakesARouteHeavyFromItsFirstFlowOn(t *testing.T) {
	tests := map[string]struct {
		size     int
		wantLate bool // some of many flows at once are refused or wait
	}{
		"not known":      {0, false},
		"small requests": {900, false},
		"uploads":        {40_000, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := intake.New(linkRate)
			c.Learn(start, flow.EndpointOf(uploads.Address), uploads, test.size)
			late := 0
			for caller := range byte(100) {
				if c.Admit(start, openingOf(uploads, caller, 9), uploads) != intake.Take {
					late++
				}
			}
			if (late > 0) != test.wantLate {
				t.Errorf("%d of 100 flows were not taken at once", late)
			}
		})
	}
}

// The load is uploads through a balancer that started on a full link: the first transfers
// that end there are those that callers give up after a packet or two.
func TestUploadsThatWereGivenUpDoNotMakeAHeavyRouteLight(t *testing.T) {
	report := func(c *intake.Control) { c.Learn(start, flow.EndpointOf(uploads.Address), uploads, 40_000) }
	giveUp := func(c *intake.Control) {
		for caller := range byte(10) {
			send(c, start, uploads, 200+caller, 1, 1)
		}
	}
	tests := map[string][]func(*intake.Control){
		"before the first report": {giveUp, report},
		"after it":                {report, giveUp},
	}
	for name, steps := range tests {
		t.Run(name, func(t *testing.T) {
			c := intake.New(linkRate)
			for _, step := range steps {
				step(c)
			}
			if got := fill(c, start.Add(time.Minute), uploads); got == 100 {
				t.Error("100 uploads at once are taken")
			}
		})
	}
}
