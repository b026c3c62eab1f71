package steer_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/coriandershift/coriandershift/internal/coordination/steer"
	"github.com/coriandershift/coriandershift/internal/protocol/fwdmsg"
	"github.com/coriandershift/coriandershift/internal/state/flow"
	"github.com/coriandershift/coriandershift/internal/state/roster"
)

// The load is 60 agents, and a lost flow beyond what the budget covers.
func TestWhenQuestionsAreDelegated(t *testing.T) {
	for name, test := range map[string]struct {
		linkRate   int
		heard      bool
		wantDirect int // flows of 400 that are asked about directly, at least
		wantAll    bool
	}{
		"the rate of the link is not known": {0, true, 400, true},
		"the link is wide":                  {125_000_000, true, 400, true},
		"the link is narrow":                {narrowLink, true, 27, false},
		"the link is slow":                  {slowLink, true, 0, false},
		"no agent was heard lately":         {narrowLink, false, 27, true},
	} {
		t.Run(name, func(t *testing.T) {
			r := narrowRouter(steer.WithLinkRate(test.linkRate))
			if test.heard {
				hearFrom(r, start, narrowMembers())
			}
			for port := range uint16(400) {
				r.HandleCallerPacket(start, data(port))
			}
			direct, delegated := 0, 0
			for _, a := range r.Tick(start.Add(150 * time.Millisecond)) {
				switch a.Envelope.Kind {
				case fwdmsg.Query:
					direct += len(a.Packet) / fwdmsg.QuestionLength
				case fwdmsg.DelegatedQuery:
					delegated += len(delegationOf(t, a).Questions)
				}
			}
			if direct < test.wantDirect*narrowFleet {
				t.Errorf("%d direct questions, want at least %d", direct, test.wantDirect*narrowFleet)
			}
			if (delegated == 0) != test.wantAll {
				t.Errorf("%d flows were delegated, %d direct questions", delegated, direct)
			}
		})
	}
}

func TestADelegateIsAskedAboutEveryAgent(t *testing.T) {
	_, query := delegatingRouter(t)
	d := delegationOf(t, query)
	asked := map[flow.Endpoint]bool{}
	for _, a := range d.Agents {
		asked[a] = true
	}
	if len(asked) != narrowFleet || !asked[query.To] {
		t.Errorf("%d agents are to be asked, the delegate itself: %v", len(asked), asked[query.To])
	}
	if diff := cmp.Diff([]fwdmsg.Question{{Key: data(1).KeyFromCaller(), Acknowledged: 500}}, d.Questions); diff != "" {
		t.Error(diff)
	}
}

func TestAFlowThatADelegateFindsGetsItsPacket(t *testing.T) {
	r, query := delegatingRouter(t)
	replies := noHolder(t, query)
	replies.Holders[0] = 17
	clear(replies.Answered[40:]) // it does not wait for them once all flows are found
	got := replyDelegated(r, start, query, replies)
	if len(got) != 1 || got[0].Reason != steer.Found || got[0].To != delegationOf(t, query).Agents[17] {
		t.Errorf("got %+v", got)
	}
	if again, _ := tickUntil(r, start); len(again) != 0 {
		t.Errorf("after that: %v", describe(again))
	}
}

func TestAFlowIsGoneOnceADelegateHasTheRepliesOfAllAgents(t *testing.T) {
	r, query := delegatingRouter(t)
	got := replyDelegated(r, start, query, noHolder(t, query))
	if diff := cmp.Diff([]steer.Reason{steer.FlowGone}, reasonsOf(got)); diff != "" {
		t.Error(diff)
	}
}

