package steer_test

import (
	"testing"
	"time"

	"github.com/coriandershift/coriandershift/internal/coordination/steer"
	"github.com/coriandershift/coriandershift/internal/state/flow"
)

// The load is a link that stays full for four seconds, so that no notice arrives. Callers
// give up after 1.4 s.
func TestNoCopiesOfOpeningsThatCallersHaveGivenUp(t *testing.T) {
	r := narrowRouter(steer.WithLinkRate(narrowLink))
	known := data(1)
	known.Raw = make([]byte, 1200)
	r.HandleAgentMessage(start, noticeFrom(known, fleetAgent(0)), known.KeyFromCaller().Append(nil), parse)
	port, copies := uint16(100), 0
	for at := time.Duration(0); at < 4*time.Second; at += 10 * time.Millisecond {
		now := start.Add(at)
		for range 9 {
			r.HandleCallerPacket(now, known)
		}
		port++
		r.HandleCallerPacket(now, opening(port))
		for _, a := range r.Tick(now) {
			if a.Reason == steer.PlacedNextAfterSilence && at > time.Second {
				copies++
			}
		}
	}
	if copies > 0 {
		t.Errorf("%d copies on a link that is full for four seconds", copies)
	}
}

// One notice is lost while the budget does not cover a copy. That is one missed notice of
// its agent, however long the copy waits.
func TestACopyThatWaitsForTheBudgetCountsAsOneMissedNotice(t *testing.T) {
	r := narrowRouter(steer.WithLinkRate(narrowLink))
	for port := uint16(1000); port < 2000; port++ {
		r.HandleCallerPacket(start, data(port))
	}
	now := start
	for range 20 { // the agents leave the queries unanswered
		now = now.Add(50 * time.Millisecond)
		r.Tick(now)
	}
	silent := r.HandleCallerPacket(now, opening(1))[0].To
	for range 20 {
		now = now.Add(20 * time.Millisecond)
		for _, a := range r.Tick(now) {
			if a.Reason == steer.PlacedNextAfterSilence {
				t.Fatal("the budget covers a copy")
			}
		}
	}
	now = now.Add(1500 * time.Millisecond) // its load is not known any more
	for port := uint16(100); port < 1000; port++ {
		p := opening(port)
		to := r.HandleCallerPacket(now, p)[0].To
		if to == silent {
			return
		}
		r.HandleAgentMessage(now, noticeFrom(p, to), p.KeyFromCaller().Append(nil), parse)
	}
	t.Error("the agent gets no more flows after one missed notice")
}

// This process is paused, so that it reads notices late. The timeout of later openings must
// hardly grow by that.
func TestAPauseDoesNotCountAsADelayOfNotices(t *testing.T) {
	r := narrowRouter()
	now := start
	sent := map[uint16]flow.Endpoint{}
	for port := uint16(100); port < 103; port++ {
		sent[port] = r.HandleCallerPacket(now, opening(port))[0].To
	}
	now = now.Add(400 * time.Millisecond)
	r.Tick(now)
	for port, to := range sent {
		p := opening(port)
		r.HandleAgentMessage(now, noticeFrom(p, to), p.KeyFromCaller().Append(nil), parse)
	}
	r.Tick(now.Add(10 * time.Millisecond))
	now = now.Add(time.Second)
	r.HandleCallerPacket(now, opening(1000))
	if due, _ := r.NextTick(); due.Sub(now) > 100*time.Millisecond {
		t.Errorf("an opening waits %v for its notice after a pause", due.Sub(now))
	}
}
