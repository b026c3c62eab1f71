package steer_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/coriandershift/coriandershift/internal/coordination/steer"
	"github.com/coriandershift/coriandershift/internal/protocol/fwdmsg"
	"github.com/coriandershift/coriandershift/internal/state/flow"
)

// directAfterDelegates returns a balancer whose delegates were silent, the first delegated
// query, and the direct queries of the first run.
func directAfterDelegates(t *testing.T) (*steer.Router, steer.Action, []steer.Action, time.Time) {
	t.Helper()
	r, first := delegatingRouter(t)
	_, now := tickUntil(r, start)
	direct, now := tickUntil(r, now)
	if len(direct) == 0 || len(direct) == narrowFleet || direct[0].Envelope.Kind != fwdmsg.Query {
		t.Fatalf("got %v, want a run of direct queries", describe(direct))
	}
	return r, first, direct, now
}

func TestAgentsThatWaitForTheNextRunAreNotAskedOnceTheFlowIsFound(t *testing.T) {
	r, _, direct, now := directAfterDelegates(t)
	if got := reply(r, now, direct[0], fwdmsg.Held); len(got) != 1 || got[0].Reason != steer.Found {
		t.Fatalf("got %v", describe(got))
	}
	if got := r.Tick(now.Add(50 * time.Millisecond)); len(got) != 0 {
		t.Errorf("after that: %v", describe(got))
	}
}

func TestAgentsThatWaitForTheNextRunAreNotAskedOnceADelegateHasTheirReply(t *testing.T) {
	r, first, _, now := directAfterDelegates(t)
	replies := noHolder(t, first)
	last := len(replies.Answered) - 1
	replies.Answered[last] = false
	if got := replyDelegated(r, now, first, replies); len(got) != 0 {
		t.Fatalf("got %v", describe(got))
	}
	got := slices.Clone(r.Tick(now.Add(50 * time.Millisecond)))
	if len(got) != 1 || got[0].To != delegationOf(t, first).Agents[last] {
		t.Fatalf("got %v, want only the agent asked that has not replied", describe(got))
	}
	if diff := cmp.Diff([]steer.Reason{steer.FlowGone}, reasonsOf(reply(r, now, got[0], fwdmsg.NotHeld))); diff != "" {
		t.Error(diff)
	}
}

// The queue at the link is estimated from round trips, which must not seem shorter
// because other agents of the query were asked later.
func TestARoundTripCountsFromTheQuestionToTheAgent(t *testing.T) {
	var got []time.Duration
	r := steer.New(self, "a", start.Add(-2*time.Minute), steer.WithLinkRate(tinyLink),
		steer.WithRoundTripObserver(func(_ time.Time, d time.Duration) { got = append(got, d) }))
	r.Configure(start, newConfig(1, "svc"))
	r.UpdateMembers(start, narrowMembers())
	r.Tick(start)
	r.HandleCallerPacket(start, data(1))
	first, now := tickUntil(r, start)
	if second, later := tickUntil(r, now); len(second) == 0 || later.Sub(now) < 20*time.Millisecond {
		t.Fatalf("after %v: %v", later.Sub(now), describe(second))
	}
	reply(r, now.Add(90*time.Millisecond), first[0], fwdmsg.NotHeld)
	if diff := cmp.Diff([]time.Duration{90 * time.Millisecond}, got); diff != "" {
		t.Error(diff)
	}
}

func TestAgentsThatNeverReplyAreAskedTwiceInAQuery(t *testing.T) {
	r, _, queries, now := directAfterDelegates(t)
	id := queries[0].Envelope.QueryID
	for end := now.Add(3 * time.Second); now.Before(end); {
		now = now.Add(10 * time.Millisecond)
		for _, a := range r.Tick(now) {
			if a.Envelope.Kind == fwdmsg.Query && a.Envelope.QueryID == id {
				queries = append(queries, a)
			}
		}
	}
	counts := map[flow.Endpoint]int{}
	for _, q := range queries {
		counts[q.To]++
	}
	for agent, count := range counts {
		if count != 2 {
			t.Errorf("%v was asked %d times", agent, count)
		}
	}
	if len(counts) != narrowFleet {
		t.Errorf("%d agents were asked", len(counts))
	}
}

// Without delegates, flows wait in the queue and not in queries that time out.
func TestDirectQueriesFollowEachOther(t *testing.T) {
	r := narrowRouter(steer.WithLinkRate(narrowLink))
	for port := range uint16(400) {
		r.HandleCallerPacket(start, data(port))
	}
	for run := range 3 {
		ids := map[uint16]bool{}
		for _, a := range r.Tick(start.Add(time.Duration(100+25*run) * time.Millisecond)) {
			ids[a.Envelope.QueryID] = true
		}
		if len(ids) != 1 {
			t.Errorf("%d queries were sent in run %d", len(ids), run)
		}
	}
}

// A longer run of datagrams overflows the queue at a narrow link. The load is 400 lost
// flows, delegates that never answer, and agents that answer only the repeat.
func TestQuestionsOfOneRunFitTheQueueAtTheLink(t *testing.T) {
	const queue = narrowLink / 40 // bytes, 25 ms of the link
	for _, agentCount := range []int{60, 300} {
		t.Run(fmt.Sprint(agentCount, " agents"), func(t *testing.T) {
			r := routerAt(self, narrowLink, nil)
			r.UpdateMembers(start, fleetMembers(0, agentCount))
			hearFrom(r, start, fleetMembers(0, agentCount))
			for port := range uint16(400) {
				r.HandleCallerPacket(start, data(port))
			}
			direct, delegated := 0, 0
			for now := start; now.Sub(start) < 2*time.Second; now = now.Add(25 * time.Millisecond) {
				bytes := 0
				for _, a := range r.Tick(now) {
					switch a.Envelope.Kind {
					case fwdmsg.Query:
						direct++
					case fwdmsg.DelegatedQuery:
						delegated++
					default:
						continue
					}
					bytes += packetLength(&a.Envelope, a.Packet)
				}
				if limit := queue + maxDelegatedBytes; bytes > limit {
					t.Errorf("%d bytes after %v, want at most %d", bytes, now.Sub(start), limit)
				}
			}
			if direct == 0 || delegated == 0 {
				t.Errorf("%d direct queries, %d delegated ones", direct, delegated)
			}
		})
	}
}

// maxDelegatedBytes is the length of the longest delegated queries of one query to 256
// agents.
const maxDelegatedBytes = 3 * 1200
