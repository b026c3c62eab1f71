package steer_test

import (
	"testing"
	"time"

	"github.com/coriandershift/coriandershift/internal/coordination/steer"
	"github.com/coriandershift/coriandershift/internal/protocol/fwdmsg"
	"github.com/coriandershift/coriandershift/internal/state/flow"
	"github.com/coriandershift/coriandershift/internal/state/roster"
)

const (
	narrowLink  = 1_250_000 // bytes per second, 10 Mbit/s
	narrowFleet = 60        // agents, in three failure domains
)

// narrowMembers returns the records of the agents of three failure domains.
func narrowMembers() []roster.Member {
	members := fleetMembers(0, narrowFleet)
	for i := range members {
		members[i].Domain = string('a' + rune(i%3))
	}
	return members
}

func narrowRouter(options ...steer.Option) *steer.Router {
	r := steer.New(self, "a", start.Add(-2*time.Minute), options...)
	r.Configure(start, newConfig(1, "svc"))
	r.UpdateMembers(start, narrowMembers())
	r.Tick(start)
	return r
}

// ownBytes returns the bytes on the link of queries and copies of opening packets, and
// of the replies to them.
func ownBytes(actions []steer.Action) int {
	const headers = 28 // IP and UDP
	total := 0
	for _, a := range actions {
		switch {
		case a.Kind != steer.Send:
		case a.Envelope.Kind == fwdmsg.Query:
			total += 2*(headers+fwdmsg.HeaderLength) + len(a.Packet) + len(a.Packet)/fwdmsg.QuestionLength
		case a.Reason == steer.PlacedNextAfterSilence:
			total += 2*(headers+fwdmsg.HeaderLength) + len(a.Packet) + flow.KeyLength
		}
	}
	return total
}

// The load is a full link: each second 300 flows that this balancer does not know, and 200
// openings, while neither replies nor notices arrive. Callers need nine tenths of the link.
func TestOwnMessagesTakeATenthOfANarrowLink(t *testing.T) {
	r := narrowRouter(steer.WithLinkRate(narrowLink))
	const seconds = 10
	total := 0
	port := uint16(1)
	for at := time.Duration(0); at < seconds*time.Second; at += 10 * time.Millisecond {
		now := start.Add(at)
		for range 3 {
			port++
			total += ownBytes(r.HandleCallerPacket(now, data(port)))
		}
		for range 2 {
			port++
			total += ownBytes(r.HandleCallerPacket(now, opening(port)))
		}
		total += ownBytes(r.Tick(now))
	}
	// The budget of a second may be used at once, and one query may exceed it.
	const oneQuery = narrowFleet * (2*(28+fwdmsg.HeaderLength) + fwdmsg.MaxQuestions*(fwdmsg.QuestionLength+1))
	if limit := (seconds+1)*narrowLink/10 + oneQuery; total > limit {
		t.Errorf("own messages took %d bytes in %d s, want at most %d", total, seconds, limit)
	}
	if total < seconds*narrowLink/20 {
		t.Errorf("own messages took %d bytes only, so searches make no use of their budget", total)
	}
}

func TestWithoutALinkRateOwnMessagesAreNotLimited(t *testing.T) {
	r := narrowRouter()
	asked := 0
	for port := uint16(1); port <= 200; port++ {
		r.HandleCallerPacket(start, data(port))
	}
	for _, a := range r.Tick(start.Add(100 * time.Millisecond)) {
		if a.Envelope.Kind == fwdmsg.Query {
			asked += len(a.Packet) / fwdmsg.QuestionLength
		}
	}
	if want := 200 * narrowFleet; asked != want {
		t.Errorf("%d questions were sent at once, want %d", asked, want)
	}
}

// The load is the move of all flows by the fabric while the budget covers few questions.
// Each caller repeats its packet after 200, 600 and 1400 ms.
func TestFlowsThatWaitForTheBudgetAreFound(t *testing.T) {
	r := narrowRouter(steer.WithLinkRate(narrowLink))
	const lost = 200
	found := map[uint16]bool{}
	repeats := map[time.Duration]bool{0: true, 200 * time.Millisecond: true, 600 * time.Millisecond: true, 1400 * time.Millisecond: true}
	for at := time.Duration(0); at < 4*time.Second; at += 10 * time.Millisecond {
		now := start.Add(at)
		for port := uint16(1); port <= lost && repeats[at]; port++ {
			if !found[port] {
				r.HandleCallerPacket(now, data(port))
			}
		}
		pending := append([]steer.Action(nil), r.Tick(now)...)
		for _, a := range pending {
			if a.Envelope.Kind != fwdmsg.Query {
				continue
			}
			for _, got := range r.HandleAgentMessage(now, replyOf(a), statusesOf(t, a, fleetAgent(7)), parse) {
				if got.Reason == steer.Found {
					found[got.Key.Caller.Port] = true
				}
			}
		}
	}
	if len(found) != lost {
		t.Errorf("%d of %d flows were found", len(found), lost)
	}
}

// replyOf returns the envelope of the reply to a query.
func replyOf(query steer.Action) *fwdmsg.Envelope {
	return &fwdmsg.Envelope{Kind: fwdmsg.QueryReply, QueryID: query.Envelope.QueryID, Agent: query.To}
}

// statusesOf returns the reply of an agent that holds all flows if it is holder, else none.
func statusesOf(t *testing.T, query steer.Action, holder flow.Endpoint) []byte {
	t.Helper()
	questions, err := fwdmsg.ParseQuestions(query.Packet)
	if err != nil {
		t.Fatal(err)
	}
	statuses := make([]byte, len(questions))
	for i := range statuses {
		if query.To == holder {
			statuses[i] = byte(fwdmsg.Held)
		}
	}
	return statuses
}

// The load is a caller that left while its flow waited for the budget.
func TestASearchEndsWhenItsCallerHasLeft(t *testing.T) {
	const tinyLink = 8_000 // bytes per second: a question to all agents takes seconds of its budget
	r := narrowRouter(steer.WithLinkRate(tinyLink))
	for port := uint16(1); port <= 50; port++ {
		r.HandleCallerPacket(start, data(port))
	}
	asked := map[flow.Key]bool{}
	for at := time.Duration(0); at < 60*time.Second; at += 50 * time.Millisecond {
		for _, a := range r.Tick(start.Add(at)) {
			if a.Envelope.Kind != fwdmsg.Query {
				continue
			}
			questions, _ := fwdmsg.ParseQuestions(a.Packet)
			for _, q := range questions {
				if at > 2500*time.Millisecond {
					t.Fatalf("%v was asked about %v after its caller's last packet", q.Key, at)
				}
				asked[q.Key] = true
			}
		}
	}
	if len(asked) == 0 {
		t.Error("no flow was asked about")
	}
}

// A rate that leaves less than a byte a second for queries must not stop the balancer.
func TestTheSlowestLinkHasABudget(t *testing.T) {
	r := narrowRouter(steer.WithLinkRate(1))
	r.HandleCallerPacket(start, data(1))
	asked := false
	for at := 100 * time.Millisecond; at < time.Second; at += 50 * time.Millisecond {
		asked = asked || ownBytes(r.Tick(start.Add(at))) > 0
	}
	if !asked {
		t.Error("the flow was not asked about")
	}
}
