package steer_test

import (
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/coriandershift/coriandershift/internal/coordination/steer"
	"github.com/coriandershift/coriandershift/internal/protocol/fwdmsg"
	"github.com/coriandershift/coriandershift/internal/state/flow"
	"github.com/coriandershift/coriandershift/internal/state/roster"
)

func TestWhichAgentsBecomeDelegates(t *testing.T) {
	const heard = 10 // of the agents, the others were silent
	members := narrowMembers()
	for i, change := range []func(*roster.Member){
		func(m *roster.Member) { m.State = roster.Leaving },
		func(m *roster.Member) { m.State = roster.Dead },
		func(m *roster.Member) { m.Incarnation++ }, // not heard of since
	} {
		change(&members[i])
	}
	uses := map[flow.Endpoint]int{}
	for port := range uint16(700) {
		r := routerAt(endpoint(byte(port)), slowLink, narrowMembers()[:heard])
		r.UpdateMembers(start, members)
		r.HandleCallerPacket(start, data(port))
		for _, a := range r.Tick(start.Add(150 * time.Millisecond)) {
			if a.Envelope.Kind == fwdmsg.DelegatedQuery {
				uses[a.To]++
			}
		}
	}
	for i := 3; i < heard; i++ {
		if count := uses[fleetAgent(i)]; count < 50 || count > 200 {
			t.Errorf("agent %d was the delegate %d times of 700", i, count)
		}
		delete(uses, fleetAgent(i))
	}
	if len(uses) != 0 {
		t.Errorf("other delegates: %v", uses)
	}
}

// An agent that sends no notices for openings may be cut off one way.
func TestASuspectedAgentIsNoDelegate(t *testing.T) {
	for name, test := range map[string]struct {
		openings uint16 // that get no notice
		want     fwdmsg.Kind
	}{
		"it missed no notice":   {0, fwdmsg.DelegatedQuery},
		"it missed two notices": {2, fwdmsg.Query},
	} {
		t.Run(name, func(t *testing.T) {
			members := narrowMembers()
			for i := range members[1:] {
				members[1+i].Weight = 0 // openings go to the first agent
			}
			r := narrowRouter(steer.WithLinkRate(slowLink))
			r.UpdateMembers(start, members)
			hearFrom(r, start, members[:1])
			for port := range test.openings {
				r.HandleCallerPacket(start, opening(port))
			}
			now := start.Add(250 * time.Millisecond)
			r.Tick(start.Add(70 * time.Millisecond)) // the openings time out
			r.HandleCallerPacket(start.Add(100*time.Millisecond), data(1))
			got := r.Tick(now)
			if len(got) == 0 || got[0].Envelope.Kind != test.want {
				t.Errorf("got %v, want kind %d", describe(got), test.want)
			}
		})
	}
}

// An agent of a version without delegated queries never answers one.
func TestAFleetOfTwoVersionsFindsItsFlows(t *testing.T) {
	for name, oldCount := range map[string]int{"a third is old": 20, "two thirds are old": 40, "all are old": 60} {
		t.Run(name, func(t *testing.T) {
			fs := newFindSim(t, 1, 60, slowLink)
			for i := range oldCount {
				fs.agents[fleetAgent(i)].old = true
			}
			b := fs.balancers[0]
			fs.lost(b, 1)
			fs.lost(b, 2)
			fs.agents[fleetAgent(44)].holds[data(1).KeyFromCaller()] = true
			fs.run(4 * time.Second)
			if len(b.found) != 1 || len(b.gone) != 1 {
				t.Errorf("found %v, gone %v, messages by kind %v", b.found, b.gone, b.sent)
			}
		})
	}
}

// Among several delegates of one query, only those that are silent are replaced.
func TestADelegateThatAnsweredIsNotReplacedWhileAnotherIsSilent(t *testing.T) {
	for lastOctet := byte(30); lastOctet < 50; lastOctet++ {
		r := routerAt(endpoint(lastOctet), slowLink, nil)
		r.UpdateMembers(start, fleetMembers(0, 200))
		hearFrom(r, start, fleetMembers(0, 1)) // and from the agent of the chain
		queries := queriesAfterChain(t, r, start, r.HandleCallerPacket(start, data(1))[0])
		if len(queries) != 2 || queries[0].To == queries[1].To {
			t.Fatalf("got %v, want two delegated queries", describe(queries))
		}
		if got := replyDelegated(r, start, queries[0], noHolder(t, queries[0])); len(got) != 0 {
			t.Fatalf("after one of two: %v", describe(got))
		}
		next, now := tickUntil(r, start)
		again := onlyDelegated(t, next)
		if diff := cmp.Diff(delegationOf(t, queries[1]).Agents, delegationOf(t, again).Agents); diff != "" || again.To != queries[0].To {
			t.Errorf("asked %v: %s", again.To, diff)
		}
		got := replyDelegated(r, now, again, noHolder(t, again))
		if diff := cmp.Diff([]steer.Reason{steer.FlowGone}, reasonsOf(got)); diff != "" {
			t.Error(diff)
		}
	}
}

func TestAnAgentThatDidNotAnswerAsADelegateIsNotChosenAgainSoon(t *testing.T) {
	members := narrowMembers()
	r := narrowRouter(steer.WithLinkRate(faultLink))
	hearFrom(r, start, members[:4])
	r.HandleCallerPacket(start, data(1))
	silent := onlyDelegated(t, slices.Clone(r.Tick(start.Add(150*time.Millisecond)))).To
	_, now := tickUntil(r, start.Add(150*time.Millisecond))
	uses := map[flow.Endpoint]int{}
	for port := uint16(10); now.Sub(start) < 2*time.Second; port++ {
		hearFrom(r, now, members[:4])
		r.HandleCallerPacket(now, data(port))
		now = now.Add(10 * time.Millisecond)
		for _, a := range slices.Clone(r.Tick(now)) {
			if a.Envelope.Kind == fwdmsg.DelegatedQuery {
				uses[a.To]++
				replyDelegated(r, now, a, noHolder(t, a))
			}
		}
	}
	if uses[silent] > 0 || len(uses) != 3 {
		t.Errorf("uses %v, want none of %v", uses, silent)
	}
}
