package fanout_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/coriandershift/coriandershift/internal/coordination/fanout"
	"github.com/coriandershift/coriandershift/internal/protocol/fwdmsg"
	"github.com/coriandershift/coriandershift/internal/state/flow"
)

var (
	start    = time.Unix(1_800_000_000, 0)
	self     = endpoint(10)
	balancer = endpoint(1)
)

func endpoint(lastOctet byte) flow.Endpoint {
	return flow.Endpoint{IP: [4]byte{10, 0, 0, lastOctet}, Port: 7000}
}

func query(id uint16) *fwdmsg.Envelope {
	return &fwdmsg.Envelope{Kind: fwdmsg.DelegatedQuery, QueryID: id, Balancer: balancer, Revision: 7}
}

// delegation asks the agents 10, 11 and 12 about so many flows.
func delegation(questions int) fwdmsg.Delegation {
	d := fwdmsg.Delegation{Agents: []flow.Endpoint{endpoint(10), endpoint(11), endpoint(12)}}
	for i := range questions {
		d.Questions = append(d.Questions, fwdmsg.Question{Key: flow.Key{Caller: endpoint(byte(100 + i))}, Acknowledged: 5})
	}
	return d
}

// begun returns a Collector with one delegation and the queries that it sent.
func begun(t *testing.T, questions int) (*fanout.Collector, []fanout.Message) {
	t.Helper()
	c := fanout.New(self, start)
	messages, ok := c.Start(start, query(3), delegation(questions))
	if !ok || len(messages) != 3 {
		t.Fatalf("got %+v, %v", messages, ok)
	}
	return c, append([]fanout.Message(nil), messages...)
}

// reply answers a query in the name of the agent that was asked.
func reply(c *fanout.Collector, q fanout.Message, statuses ...fwdmsg.HeldStatus) []fanout.Message {
	e := q.Envelope
	e.Kind, e.Agent = fwdmsg.QueryReply, q.To
	var payload []byte
	for _, status := range statuses {
		payload = append(payload, byte(status))
	}
	return c.HandleReply(&e, payload)
}

// checkReply checks that the messages are the one reply to the balancer.
func checkReply(t *testing.T, got []fanout.Message, want fwdmsg.DelegatedReplies) {
	t.Helper()
	if len(got) != 1 {
		t.Fatalf("got %+v", got)
	}
	wantEnvelope := fwdmsg.Envelope{Kind: fwdmsg.DelegatedReply, QueryID: 3, Balancer: balancer, Agent: self, Revision: 7}
	if diff := cmp.Diff(wantEnvelope, got[0].Envelope); diff != "" || got[0].To != balancer {
		t.Errorf("to %v: %s", got[0].To, diff)
	}
	replies, err := fwdmsg.ParseDelegatedReplies(got[0].Payload, len(want.Answered), len(want.Holders))
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(want, replies); diff != "" {
		t.Error(diff)
	}
}

func TestEveryAgentIsAskedInTheDelegatesName(t *testing.T) {
	_, queries := begun(t, 2)
	for i, q := range queries {
		if q.To != endpoint(byte(10+i)) || q.Envelope.Kind != fwdmsg.Query || q.Envelope.Balancer != self {
			t.Errorf("got %+v", q)
		}
		questions, err := fwdmsg.ParseQuestions(q.Payload)
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(delegation(2).Questions, questions); diff != "" {
			t.Error(diff)
		}
	}
}

func TestTheBalancerIsAnsweredOnceAllAgentsHaveReplied(t *testing.T) {
	c, queries := begun(t, 2)
	if got := reply(c, queries[1], fwdmsg.Held, fwdmsg.NotHeld); len(got) != 0 {
		t.Fatalf("after one reply: got %+v", got)
	}
	if got := reply(c, queries[1], fwdmsg.NotHeld, fwdmsg.Held); len(got) != 0 {
		t.Fatalf("after its copy: got %+v", got)
	}
	if got := reply(c, queries[2], fwdmsg.NotHeld, fwdmsg.Uncertain); len(got) != 0 {
		t.Fatalf("after two replies: got %+v", got)
	}
	got := reply(c, queries[0], fwdmsg.NotHeld, fwdmsg.NotHeld)
	checkReply(t, got, fwdmsg.DelegatedReplies{
		Answered: []bool{true, true, true}, Uncertain: []bool{false, false, true}, Holders: []byte{1, fwdmsg.NoHolder},
	})
	if len(got[0].Silent) != 0 {
		t.Errorf("silent: %v", got[0].Silent)
	}
	if due, pending := c.NextTick(); pending {
		t.Errorf("a tick is due at %v after the answer", due)
	}
}

