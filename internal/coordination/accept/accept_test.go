package accept_test

import (
	"encoding/binary"
	"net/netip"
	"testing"
	"time"

	"github.com/coriandershift/coriandershift/internal/coordination/accept"
)

var (
	start = time.Unix(1_800_000_000, 0)
	ranks = []netip.AddrPort{netip.MustParseAddrPort("192.0.2.1:7200"), netip.MustParseAddrPort("192.0.2.2:7200")}
	id    = []byte("first ID")
)

func TestDecide(t *testing.T) {
	tests := map[string]struct {
		ranks     []netip.AddrPort
		mayAccept bool
		want      accept.Decision
	}{
		"accepts":             {ranks, true, accept.Decision{Accept: true}},
		"passes on":           {ranks, false, accept.Decision{NextAgent: ranks[0]}},
		"no rank is left":     {nil, false, accept.Decision{Accept: true}},
		"accepts as the last": {nil, true, accept.Decision{Accept: true}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			if got := accept.New().Decide(start, id, test.ranks, test.mayAccept); got != test.want {
				t.Errorf("got %v, want %v", got, test.want)
			}
		})
	}
}

func TestAllDatagramsOfAHandshakeGoTheSameWay(t *testing.T) {
	for name, mayAccept := range map[string]bool{"accepted": true, "passed on": false} {
		t.Run(name, func(t *testing.T) {
			table := accept.New()
			want := table.Decide(start, id, ranks, mayAccept)
			now := start.Add(accept.RememberFor - time.Millisecond)
			if got := table.Decide(now, id, ranks[1:], !mayAccept); got != want {
				t.Errorf("got %v, want %v as for the first datagram", got, want)
			}
			if got := table.Decide(start.Add(accept.RememberFor), id, ranks, !mayAccept); got == want {
				t.Error("the decision is still remembered after RememberFor")
			}
		})
	}
}

func TestFloodDoesNotGrowMemory(t *testing.T) {
	table := accept.New()
	for i := range uint64(3 * accept.MaxRemembered) {
		table.Decide(start, binary.BigEndian.AppendUint64(nil, i), ranks, i%2 == 0)
	}
	if table.Len() > accept.MaxRemembered {
		t.Errorf("%d first connection IDs are remembered", table.Len())
	}
}
