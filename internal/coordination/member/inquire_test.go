package member_test

import (
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/coriandershift/coriandershift/internal/coordination/member"
	"github.com/coriandershift/coriandershift/internal/state/roster"
)

// Guards against an agent whose homes cannot be reached and that serves an outdated
// configuration, although a balancer of its failure domain has a later one (second review,
// case 8).
func TestAnInquiryTellsWhereToFetchALaterConfiguration(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	newNode := func(role roster.Role, address, admin string) *member.Node {
		return member.New(roster.Member{
			Address: netip.MustParseAddrPort(address), Admin: netip.MustParseAddrPort(admin), Role: role, Domain: "a", Incarnation: 1,
		}, rand.New(rand.NewPCG(1, 1)))
	}
	agent := newNode(roster.Agent, "10.0.0.1:7000", "10.0.0.1:7001")
	balancer := newNode(roster.Balancer, "10.0.0.2:7000", "10.0.0.2:7001")
	agent.SetRevision(3, 1)
	balancer.SetRevision(5, 2)

	var got []member.ConfigSource
	for range 5 {
		for _, question := range agent.Inquire(now, balancer.Self().Address) {
			answers, _ := balancer.Handle(now, question.Message)
			for _, answer := range answers {
				_, source := agent.Handle(now, answer.Message)
				got = append(got, source)
			}
		}
		now = now.Add(50 * time.Millisecond)
	}
	source := member.ConfigSource{Revision: 5, Operators: 2, Admin: netip.MustParseAddrPort("10.0.0.2:7001"), Near: true}
	equal := cmp.Comparer(func(a, b netip.AddrPort) bool { return a == b })
	if diff := cmp.Diff([]member.ConfigSource{source, source}, got, equal); diff != "" {
		t.Errorf("five packets in 200 ms: %s", diff)
	}
}