func TestTheBalancerIsAnsweredOnceEveryFlowIsFound(t *testing.T) {
	c, queries := begun(t, 2)
	reply(c, queries[0], fwdmsg.NotHeld, fwdmsg.Held)
	got := reply(c, queries[2], fwdmsg.Held, fwdmsg.NotHeld)
	checkReply(t, got, fwdmsg.DelegatedReplies{
		Answered: []bool{true, false, true}, Uncertain: make([]bool, 3), Holders: []byte{2, 0},
	})
	if len(got[0].Silent) != 0 {
		t.Errorf("silent: %v", got[0].Silent)
	}
}

func TestAQuestionIsRepeatedOnceAndThenAnsweredWithoutTheSilentAgents(t *testing.T) {
	c, queries := begun(t, 1)
	reply(c, queries[0], fwdmsg.NotHeld)
	due, _ := c.NextTick()
	if got := c.Tick(due.Add(-time.Millisecond)); len(got) != 0 {
		t.Fatalf("before the repeat: got %+v", got)
	}
	repeated := append([]fanout.Message(nil), c.Tick(due)...)
	if diff := cmp.Diff(queries[1:], repeated); diff != "" {
		t.Fatal(diff)
	}
	reply(c, repeated[1], fwdmsg.NotHeld)

	due, _ = c.NextTick()
	if due.Sub(start) != fanout.Deadline {
		t.Errorf("due %v after the start", due.Sub(start))
	}
	got := append([]fanout.Message(nil), c.Tick(due)...)
	checkReply(t, got, fwdmsg.DelegatedReplies{
		Answered: []bool{true, false, true}, Uncertain: make([]bool, 3), Holders: []byte{fwdmsg.NoHolder},
	})
	if diff := cmp.Diff([]flow.Endpoint{endpoint(11)}, got[0].Silent); diff != "" {
		t.Error(diff)
	}
	if late := reply(c, queries[1], fwdmsg.Held); len(late) != 0 {
		t.Errorf("after the answer: got %+v", late)
	}
}

func TestRepliesThatDoNotFitAreIgnored(t *testing.T) {
	tests := map[string]func(q *fanout.Message) []fwdmsg.HeldStatus{
		"of another query": func(q *fanout.Message) []fwdmsg.HeldStatus {
			q.Envelope.QueryID++
			return []fwdmsg.HeldStatus{fwdmsg.Held}
		},
		"of an agent that was not asked": func(q *fanout.Message) []fwdmsg.HeldStatus {
			q.To = endpoint(99)
			return []fwdmsg.HeldStatus{fwdmsg.Held}
		},
		"of another length": func(*fanout.Message) []fwdmsg.HeldStatus {
			return []fwdmsg.HeldStatus{fwdmsg.Held, fwdmsg.Held}
		},
	}
	for name, change := range tests {
		t.Run(name, func(t *testing.T) {
			c, queries := begun(t, 1)
			statuses := change(&queries[0])
			if got := reply(c, queries[0], statuses...); len(got) != 0 {
				t.Errorf("got %+v", got)
			}
		})
	}
}

func TestACopyOfADelegatedQueryAsksNobodyAgain(t *testing.T) {
	c, _ := begun(t, 1)
	if got, ok := c.Start(start, query(3), delegation(1)); !ok || len(got) != 0 {
		t.Errorf("got %+v, %v", got, ok)
	}
}

// Late replies to a delegate that has restarted, for example of an agent that was paused,
// must not count for another question.
func TestARestartedDelegateUsesOtherQueryIDs(t *testing.T) {
	_, before := begun(t, 1)
	after := fanout.New(self, start.Add(300*time.Millisecond))
	messages, _ := after.Start(start.Add(300*time.Millisecond), query(3), delegation(1))
	if messages[0].Envelope.QueryID == before[0].Envelope.QueryID {
		t.Errorf("both use %d", before[0].Envelope.QueryID)
	}
}

func TestTooManyDelegationsAreDropped(t *testing.T) {
	c := fanout.New(self, start)
	accepted := 0
	for id := range uint16(1000) {
		if _, ok := c.Start(start, query(id), delegation(1)); ok {
			accepted++
		}
	}
	if accepted != 64 {
		t.Errorf("%d delegations were accepted", accepted)
	}
	if got := c.Tick(start.Add(fanout.Deadline)); len(got) != accepted {
		t.Errorf("%d of %d were answered at the deadline", len(got), accepted)
	}
	if _, ok := c.Start(start.Add(fanout.Deadline), query(2000), delegation(1)); !ok {
		t.Error("none is accepted after the others have ended")
	}
}
