package steer_test

import (
	"slices"
	"testing"
	"time"

	"github.com/coriandershift/coriandershift/internal/coordination/steer"
	"github.com/coriandershift/coriandershift/internal/protocol/fwdmsg"
	"github.com/coriandershift/coriandershift/internal/state/flow"
	"github.com/coriandershift/coriandershift/internal/state/roster"
)

// lateness plays openings, 100 a second for a second, whose agents send no notice if
// silent reports so for their number, on a link on which callers' data takes a share. It
// returns the numbers of copies that went to a further agent in all and in the second half.
func lateness(r *steer.Router, linkRate int, dataShare float64, silent func(number int) bool) (copies, lateCopies int) {
	known := data(1)
	known.Raw = make([]byte, 1200)
	r.HandleAgentMessage(start, noticeFrom(known, fleetAgent(0)), known.KeyFromCaller().Append(nil), parse)

	const step = 10 * time.Millisecond
	port := uint16(100)
	for at := time.Duration(0); at < time.Second; at += step {
		now := start.Add(at)
		for sent := 0; float64(sent) < dataShare*float64(linkRate)*step.Seconds(); sent += len(known.Raw) {
			r.HandleCallerPacket(now, known)
		}
		port++
		p := opening(port)
		for _, a := range r.HandleCallerPacket(now, p) {
			if number := numberOf(a.To); a.Reason == steer.Placed && !silent(number) {
				r.HandleAgentMessage(now, noticeFrom(p, a.To), p.KeyFromCaller().Append(nil), parse)
			}
		}
		for _, a := range r.Tick(now) {
			if a.Reason != steer.PlacedNextAfterSilence {
				continue
			}
			copies++
			if at >= time.Second/2 {
				lateCopies++
			}
		}
	}
	return copies, lateCopies
}

// noticeFrom returns the envelope of an idle agent's notice for the flow of p.
func noticeFrom(p *flow.Packet, from flow.Endpoint) *fwdmsg.Envelope {
	e, _ := notice(p, from)
	return e
}

// numberOf returns the index of an agent in narrowMembers, -1 if it is another one.
func numberOf(agent flow.Endpoint) int {
	return slices.IndexFunc(narrowMembers(), func(m roster.Member) bool { return flow.EndpointOf(m.Address) == agent })
}

func TestWhoIsTakenForSlow(t *testing.T) {
	all := func(int) bool { return true }
	tests := map[string]struct {
		linkRate  int
		dataShare float64
		silent    func(number int) bool
		wantLink  bool // taken for slow, so that copies end within half a second
	}{
		"a full link makes all notices late":        {narrowLink, 0.8, all, true},
		"a full link makes most notices late":       {narrowLink, 0.8, func(n int) bool { return n%4 != 0 }, true},
		"all agents are silent on a calm link":      {narrowLink, 0.1, all, false},
		"a failure domain is silent on a full link": {narrowLink, 0.8, func(n int) bool { return n%3 == 0 }, false},
		"one agent is silent on a full link":        {narrowLink, 0.8, func(n int) bool { return n < 2 }, false},
		"the rate of the link is not known":         {0, 0, all, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			r := narrowRouter(steer.WithLinkRate(test.linkRate))
			copies, lateCopies := lateness(r, test.linkRate, test.dataShare, test.silent)
			if test.wantLink && lateCopies > 0 {
				t.Errorf("%d copies of openings went to further agents after half a second", lateCopies)
			}
			if !test.wantLink && copies == 0 {
				t.Error("no copies of openings went to further agents")
			}
		})
	}
}

// The load is a link that was full for a second, with all notices late. Agents must not
// stay suspected after it: callers need all of them.
func TestAgentsAreNotSuspectedAfterAFullLink(t *testing.T) {
	agentsUsed := func(r *steer.Router) int {
		now := start.Add(3 * time.Second)
		r.Tick(now)
		used := map[flow.Endpoint]bool{}
		for port := uint16(10_000); port < 12_000; port++ {
			p := opening(port)
			a := r.HandleCallerPacket(now, p)[0]
			used[a.To] = true
			r.HandleAgentMessage(now, noticeFrom(p, a.To), p.KeyFromCaller().Append(nil), parse)
		}
		return len(used)
	}
	late := narrowRouter(steer.WithLinkRate(narrowLink))
	lateness(late, narrowLink, 0.8, func(int) bool { return true })
	if got, want := agentsUsed(late), agentsUsed(narrowRouter()); got < want {
		t.Errorf("new flows go to %d agents, want %d as without the full link", got, want)
	}
}

// A domain of two is lost while the link is half used. Now and then the network loses a
// notice of the other domain, which must not make the link count as slow.
func TestALostDomainIsNotPutDownToTheLinkForStrayMisses(t *testing.T) {
	members := narrowMembers()
	number := map[flow.Endpoint]int{}
	for i := range members {
		members[i].Domain = []string{"a", "b"}[i%2]
		number[flow.EndpointOf(members[i].Address)] = i
	}
	r := convergedRouter(members...)
	steer.WithLinkRate(narrowLink)(r)
	known := data(1)
	known.Raw = make([]byte, 1200)
	r.HandleAgentMessage(start, noticeFrom(known, fleetAgent(0)), known.KeyFromCaller().Append(nil), parse)
	copies, silent, notices := 0, 0, 0
	placedAt := map[flow.Key]time.Time{}
	port := uint16(100)
	for at := time.Duration(0); at < 4*time.Second; at += 10 * time.Millisecond {
		now := start.Add(at)
		for range 7 {
			r.HandleCallerPacket(now, known)
		}
		for range 3 {
			port++
			p := opening(port)
			for _, a := range r.HandleCallerPacket(now, p) {
				if at > time.Second && number[a.To]%2 == 0 {
					silent++
					placedAt[a.Key] = now
					continue
				}
				if notices++; notices%100 != 0 {
					r.HandleAgentMessage(now, noticeFrom(p, a.To), p.KeyFromCaller().Append(nil), parse)
				}
			}
		}
		for _, a := range r.Tick(now) {
			if a.Reason != steer.PlacedNextAfterSilence {
				continue
			}
			if first, found := placedAt[a.Key]; found && now.Sub(first) < 400*time.Millisecond {
				copies++
			}
		}
	}
	if copies < silent/2 {
		t.Errorf("%d openings went to silent agents and only %d copies to others in time", silent, copies)
	}
}
