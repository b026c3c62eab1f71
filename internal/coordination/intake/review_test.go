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

// A flow used to be refused at the end of its wait although the link had become free,
// if nothing else had called Next since then.
func TestAFlowIsTakenAtTheEndOfItsWaitIfTheLinkIsFree(t *testing.T) {
	c, now := learned()
	count := fill(c, now, uploads) // the last one waits
	for i := range count {
		c.Forget(openingOf(uploads, byte(100+i), 1).KeyFromCaller())
	}
	due, _ := c.NextDue()
	if diff := cmp.Diff([]ended{{1, intake.Take}}, next(c, due)); diff != "" {
		t.Error(diff)
	}
}

// quick is a route with an objective of 200 ms.
var quick = &config.Route{Address: netip.MustParseAddrPort("198.18.0.4:443"), Priority: 1, Objective: 200, Timeout: 4000}

// A request that is not served may be held for a quarter of its objective.
func TestNoFlowWaitsForMoreThanAQuarterOfItsObjective(t *testing.T) {
	c := intake.New(linkRate)
	send(c, start, quick, 1, 1, 12)
	now := start.Add(time.Minute)
	count := fill(c, now, quick)
	for i := range count {
		for index := range 6 {
			c.Observe(now, dataOf(quick, byte(100+i), 1, index, 0), quick)
		}
	}
	if got := c.Admit(now, openingOf(quick, 50, 1), quick); got != intake.Wait {
		t.Fatalf("got verdict %d, want to wait", got)
	}
	due, _ := c.NextDue()
	if limit := quick.Objective.Duration() / 4; due.Sub(now) > limit {
		t.Errorf("a flow may wait for %v, want at most %v", due.Sub(now), limit)
	}
}

// A copy of data that arrives after the answer was acknowledged used to count as another
// transfer of one packet.
func TestALateCopyOfDataBeginsNoTransfer(t *testing.T) {
	c, now := learned()
	c.Admit(now, openingOf(uploads, 2, 2), uploads)
	for i := range 34 {
		c.Observe(now, dataOf(uploads, 2, 2, i, 0), uploads)
	}
	answered := packetOf(uploads, 2, 2, func(p *flow.Packet) { p.Ack, p.Acknowledged = true, 301 })
	c.Observe(now, answered, uploads)
	if got := outstanding(c); got != 0 {
		t.Fatalf("%d bytes are outstanding after the answer", got)
	}
	c.Observe(now, dataOf(uploads, 2, 2, 33, 0), uploads)
	if got := outstanding(c); got != 0 {
		t.Errorf("%d bytes are outstanding after a late copy", got)
	}
}

// The link was idle while a caller beyond its share was refused.
func TestNoFlowIsRefusedWhileNothingIsOutstanding(t *testing.T) {
	c := intake.New(linkRate)
	send(c, start, quick, 1, 1, 60)
	now := start.Add(time.Minute)
	for port := range uint16(3) { // one caller's files, one after the other
		if got := c.Admit(now, openingOf(quick, 1, port), quick); got != intake.Take {
			t.Errorf("got verdict %d for file %d with %d bytes outstanding", got, port, outstanding(c))
			break
		}
		c.Admit(now, openingOf(quick, 2, port), quick) // refused for that of the first
		now = now.Add(70 * time.Millisecond)
		c.Forget(openingOf(quick, 1, port).KeyFromCaller())
	}
}

// The first transfer of a route used to decide alone that its requests are heavy.
func TestOneLargeRequestDoesNotMakeSmallOnesWait(t *testing.T) {
	c, now := learned()
	fresh := &config.Route{Address: netip.MustParseAddrPort("198.18.0.5:443"), Priority: 1, Objective: 400, Timeout: 4000}
	send(c, now, fresh, 1, 1, 34)
	now = now.Add(time.Second)
	fill(c, now, uploads)
	if got := c.Admit(now, openingOf(fresh, 50, 1), fresh); got != intake.Take {
		t.Errorf("got verdict %d for a route with one large request", got)
	}
}
