package steer_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/coriandershift/coriandershift/internal/coordination/steer"
	"github.com/coriandershift/coriandershift/internal/protocol/fwdmsg"
	"github.com/coriandershift/coriandershift/internal/state/flow"
	"github.com/coriandershift/coriandershift/internal/state/roster"
)

// slowLink is a rate in bytes per second whose budget never covers a question to twenty
// agents, so that it is delegated.
const slowLink = 25_000

// delegatingRouter returns a balancer that has heard from all agents of narrowMembers, and
// the delegated query that it sends about the flow of data(1).
func delegatingRouter(t *testing.T) (*steer.Router, steer.Action) {
	t.Helper()
	r := routerAt(self, slowLink, narrowMembers())
	return r, onlyDelegated(t, queriesAfterChain(t, r, start, r.HandleCallerPacket(start, data(1))[0]))
}

// routerAt returns a balancer at an address that knows the members and has just heard
// from all that are alive.
func routerAt(address flow.Endpoint, linkRate int, members []roster.Member) *steer.Router {
	r := steer.New(address, "a", start.Add(-2*time.Minute), steer.WithLinkRate(linkRate))
	r.Configure(start, newConfig(1, "svc"))
	r.UpdateMembers(start, members)
	hearFrom(r, start, slices.DeleteFunc(slices.Clone(members), func(m roster.Member) bool { return m.State != roster.Alive }))
	r.Tick(start)
	return r
}

// queriesAfterChain is like queryAfterChain for queries of both kinds.
func queriesAfterChain(t *testing.T, r *steer.Router, now time.Time, a steer.Action) []steer.Action {
	t.Helper()
	e := a.Envelope
	e.TriedCount = uint8(e.RankCount)
	if got := r.HandleAgentMessage(now, returnedFrom(e, a.To), a.Packet, parse); len(got) != 0 {
		t.Fatalf("after the chain: got %v", reasonsOf(got))
	}
	return slices.Clone(r.Tick(now))
}

func onlyDelegated(t *testing.T, actions []steer.Action) steer.Action {
	t.Helper()
	if len(actions) != 1 || actions[0].Envelope.Kind != fwdmsg.DelegatedQuery {
		t.Fatalf("got %v, want one delegated query", describe(actions))
	}
	return actions[0]
}

// describe returns the kinds of messages and the reasons of actions.
func describe(actions []steer.Action) []string {
	var list []string
	for _, a := range actions {
		list = append(list, fmt.Sprintf("kind %d %s", a.Envelope.Kind, a.Reason))
	}
	return list
}

func delegationOf(t *testing.T, a steer.Action) fwdmsg.Delegation {
	t.Helper()
	d, err := fwdmsg.ParseDelegation(a.Packet)
	if err != nil {
		t.Fatal(err)
	}
	return d
}

// noHolder returns the replies to a delegated query of agents that do not have its flows.
func noHolder(t *testing.T, query steer.Action) fwdmsg.DelegatedReplies {
	d := delegationOf(t, query)
	replies := fwdmsg.DelegatedReplies{Answered: make([]bool, len(d.Agents)), Uncertain: make([]bool, len(d.Agents))}
	for i := range replies.Answered {
		replies.Answered[i] = true
	}
	for range d.Questions {
		replies.Holders = append(replies.Holders, fwdmsg.NoHolder)
	}
	return replies
}

// replyDelegated answers a delegated query in the name of its delegate.
func replyDelegated(r *steer.Router, now time.Time, query steer.Action, replies fwdmsg.DelegatedReplies) []steer.Action {
	e := query.Envelope
	e.Kind, e.Agent = fwdmsg.DelegatedReply, query.To
	return slices.Clone(r.HandleAgentMessage(now, &e, replies.Append(nil), parse))
}

// tickUntil ticks every 10 ms until something is sent or decided, at most for a second.
func tickUntil(r *steer.Router, now time.Time) ([]steer.Action, time.Time) {
	for range 100 {
		now = now.Add(10 * time.Millisecond)
		if got := r.Tick(now); len(got) > 0 {
			return slices.Clone(got), now
		}
	}
	return nil, now
}

func TestQuestionsAreNotRepeatedOnceTheFlowIsFound(t *testing.T) {
	r := narrowRouter(steer.WithLinkRate(narrowLink))
	now := start
	r.HandleCallerPacket(now, data(1))
	var queries []steer.Action
	for len(queries) == 0 {
		now = now.Add(50 * time.Millisecond)
		for _, a := range r.Tick(now) {
			if a.Envelope.Kind == fwdmsg.Query {
				queries = append(queries, a)
			}
		}
	}
	r.HandleAgentMessage(now, replyOf(queries[0]), []byte{byte(fwdmsg.Held)}, parse)
	repeated := 0
	for range 10 {
		now = now.Add(50 * time.Millisecond)
		for _, a := range r.Tick(now) {
			if a.Envelope.Kind == fwdmsg.Query {
				repeated++
			}
		}
	}
	if repeated > 0 {
		t.Errorf("%d questions were repeated after the flow was found", repeated)
	}
}
