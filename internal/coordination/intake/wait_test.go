package intake_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/coriandershift/coriandershift/internal/coordination/intake"
	"github.com/coriandershift/coriandershift/internal/state/config"
	"github.com/coriandershift/coriandershift/internal/state/flow"
)

// ended is a flow that Next returned.
type ended struct {
	Port    uint16
	Verdict intake.Verdict
}

func next(c *intake.Control, now time.Time) []ended {
	var all []ended
	for {
		key, verdict, found := c.Next(now)
		if !found {
			return all
		}
		all = append(all, ended{Port: key.Caller.Port, Verdict: verdict})
	}
}

func TestWaitingFlowsBeginByPriorityAndThenInOrder(t *testing.T) {
	c, now := learned()
	count := fill(c, now, urgentUploads) // the last one waits
	for port, route := range map[uint16]*config.Route{10: uploads, 11: urgentUploads} {
		if got := c.Admit(now, openingOf(route, 50+byte(port), port), route); port == 11 && got != intake.Wait {
			t.Fatalf("got verdict %d on port %d, want to wait", got, port)
		}
	}
	if got := next(c, now); len(got) > 0 {
		t.Errorf("%+v while the link is full", got)
	}
	for i := range count {
		c.Observe(now, finishOf(urgentUploads, byte(100+i), 1), urgentUploads)
	}
	got := next(c, now.Add(10*time.Millisecond))
	want := []ended{{1, intake.Take}, {11, intake.Take}}
	if diff := cmp.Diff(want, got[:min(2, len(got))]); diff != "" {
		t.Error(diff)
	}
}

func TestAFlowThatWaitedTooLongIsRefused(t *testing.T) {
	c, now := learned()
	fill(c, now, uploads) // the last one waits
	due, waiting := c.NextDue()
	if !waiting || due.Sub(now) > 100*time.Millisecond {
		t.Errorf("due in %v, waiting %v", due.Sub(now), waiting)
	}
	if got := next(c, due.Add(-time.Millisecond)); len(got) > 0 {
		t.Errorf("%+v before the time", got)
	}
	if diff := cmp.Diff([]ended{{1, intake.Refuse}}, next(c, due)); diff != "" {
		t.Error(diff)
	}
	if _, waiting := c.NextDue(); waiting {
		t.Error("a flow still waits")
	}
}

func TestAFileThatIsTooLargeForItsObjectiveIsTakenIfNoOtherIsSent(t *testing.T) {
	c := intake.New(linkRate)
	send(c, start, uploads, 1, 1, 2000)
	now := start.Add(time.Minute)
	if got := c.Admit(now, openingOf(uploads, 2, 1), uploads); got != intake.Take {
		t.Errorf("got verdict %d for the first", got)
	}
	if got := c.Admit(now, openingOf(uploads, 3, 1), uploads); got != intake.Refuse {
		t.Errorf("got verdict %d for the second", got)
	}
}

// Load: flows with a hundred small requests each, as a feed has, on a link that uploads fill.
func TestAFlowWithManySmallRequestsIsLight(t *testing.T) {
	c, now := learned()
	feed := &config.Route{Address: bookings.Address, Priority: 2, Objective: 400}
	for caller := range byte(10) {
		c.Admit(now, openingOf(feed, caller, 1), feed)
		for i := range 100 {
			c.Observe(now, dataOf(feed, caller, 1, i, uint32(2000*i)), feed)
			c.Observe(now, packetOf(feed, caller, 1, func(p *flow.Packet) { p.Ack, p.Acknowledged = true, uint32(1+2000*(i+1)) }), feed)
		}
	}
	fill(c, now, uploads)
	if got := c.Admit(now, openingOf(feed, 50, 2), feed); got != intake.Take {
		t.Errorf("got verdict %d", got)
	}
}

func TestOneLargeTransferDoesNotMakeALightRouteHeavy(t *testing.T) {
	c, now := learned()
	send(c, now, bookings, 1, 9, 200)
	fill(c, now, urgentUploads)
	if got := c.Admit(now, openingOf(bookings, 50, 2), bookings); got != intake.Take {
		t.Errorf("got verdict %d", got)
	}
}

func TestWithoutALinkRateAllFlowsAreTaken(t *testing.T) {
	c := intake.New(0)
	send(c, start, uploads, 1, 1, 34)
	if got := fill(c, start, uploads); got != 100 {
		t.Errorf("%d of 100 flows are taken", got)
	}
	if key, _, found := c.Next(start); found {
		t.Errorf("%v waits", key)
	}
	c.Forget(openingOf(uploads, 1, 1).KeyFromCaller())
	if got := outstanding(c); got != 0 {
		t.Errorf("%d bytes are outstanding", got)
	}
}

// Load: more transfers than are kept, of flows that the fabric moved here.
func TestTransfersAreBounded(t *testing.T) {
	c, now := learned()
	for i := range 40_000 {
		c.Observe(now, dataOf(uploads, byte(i>>14), uint16(i), 5, 0), uploads)
	}
	if got, limit := outstanding(c), 8192*34*fullPacketSize; got > limit {
		t.Errorf("%d bytes are outstanding, more than of 8,192 transfers", got)
	}
	if got := c.Admit(now.Add(2*time.Second), openingOf(uploads, 1, 1), uploads); got != intake.Take {
		t.Errorf("got verdict %d after two seconds", got)
	}
}
