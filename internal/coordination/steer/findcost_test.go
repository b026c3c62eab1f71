package steer_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/coriandershift/coriandershift/internal/protocol/fwdmsg"
	"github.com/coriandershift/coriandershift/internal/state/flow"
)

// tinyLink is a rate in bytes per second whose budget covers no question to 23 agents.
const tinyLink = 40_000

// findCost returns the messages and bytes at the balancer's link for each of some flows
// that were lost together, of which an agent holds every second one.
func findCost(t *testing.T, agentCount, flows, linkRate int, wantKind fwdmsg.Kind) (messages, bytes float64) {
	t.Helper()
	fs := newFindSim(t, 1, agentCount, linkRate)
	b := fs.balancers[0]
	for port := range uint16(flows) {
		if port%2 == 1 {
			fs.agents[fleetAgent(int(port)%agentCount)].holds[data(port).KeyFromCaller()] = true
		}
		fs.lost(b, port)
	}
	fs.run(time.Second)
	if len(b.found)+len(b.gone) != flows || len(b.found) != flows/2 {
		t.Errorf("%d flows were found and %d are gone, of %d", len(b.found), len(b.gone), flows)
	}
	for kind, count := range b.sent {
		if kind != wantKind {
			t.Errorf("%d messages of kind %d were sent, want only kind %d", count, kind, wantKind)
		}
	}
	return float64(b.messages) / float64(flows), float64(b.bytes) / float64(flows)
}

// The load is flows that are lost together, in batches. Callers need nine tenths of a link
// of 10 Mbit/s, which direct questions about ten flows to 60 agents fill for 15 ms.
func TestDelegatedQueriesTakeATenthOfTheBytesOfDirectOnes(t *testing.T) {
	for _, agentCount := range []int{23, 60, 110, 300, 4000} {
		for _, flows := range []int{1, 10, 32} {
			t.Run(fmt.Sprintf("%d agents, %d flows", agentCount, flows), func(t *testing.T) {
				directMessages, directBytes := findCost(t, agentCount, flows, 0, fwdmsg.Query)
				messages, bytes := findCost(t, agentCount, flows, tinyLink, fwdmsg.DelegatedQuery)
				t.Logf("| %d | %d | %.1f | %.0f | %.2f | %.0f | %.3f |", agentCount, flows, directMessages, directBytes, messages, bytes, bytes/directBytes)
				if agentCount >= 60 && bytes > directBytes/10 {
					t.Errorf("delegated queries take %.0f bytes for each flow, direct ones %.0f", bytes, directBytes)
				}
			})
		}
	}
}

// The load is a full link, on which no reply arrives, and 300 lost flows a second. Callers
// need nine tenths of the link.
func TestDelegatedQueriesStayWithinTheBudget(t *testing.T) {
	const seconds = 10
	for name, linkRate := range map[string]int{"narrow link": narrowLink, "slow link": slowLink} {
		t.Run(name, func(t *testing.T) {
			fs := newFindSim(t, 1, narrowFleet, linkRate)
			fs.lose = func(_, to flow.Endpoint, _ fwdmsg.Kind) bool { return to == fs.balancers[0].self }
			b := fs.balancers[0]
			port := uint16(0)
			for fs.now.Sub(start) < seconds*time.Second {
				hearFrom(b.router, fs.now, narrowMembers())
				for range 3 {
					port++
					fs.lost(b, port)
				}
				fs.run(10 * time.Millisecond)
			}
			// The budget of a second may be used at once, and one query may exceed it.
			const oneQuery = narrowFleet * (2*(28+fwdmsg.HeaderLength) + fwdmsg.MaxDelegatedQuestions*(fwdmsg.QuestionLength+1))
			if limit := (seconds+1)*linkRate/10 + oneQuery; b.questionBytes > limit {
				t.Errorf("questions took %d bytes in %d s, want at most %d", b.questionBytes, seconds, limit)
			}
			if b.sent[fwdmsg.DelegatedQuery] == 0 {
				t.Errorf("messages by kind: %v", b.sent)
			}
		})
	}
}