// The present process of every agent must have answered, as without a delegate.
func TestAgentsThatChangeWhileADelegateAsksAreAskedToo(t *testing.T) {
	restarted := narrowMembers()[7]
	restarted.Incarnation++
	added := fleetMembers(narrowFleet, narrowFleet+1)[0]
	removed := narrowMembers()[7]
	removed.State, removed.NoFlows = roster.Dead, true
	for name, test := range map[string]struct {
		change roster.Member
		want   []flow.Endpoint
	}{
		"an agent restarts":      {restarted, []flow.Endpoint{fleetAgent(7)}},
		"an agent appears":       {added, []flow.Endpoint{fleetAgent(narrowFleet)}},
		"an agent ends":          {removed, nil},
		"nothing changes anyway": {narrowMembers()[7], nil},
	} {
		t.Run(name, func(t *testing.T) {
			r, query := delegatingRouter(t)
			r.UpdateMembers(start, []roster.Member{test.change})
			got := replyDelegated(r, start, query, noHolder(t, query))
			var asked []flow.Endpoint
			for _, a := range got {
				if a.Envelope.Kind == fwdmsg.Query {
					asked = append(asked, a.To)
				}
			}
			if diff := cmp.Diff(test.want, asked); diff != "" {
				t.Fatal(diff)
			}
			if len(asked) > 0 {
				if len(got) != len(asked) {
					t.Fatalf("got %v before the agent has replied", describe(got))
				}
				got = reply(r, start, got[0], fwdmsg.NotHeld)
			}
			if diff := cmp.Diff([]steer.Reason{steer.FlowGone}, reasonsOf(got)); diff != "" {
				t.Error(diff)
			}
		})
	}
}

func TestAgentsThatAreUncertainToADelegateAreOfferedThePacket(t *testing.T) {
	r, query := delegatingRouter(t)
	replies := noHolder(t, query)
	replies.Uncertain[3], replies.Uncertain[30] = true, true
	got := replyDelegated(r, start, query, replies)
	agents := delegationOf(t, query).Agents
	if len(got) != 2 || got[0].Reason != steer.Offered || got[0].To != agents[3] || got[1].To != agents[30] {
		t.Fatalf("got %v", describe(got))
	}
	for i, offer := range got {
		after := r.HandleAgentMessage(start, returnedFrom(offer.Envelope, offer.To), offer.Packet, parse)
		if isLast := i == 1; (len(after) == 1 && after[0].Reason == steer.FlowGone) != isLast {
			t.Errorf("after %d offers came back: %v", i+1, describe(after))
		}
	}
}

func TestRepliesThatAreNotTheDelegatesAreIgnored(t *testing.T) {
	for name, change := range map[string]func(query *steer.Action, replies *fwdmsg.DelegatedReplies){
		"of another agent":           func(query *steer.Action, _ *fwdmsg.DelegatedReplies) { query.To = endpoint(99) },
		"to another delegated query": func(query *steer.Action, _ *fwdmsg.DelegatedReplies) { query.Envelope.QueryID++ },
		"of another length":          func(_ *steer.Action, replies *fwdmsg.DelegatedReplies) { replies.Holders = append(replies.Holders, 0) },
		"with an unknown holder":     func(_ *steer.Action, replies *fwdmsg.DelegatedReplies) { replies.Holders[0] = narrowFleet },
	} {
		t.Run(name, func(t *testing.T) {
			r, query := delegatingRouter(t)
			replies := noHolder(t, query)
			change(&query, &replies)
			if got := replyDelegated(r, start, query, replies); len(got) != 0 {
				t.Errorf("got %v", describe(got))
			}
		})
	}
}

// A delegate that was paused may answer a balancer that has restarted meanwhile. Its reply
// stands for all agents, so it must not fit a query of the new process.
func TestARestartedBalancerUsesOtherQueryIDs(t *testing.T) {
	_, first := delegatingRouter(t)
	r := steer.New(self, "a", start.Add(-time.Minute), steer.WithLinkRate(slowLink))
	r.Configure(start, newConfig(1, "svc"))
	r.UpdateMembers(start, narrowMembers())
	hearFrom(r, start, narrowMembers())
	r.Tick(start)
	second := onlyDelegated(t, queriesAfterChain(t, r, start, r.HandleCallerPacket(start, data(1))[0]))
	if first.Envelope.QueryID == second.Envelope.QueryID {
		t.Errorf("both use %d", first.Envelope.QueryID)
	}
}
