package gossip_test

import (
	"bytes"
	"errors"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/coriandershift/coriandershift/internal/coordination/member"
	"github.com/coriandershift/coriandershift/internal/protocol/gossip"
	"github.com/coriandershift/coriandershift/internal/state/keyset"
	"github.com/coriandershift/coriandershift/internal/state/roster"
)

func newCodec(seed byte) *gossip.Codec {
	return gossip.New(keyset.Set{ClusterKey: bytes.Repeat([]byte{seed}, keyset.KeyLength)})
}

// sample returns a push with the given number of members.
func sample(members int) member.Message {
	m := member.Message{Kind: member.Push, Revision: 9}
	for i := range members {
		m.Members = append(m.Members, roster.Member{
			Address:     netip.AddrPortFrom(netip.AddrFrom4([4]byte{192, 0, 2, byte(i)}), 7200),
			Role:        roster.Agent,
			Name:        "checklists-0000001",
			Domain:      "south-brazil-1",
			Service:     "checklists-of-the-kitchen",
			Incarnation: 1 << 41,
			Sequence:    1 << 30,
			State:       roster.Alive,
			Weight:      roster.MaxWeight,
		})
	}
	return m
}

func TestSealAndOpen(t *testing.T) {
	codec := newCodec(1)
	want := sample(10)
	datagram, err := codec.Seal(&want)
	if err != nil {
		t.Fatal(err)
	}
	if len(datagram) > 1400 {
		t.Errorf("a push of ten members has %d bytes, more than fit into one packet", len(datagram))
	}

	got, err := codec.Open(datagram)
	if err != nil {
		t.Fatal(err)
	}
	compareAddresses := cmp.Comparer(func(a, b netip.AddrPort) bool { return a == b })
	if diff := cmp.Diff(want, got, compareAddresses); diff != "" {
		t.Error(diff)
	}
}

func TestOpenRefuses(t *testing.T) {
	m := sample(1)
	valid, err := newCodec(1).Seal(&m)
	if err != nil {
		t.Fatal(err)
	}
	flipped := bytes.Clone(valid)
	flipped[20] ^= 1
	large := sample(100)
	tooMany, err := newCodec(1).Seal(&large)
	if err != nil {
		t.Fatal(err)
	}
	foreign, err := newCodec(2).Seal(&m)
	if err != nil {
		t.Fatal(err)
	}

	tests := map[string]struct {
		datagram []byte
		want     error
	}{
		"empty":            {nil, gossip.ErrTruncated},
		"truncated":        {valid[:28], gossip.ErrTruncated},
		"flipped bit":      {flipped, gossip.ErrForged},
		"another cluster":  {foreign, gossip.ErrForged},
		"too many members": {tooMany, gossip.ErrMalformed},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			if _, err := newCodec(1).Open(test.datagram); !errors.Is(err, test.want) {
				t.Errorf("got %v, want %v", err, test.want)
			}
		})
	}
}

// BenchmarkCodec measures sealing and opening one heartbeat: the cost to its sender and
// its receiver together.
func BenchmarkCodec(b *testing.B) {
	codec := newCodec(1)
	m := sample(0)
	m.Kind = member.Heartbeat
	for b.Loop() {
		datagram, err := codec.Seal(&m)
		if err != nil {
			b.Fatal(err)
		}
		if _, err := codec.Open(datagram); err != nil {
			b.Fatal(err)
		}
	}
}

func FuzzOpen(f *testing.F) {
	codec := newCodec(1)
	m := sample(1)
	valid, err := codec.Seal(&m)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(valid)
	f.Fuzz(func(_ *testing.T, datagram []byte) {
		_, _ = codec.Open(datagram) // must not panic
	})
}

// BenchmarkInquiry reports the bytes of an agent's heartbeat to a balancer that is not its home
// and of the acknowledgement, without the headers of IP and UDP.
func BenchmarkInquiry(b *testing.B) {
	codec := gossip.New(keyset.Set{ClusterKey: make([]byte, keyset.KeyLength)})
	now := time.Unix(1_800_000_000, 0)
	newNode := func(m roster.Member) *member.Node {
		m.Domain, m.Incarnation, m.Weight = "poa-a", uint64(now.UnixNano()), roster.MaxWeight
		return member.New(m, rand.New(rand.NewPCG(1, 1)))
	}
	agent := newNode(roster.Member{
		Name: "side-poa-a-1", Service: "checklist-core", Role: roster.Agent,
		Address: netip.MustParseAddrPort("10.128.0.9:7720"), Admin: netip.MustParseAddrPort("10.128.0.9:7721"),
	})
	balancer := newNode(roster.Member{
		Name: "front-poa-a-1", Role: roster.Balancer,
		Address: netip.MustParseAddrPort("10.128.0.8:7720"), Admin: netip.MustParseAddrPort("10.128.0.8:7721"),
	})
	agent.SetRevision(1<<40+1000, 300)
	balancer.SetRevision(1<<40+1010, 303)
	var inquiry, ack []byte
	for b.Loop() {
		now = now.Add(time.Second)
		question := agent.Inquire(now, balancer.Self().Address)[0].Message
		inquiry, _ = codec.Seal(&question)
		answers, _ := balancer.Handle(now, question)
		ack, _ = codec.Seal(&answers[0].Message)
	}
	b.ReportMetric(float64(len(inquiry)), "inquiry-B")
	b.ReportMetric(float64(len(ack)), "ack-B")
}
