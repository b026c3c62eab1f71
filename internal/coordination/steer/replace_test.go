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

// Nobody may conclude that a flow is gone from the replies of some agents. The others
// are asked again, and only they, by a delegate that is none of them.
func TestAgentsThatDidNotReplyToADelegateAreAskedAgain(t *testing.T) {
	for lastOctet := byte(30); lastOctet < 50; lastOctet++ {
		r := routerAt(endpoint(lastOctet), slowLink, narrowMembers())
		query := onlyDelegated(t, queriesAfterChain(t, r, start, r.HandleCallerPacket(start, data(1))[0]))
		replies := noHolder(t, query)
		silent := delegationOf(t, query).Agents[20:40]
		for i := 20; i < 40; i++ {
			replies.Answered[i] = false
		}
		next := replyDelegated(r, start, query, replies)
		if len(next) == 0 {
			next, _ = tickUntil(r, start) // once the budget permits
		}
		second := onlyDelegated(t, next)
		if second.To == query.To || slices.Contains(silent, second.To) {
			t.Errorf("the second delegate %v is the first one or silent", second.To)
		}
		if diff := cmp.Diff(silent, delegationOf(t, second).Agents); diff != "" {
			t.Error(diff)
		}
		got := replyDelegated(r, start, second, noHolder(t, second))
		if diff := cmp.Diff([]steer.Reason{steer.FlowGone}, reasonsOf(got)); diff != "" {
			t.Error(diff)
		}
	}
}

// The load is the loss of a failure domain: its agents count as dead, but may come back
// and still have their flows. Flows of other agents are found without a wait for them.
func TestDeadAgentsDelayNoOthersReplies(t *testing.T) {
	members := narrowMembers()
	for i := range members {
		if members[i].Domain == "a" {
			members[i].State = roster.Dead
		}
	}
	r := routerAt(self, slowLink, members)
	queries := queriesAfterChain(t, r, start, r.HandleCallerPacket(start, data(1))[0])
	if len(queries) != 2 {
		t.Fatalf("got %v, want two delegated queries", describe(queries))
	}
	var asked []int
	for _, q := range queries {
		asked = append(asked, len(delegationOf(t, q).Agents))
	}
	if diff := cmp.Diff([]int{40, 20}, asked); diff != "" {
		t.Fatal(diff)
	}

	none := noHolder(t, queries[1])
	clear(none.Answered)
	if got := replyDelegated(r, start, queries[1], none); len(got) != 0 {
		t.Errorf("dead agents are asked again: %v", describe(got))
	}
	if got := replyDelegated(r, start, queries[0], noHolder(t, queries[0])); len(got) != 0 {
		t.Errorf("got %v although dead agents have not answered", describe(got))
	}
	got, _ := tickUntil(r, start)
	if diff := cmp.Diff([]steer.Reason{steer.NotFoundAgentSilent}, reasonsOf(got)); diff != "" {
		t.Error(diff)
	}
}

func TestASearchWithAnAgentThatNeverRepliesIsInconclusive(t *testing.T) {
	fs := newFindSim(t, 1, 60, slowLink)
	fs.agents[fleetAgent(5)].down = true
	for fs.now.Sub(start) < 10*time.Second {
		if fs.now.Sub(start)%time.Second == 0 {
			fs.lost(fs.balancers[0], 1)
		}
		fs.run(100 * time.Millisecond)
	}
	b := fs.balancers[0]
	if len(b.gone) != 0 {
		t.Error("the flow was declared gone")
	}
	if b.sent[fwdmsg.DelegatedQuery] < 3 || b.sent[fwdmsg.Query] == 0 {
		t.Errorf("%v messages by kind", b.sent)
	}
}

