package intake_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/coriandershift/coriandershift/internal/coordination/intake"
	"github.com/coriandershift/coriandershift/internal/state/config"
)

var (
	bookings = &config.Route{Address: netip.MustParseAddrPort("198.18.0.1:443"), Priority: 1, Objective: 400, Timeout: 2500}
	uploads  = &config.Route{Address: netip.MustParseAddrPort("198.18.0.2:443"), Priority: 2, Objective: 800, Timeout: 4000}
)

// multiples are the rates of uploads in a burst, of what the link carries.
var multiples = map[string]float64{"2.5 times the rate": 2.5, "4 times the rate": 4, "8 times the rate": 8}

// uploadSize is the mean size of an upload on the link.
const uploadSize = 40_000.0 / maxData * fullPacketSize

// uploadLoad returns uploads of 40 KB that offer the link a multiple of its rate.
func uploadLoad(multiple float64, from, to time.Duration) load {
	return load{
		route: uploads, meanSize: 40_000, spread: 0.7, work: 5 * time.Millisecond,
		perSecond: multiple * linkRate / uploadSize, callers: 100, firstIP: 1, from: from, to: to,
	}
}

func bookingLoad(to time.Duration) load {
	return load{
		route: bookings, meanSize: 900, spread: 0.5, work: 72 * time.Millisecond,
		perSecond: 40, callers: 50, firstIP: 150, to: to,
	}
}

// outcome counts requests.
type outcome struct {
	all, inTime, late, failed, refused int // refused: all tries of the request
	refusals                           int // of flows
	slowestRefusal                     time.Duration
	bytes                              int // delivered
}

// outcomeOf counts the requests to a route that began in a period.
func (l *link) outcomeOf(route *config.Route, from, to time.Duration) outcome {
	var o outcome
	for _, r := range l.requests {
		if r.load.route != route || r.begun.Before(start.Add(from)) || !r.begun.Before(start.Add(to)) {
			continue
		}
		o.all++
		o.refusals += r.refusals
		o.slowestRefusal = max(o.slowestRefusal, r.slowest)
		o.bytes += r.delivered
		switch {
		case r.refusals == maxTries:
			o.refused++
		case r.endedAt.IsZero():
			o.failed++
		case r.endedAt.Sub(r.begun) > route.Objective.Duration():
			o.late++
		default:
			o.inTime++
		}
	}
	return o
}

// Load: uploads at a multiple of what a link of 10 Mbit/s carries for 10 s, beside
// bookings, then calm. Callers repeat data after 200 ms; bookings have an objective of
// 400 ms, uploads of 800 ms.
func TestBookingsAndAdmittedUploadsAreInTimeInABurst(t *testing.T) {
	const from, to, end = 2 * time.Second, 12 * time.Second, 20 * time.Second
	for name, multiple := range multiples {
		t.Run(name, func(t *testing.T) {
			l := newLink(intake.New(linkRate))
			l.add(bookingLoad(end))
			l.add(uploadLoad(0.15, 0, from))
			l.add(uploadLoad(multiple, from, to))
			l.add(uploadLoad(0.15, to, end))
			l.run(end + 5*time.Second)

			booked := l.outcomeOf(bookings, 0, end)
			t.Logf("bookings %+v", booked)
			if booked.inTime != booked.all {
				t.Error("some bookings are not in time")
			}
			burst := l.outcomeOf(uploads, from, to)
			t.Logf("uploads %+v", burst)
			if admitted := burst.all - burst.refused; burst.failed > 0 || 10*burst.inTime < 9*admitted {
				t.Errorf("%d of %d admitted uploads are in time", burst.inTime, admitted)
			}
			if burst.slowestRefusal >= retransmission {
				t.Errorf("a refusal came after %v", burst.slowestRefusal)
			}
			if share := float64(burst.bytes) / (linkRate * (to - from).Seconds()); share < 0.5 {
				t.Errorf("the link carries uploads at %.2f of its rate only", share)
			}
			calm := l.outcomeOf(uploads, to+time.Second, end)
			t.Logf("calm %+v", calm)
			if calm.refusals > 0 || calm.inTime != calm.all {
				t.Error("not all uploads are taken a second after the burst")
			}
		})
	}
}

// Checks that the load of the test above is one that a link without a Control cannot bear.
func TestWithoutAControlBookingsAreLateInABurst(t *testing.T) {
	l := newLink(nil)
	l.add(bookingLoad(12 * time.Second))
	l.add(uploadLoad(2.5, 2*time.Second, 12*time.Second))
	l.run(17 * time.Second)
	booked := l.outcomeOf(bookings, 4*time.Second, 12*time.Second)
	t.Logf("bookings %+v, uploads %+v", booked, l.outcomeOf(uploads, 2*time.Second, 12*time.Second))
	if 2*booked.inTime > booked.all {
		t.Error("more than half of the bookings are in time")
	}
}
