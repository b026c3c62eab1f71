package intake_test

import (
	"testing"
	"time"

	"github.com/coriandershift/coriandershift/internal/coordination/intake"
)

// Load: a hundred callers with uploads of 2.5 times what the link carries, and one that
// asks as often as all others together.
func TestAGreedyCallerTakesItsShareOnly(t *testing.T) {
	const from, to = 2 * time.Second, 82 * time.Second
	l := newLink(intake.New(linkRate))
	l.add(uploadLoad(0.15, 0, from))
	l.add(uploadLoad(2.5, from, to))
	greedy := uploadLoad(2.5, from, to)
	greedy.callers, greedy.firstIP = 1, 101
	l.add(greedy)
	l.run(to + 5*time.Second)

	total, taken := 0, 0
	for _, r := range l.requests {
		if r.begun.Before(start.Add(from)) {
			continue
		}
		total += r.delivered
		if r.caller == greedy.firstIP {
			taken += r.delivered
		}
	}
	share := float64(taken) / float64(total)
	t.Logf("share %.4f, uploads %+v", share, l.outcomeOf(uploads, from, to))
	if share > 2.0/101 {
		t.Errorf("the greedy caller has %.4f of the bytes", share)
	}
	if rate := float64(total) / (linkRate * (to - from).Seconds()); rate < 0.5 {
		t.Errorf("the link carries uploads at %.2f of its rate only", rate)
	}
}

// Load: a hundred callers with uploads of 0.4 of what the link carries, and one that asks
// for 2.5 times as much as it carries.
func TestAGreedyCallerUsesWhatOthersLeave(t *testing.T) {
	const to = 20 * time.Second
	l := newLink(intake.New(linkRate))
	l.add(uploadLoad(0.4, 0, to))
	greedy := uploadLoad(2.5, 0, to)
	greedy.callers, greedy.firstIP = 1, 101
	l.add(greedy)
	l.run(to + 5*time.Second)

	all, inTime, taken := 0, 0, 0
	for _, r := range l.requests {
		switch {
		case r.caller == greedy.firstIP:
			taken += r.delivered
		case !r.endedAt.IsZero() && r.endedAt.Sub(r.begun) <= uploads.Objective.Duration():
			inTime++
			fallthrough
		default:
			all++
		}
	}
	share := float64(taken) / (linkRate * to.Seconds())
	t.Logf("%d of %d uploads of others are in time, the greedy caller uses %.2f of the link", inTime, all, share)
	if 10*inTime < 9*all {
		t.Errorf("%d of %d uploads of others are in time", inTime, all)
	}
	if share < 0.25 { // half of what is free
		t.Errorf("the greedy caller uses %.2f of the link", share)
	}
}

// Load: one caller with uploads at half of the link's rate, and no other.
func TestACallerThatIsAloneUsesTheLink(t *testing.T) {
	const to = 20 * time.Second
	l := newLink(intake.New(linkRate))
	d := uploadLoad(0.5, 0, to)
	d.callers = 1
	l.add(d)
	l.run(to + 5*time.Second)
	o := l.outcomeOf(uploads, 0, to)
	t.Logf("uploads %+v", o)
	if 10*o.inTime < 9*o.all {
		t.Errorf("%d of %d uploads are in time", o.inTime, o.all)
	}
}

// Load: a balancer starts in a burst of uploads, before it has seen one.
func TestABalancerThatStartsInABurstServesBookingsInTime(t *testing.T) {
	const to = 8 * time.Second
	for name, multiple := range multiples {
		t.Run(name, func(t *testing.T) {
			l := newLink(intake.New(linkRate))
			l.add(bookingLoad(to))
			l.add(uploadLoad(multiple, 0, to))
			l.run(to + 5*time.Second)
			booked := l.outcomeOf(bookings, 0, to)
			t.Logf("bookings %+v, uploads %+v", booked, l.outcomeOf(uploads, 0, to))
			if booked.inTime != booked.all {
				t.Error("some bookings are not in time")
			}
		})
	}
}

// Load: the files of a route grow from 40 to 200 KB, at 2.5 times what the link carries,
// and shrink to 2 KB.
func TestARouteWhoseFlowsChangeSizeIsLearnedWithinTwoSeconds(t *testing.T) {
	const grown, shrunk, to = 5 * time.Second, 15 * time.Second, 25 * time.Second
	l := newLink(intake.New(linkRate))
	l.add(bookingLoad(to))
	l.add(uploadLoad(2.5, 0, grown))
	large := uploadLoad(2.5, grown, shrunk)
	large.meanSize, large.spread, large.perSecond = 200_000, 0.2, large.perSecond/5
	l.add(large)
	small := uploadLoad(0.4, shrunk, to)
	small.meanSize, small.perSecond = 2000, small.perSecond*20
	l.add(small)
	l.run(to + 5*time.Second)

	if booked := l.outcomeOf(bookings, 0, to); booked.inTime != booked.all {
		t.Errorf("some bookings are not in time: %+v", booked)
	}
	o := l.outcomeOf(uploads, grown+2*time.Second, shrunk)
	t.Logf("large %+v", o)
	if admitted := o.all - o.refused; admitted == 0 || o.failed > 0 || 10*o.inTime < 9*admitted {
		t.Errorf("%d of %d admitted large uploads are in time", o.inTime, admitted)
	}
	o = l.outcomeOf(uploads, shrunk+2*time.Second, to)
	t.Logf("small %+v", o)
	if o.refusals > 0 || o.inTime != o.all {
		t.Error("not all small uploads are taken two seconds after the change")
	}
}

// Load: the fabric moves fifty half-finished uploads to a balancer that is offered uploads
// of 2.5 times its link's rate. Their packets in flight alone take 0.8 s.
func TestUploadsMovedByTheFabricGoFirst(t *testing.T) {
	const from, moved, to = 2 * time.Second, 4 * time.Second, 10 * time.Second
	l := newLink(intake.New(linkRate))
	l.add(bookingLoad(to))
	l.add(uploadLoad(0.15, 0, from))
	l.add(uploadLoad(2.5, from, to))
	var arrived []*request
	l.after(moved, func() {
		for i := range 50 {
			r := &request{load: &load{route: uploads}, caller: byte(201 + i), size: 20_000, begun: l.now, tries: maxTries}
			arrived = append(arrived, r)
			l.resume(r)
		}
	})
	l.run(to + 5*time.Second)

	for _, r := range arrived {
		if r.endedAt.IsZero() || r.endedAt.Sub(r.begun) > 2*time.Second {
			t.Errorf("a moved upload ended %v after its move", r.endedAt.Sub(r.begun))
		}
	}
	taken := 0
	for _, r := range l.requests {
		if since := r.begun.Sub(start.Add(moved)); r.load.route == uploads && since > 0 && since < 500*time.Millisecond && !r.endedAt.IsZero() {
			taken++
		}
	}
	if taken > 4 {
		t.Errorf("%d new uploads are taken in the first half second after the move", taken)
	}
	during := l.outcomeOf(bookings, moved, moved+2*time.Second)
	after := l.outcomeOf(bookings, moved+2*time.Second, to)
	t.Logf("bookings %+v, then %+v, uploads %+v", during, after, l.outcomeOf(uploads, moved, to))
	if during.failed > 0 || after.inTime != after.all {
		t.Error("bookings fail, or are late two seconds after the move")
	}
}