// A delegate may die, or its reply may be lost: that delays the search by a timeout.
func TestASilentDelegateIsReplacedAndThenAgentsAreAskedDirectly(t *testing.T) {
	r, first := delegatingRouter(t)
	next, now := tickUntil(r, start)
	second := onlyDelegated(t, next)
	if second.To == first.To {
		t.Error("the silent delegate was chosen again")
	}
	if wait := now.Sub(start); wait > 400*time.Millisecond {
		t.Errorf("the next delegate was asked after %v", wait)
	}
	if diff := cmp.Diff(delegationOf(t, first).Agents, delegationOf(t, second).Agents); diff != "" {
		t.Error(diff)
	}

	asked := map[flow.Endpoint]bool{}
	var got []steer.Action
	for len(got) == 0 && len(asked) < narrowFleet {
		var queries []steer.Action
		if queries, now = tickUntil(r, now); len(queries) == 0 {
			t.Fatalf("nothing more is asked after %d agents", len(asked))
		}
		for _, q := range queries {
			if q.Envelope.Kind != fwdmsg.Query || asked[q.To] {
				t.Fatalf("after two silent delegates: got %v", describe(queries))
			}
			asked[q.To] = true
			got = append(got, reply(r, now, q, fwdmsg.NotHeld)...)
		}
	}
	if diff := cmp.Diff([]steer.Reason{steer.FlowGone}, reasonsOf(got)); diff != "" {
		t.Error(diff)
	}
}

// On a full link the reply of a delegate may come after the next one was asked.
func TestALateReplyOfADelegateCounts(t *testing.T) {
	restarted := narrowMembers()[7]
	restarted.Incarnation++
	t.Run("all agents are the same processes", func(t *testing.T) {
		r, first := delegatingRouter(t)
		_, now := tickUntil(r, start)
		got := replyDelegated(r, now, first, noHolder(t, first))
		if diff := cmp.Diff([]steer.Reason{steer.FlowGone}, reasonsOf(got)); diff != "" {
			t.Error(diff)
		}
	})
	t.Run("an agent restarted before the next delegate was asked", func(t *testing.T) {
		r, first := delegatingRouter(t)
		r.UpdateMembers(start, []roster.Member{restarted})
		next, now := tickUntil(r, start)
		second := onlyDelegated(t, next)
		if got := replyDelegated(r, now, first, noHolder(t, first)); len(got) != 0 {
			t.Fatalf("after the replies of earlier processes: got %v", describe(got))
		}
		got := replyDelegated(r, now, second, noHolder(t, second))
		if diff := cmp.Diff([]steer.Reason{steer.FlowGone}, reasonsOf(got)); diff != "" {
			t.Error(diff)
		}
	})
	t.Run("the search has ended", func(t *testing.T) {
		r, first := delegatingRouter(t)
		replyDelegated(r, start, first, noHolder(t, first))
		if got := replyDelegated(r, start, first, noHolder(t, first)); len(got) != 0 {
			t.Errorf("got %v", describe(got))
		}
	})
}

// Few agents are asked faster directly than by another delegate.
func TestSilentAgentsAreAskedDirectlyWhileTheBudgetCoversIt(t *testing.T) {
	r := routerAt(self, narrowLink, narrowMembers())
	for port := range uint16(59) { // 27 are asked about directly, the others are delegated
		r.HandleCallerPacket(start, data(port))
	}
	now := start.Add(150 * time.Millisecond)
	var delegated []steer.Action
	for _, a := range slices.Clone(r.Tick(now)) {
		if a.Envelope.Kind == fwdmsg.DelegatedQuery {
			delegated = append(delegated, a)
		}
	}
	query := onlyDelegated(t, delegated)
	replies := noHolder(t, query)
	silent := delegationOf(t, query).Agents[20:30]
	clear(replies.Answered[20:30])
	got := replyDelegated(r, now, query, replies)
	got = append(got, r.Tick(now.Add(50*time.Millisecond))...)
	var asked []flow.Endpoint
	for _, a := range got {
		if a.Envelope.Kind != fwdmsg.Query {
			t.Fatalf("got %v", describe(got))
		}
		asked = append(asked, a.To)
	}
	if diff := cmp.Diff(silent, asked); diff != "" {
		t.Error(diff)
	}
}
