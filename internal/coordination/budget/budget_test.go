package budget_test

import (
	"testing"
	"time"

	"github.com/coriandershift/coriandershift/internal/coordination/budget"
)

const tenMbps = 1_250_000 // bytes per second

var start = time.Unix(1_800_000_000, 0)

func TestOwnMessagesTakeATenthOfTheLink(t *testing.T) {
	const seconds, message = 20, 300
	b := budget.New(tenMbps)
	taken := 0
	for at := time.Duration(0); at < seconds*time.Second; at += time.Millisecond {
		if b.Take(start.Add(at), message) {
			taken += message
		}
	}
	burst := tenMbps / 10
	if most := seconds*tenMbps/10 + burst + message; taken > most || taken < seconds*tenMbps/10 {
		t.Errorf("%d bytes were taken, want at most %d", taken, most)
	}
}

func TestADebtIsPaidBeforeFurtherMessages(t *testing.T) {
	b := budget.New(tenMbps)
	if !b.Take(start, tenMbps/5) {
		t.Fatal("a full budget is not available")
	}
	if b.Covers(start, 1) || b.Available(start.Add(900*time.Millisecond)) {
		t.Error("it is available in debt")
	}
	if !b.Available(start.Add(1100 * time.Millisecond)) {
		t.Error("it is not available after the debt is paid")
	}
}

func TestARunPassesTheLinkBeforeTheNext(t *testing.T) {
	b := budget.New(tenMbps)
	length := int(b.RunLength())
	b.StartRun(start)
	if !b.RunIsEmpty() || !b.FitsRun(length) || b.FitsRun(length+1) {
		t.Error("an empty run does not take its length")
	}
	b.CountSent(length)
	b.StartRun(start.Add(20 * time.Millisecond))
	if b.RunIsEmpty() || b.FitsRun(1) {
		t.Error("the next run starts before the last has passed the link")
	}
	b.StartRun(start.Add(25 * time.Millisecond))
	if !b.FitsRun(length) {
		t.Error("the next run does not start")
	}
}

func TestWithoutALinkRateThereIsNoLimit(t *testing.T) {
	b := budget.New(0)
	for range 100 {
		b.CountSent(1 << 20)
		if b.IsLimited() || !b.Take(start, 1<<20) || !b.Covers(start, 1<<20) || !b.FitsRun(1<<20) {
			t.Fatal("messages are limited")
		}
	}
}
