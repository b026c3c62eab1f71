package seek_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/coriandershift/coriandershift/internal/coordination/budget"
	"github.com/coriandershift/coriandershift/internal/coordination/fleet"
	"github.com/coriandershift/coriandershift/internal/coordination/seek"
	"github.com/coriandershift/coriandershift/internal/protocol/fwdmsg"
	"github.com/coriandershift/coriandershift/internal/state/config"
	"github.com/coriandershift/coriandershift/internal/state/flow"
	"github.com/coriandershift/coriandershift/internal/state/roster"
)

const agentCount = 3

var (
	start = time.Unix(1_800_000_000, 0)
	self  = endpoint(1)
)

func endpoint(lastOctet byte) flow.Endpoint {
	return flow.Endpoint{IP: [4]byte{10, 0, 0, lastOctet}, Port: 7000}
}

// agentAt returns the address of an agent by its number.
func agentAt(number byte) flow.Endpoint { return endpoint(10 + number) }

func member(number byte) roster.Member {
	return roster.Member{
		Address: agentAt(number).AddrPort(), Role: roster.Agent, Service: "desk", Domain: "a",
		State: roster.Alive, Weight: roster.MaxWeight, Incarnation: 1,
	}
}

// fixture is a Seeker that knows agentCount agents of one service, and a packet of a flow
// that it does not know.
type fixture struct {
	*seek.Seeker
	fleet  *fleet.Fleet
	route  *config.Route
	packet *flow.Packet
}

func newFixture(converged bool) *fixture {
	cfg := &config.Config{Revision: 1, Routes: []config.Route{{
		Address: netip.MustParseAddrPort("198.18.0.1:443"), Shares: []config.Share{{Service: "desk", Weight: 1}},
	}}}
	f := &fixture{fleet: fleet.New(start.Add(-2 * time.Minute)), route: &cfg.Routes[0]}
	f.fleet.Configure(start, cfg)
	for number := range byte(agentCount) {
		f.fleet.Update(start, []roster.Member{member(number)})
	}
	f.Seeker = seek.New(self, start, f.fleet, budget.New(0))
	f.Configure(map[flow.Endpoint]*config.Route{flow.EndpointOf(f.route.Address): f.route})
	if converged {
		f.Converge(start)
	}
	f.Tick(start)
	f.packet = &flow.Packet{
		Source: flow.Endpoint{IP: [4]byte{100, 64, 0, 1}, Port: 40001}, Destination: flow.EndpointOf(f.route.Address),
		Ack: true, Sequence: 7, Acknowledged: 9, Raw: []byte("packet"),
	}
	return f
}

// asked starts a search whose chain returns the packet at once, and returns the query.
func (f *fixture) asked(t *testing.T) (time.Time, seek.Outcome) {
	t.Helper()
	key := f.packet.KeyFromCaller()
	pass := f.Seek(start, key, f.packet, f.route)
	if len(pass) != 1 || pass[0].Kind != seek.Pass || len(pass[0].Next) != agentCount-1 || !pass[0].WantNotice {
		t.Fatalf("got %+v, want the packet to pass along all agents", pass)
	}
	f.HandleReturned(start, &fwdmsg.Envelope{Agent: pass[0].To}, key)
	due, pending := f.NextTick()
	if !pending || due.Sub(start) > 5*time.Millisecond {
		t.Fatalf("the query is due %v after the packet came back", due.Sub(start))
	}
	questions := f.Tick(due)
	if len(questions) != agentCount || questions[0].Message != fwdmsg.Query {
		t.Fatalf("got %+v, want a question to each agent", questions)
	}
	return due, questions[0]
}

// replies has the agents from number first on reply with the statuses, and returns the
// outcomes of the last reply.
func (f *fixture) replies(now time.Time, query seek.Outcome, first byte, statuses ...fwdmsg.HeldStatus) []seek.Outcome {
	var last []seek.Outcome
	for i, status := range statuses {
		e := &fwdmsg.Envelope{QueryID: query.QueryID, Agent: agentAt(first + byte(i))}
		last = f.HandleReply(now, e, []byte{byte(status)})
	}
	return last
}

func TestHowASearchEnds(t *testing.T) {
	const none, held, uncertain = fwdmsg.NotHeld, fwdmsg.Held, fwdmsg.Uncertain
	tests := map[string]struct {
		unknown  bool // not all agents are known
		statuses []fwdmsg.HeldStatus
		want     seek.Outcome
	}{
		"no agent has the flow":    {false, []fwdmsg.HeldStatus{none, none, none}, seek.Outcome{Kind: seek.Gone, Acknowledged: 9, SearchTime: 5 * time.Millisecond}},
		"the last has it":          {false, []fwdmsg.HeldStatus{none, none, held}, seek.Outcome{Kind: seek.Found, To: agentAt(2), Packet: []byte("packet"), SearchTime: 5 * time.Millisecond}},
		"one cannot tell":          {false, []fwdmsg.HeldStatus{none, uncertain, none}, seek.Outcome{Kind: seek.Offer, To: agentAt(1), Packet: []byte("packet")}},
		"not all agents are known": {true, []fwdmsg.HeldStatus{none, none, none}, seek.Outcome{Kind: seek.Unresolved, Cause: seek.AgentsUnknown, SearchTime: 5 * time.Millisecond}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFixture(!test.unknown)
			now, query := f.asked(t)
			got := f.replies(now, query, 0, test.statuses...)
			test.want.Key = f.packet.KeyFromCaller()
			if diff := cmp.Diff([]seek.Outcome{test.want}, got); diff != "" {
				t.Error(diff)
			}
		})
	}
}

func TestAnAgentThatDoesNotAnswerKeepsAFlowFromBeingGone(t *testing.T) {
	f := newFixture(true)
	now, query := f.asked(t)
	f.replies(now, query, 1, fwdmsg.NotHeld, fwdmsg.NotHeld)
	for range 2000 {
		if now.Sub(start) >= 5*time.Second {
			break
		}
		due, pending := f.NextTick()
		if !pending {
			break
		}
		if !due.After(now) {
			t.Fatalf("after %v a tick is due %v before", now.Sub(start), now.Sub(due))
		}
		now = due
		for _, o := range f.Tick(now) {
			if o.Kind == seek.Gone {
				t.Fatalf("the flow is gone after %v", now.Sub(start))
			}
			if o.Kind == seek.Ask && o.To != agentAt(0) {
				f.HandleReply(now, &fwdmsg.Envelope{QueryID: o.QueryID, Agent: o.To}, []byte{byte(fwdmsg.NotHeld)})
			}
		}
	}
}

func TestASearchConcludesOnceAllAgentsAreKnown(t *testing.T) {
	f := newFixture(false)
	now, query := f.asked(t)
	f.replies(now, query, 0, fwdmsg.NotHeld, fwdmsg.NotHeld, fwdmsg.NotHeld)
	now = now.Add(time.Second)
	f.Converge(now)
	questions := append([]seek.Outcome(nil), f.Tick(now)...)
	if len(questions) != agentCount {
		t.Fatalf("got %+v, want a question to each agent", questions)
	}
	got := f.replies(now, questions[0], 0, fwdmsg.NotHeld, fwdmsg.NotHeld, fwdmsg.NotHeld)
	if len(got) != 1 || got[0].Kind != seek.Gone {
		t.Errorf("got %+v, want the flow to be gone", got)
	}
}
