package encap_test

import (
	"bytes"
	"errors"
	"net/netip"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/coriandershift/coriandershift/internal/protocol/encap"
	"github.com/coriandershift/coriandershift/internal/state/keyset"
)

var compareAddresses = cmp.Comparer(func(a, b netip.AddrPort) bool { return a == b })

func newCodec(seed byte) *encap.Codec {
	return encap.New(keyset.Set{ClusterKey: bytes.Repeat([]byte{seed}, keyset.KeyLength)})
}

func sample() encap.Envelope {
	e := encap.Envelope{
		Kind:          encap.Forward,
		ServiceNumber: 0x123456,
		AddressIndex:  3,
		Caller:        netip.MustParseAddrPort("198.51.100.7:50000"),
		RankCount:     2,
	}
	e.Ranks[0] = netip.MustParseAddrPort("192.0.2.1:7200")
	e.Ranks[1] = netip.MustParseAddrPort("192.0.2.2:7200")
	return e
}

func TestAppendAndOpen(t *testing.T) {
	ipv6 := sample()
	ipv6.Caller = netip.MustParseAddrPort("[2001:db8::1]:443")
	noRanks := sample()
	noRanks.RankCount, noRanks.Ranks = 0, [encap.MaxRanks]netip.AddrPort{}
	passedOn := sample()
	passedOn.Kind, passedOn.Balancer = encap.PassedOn, netip.MustParseAddrPort("192.0.2.9:7100")
	tests := map[string]encap.Envelope{"passed on": passedOn, "two ranks": sample(), "IPv6 caller": ipv6, "no ranks": noRanks}

	codec := newCodec(1)
	for name, want := range tests {
		t.Run(name, func(t *testing.T) {
			got, payload, err := codec.Open(codec.Append(nil, &want, []byte("payload")))
			if err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff(want, got, compareAddresses); diff != "" {
				t.Error(diff)
			}
			if string(payload) != "payload" {
				t.Errorf("payload is %q", payload)
			}
		})
	}
}

func TestOpenRefuses(t *testing.T) {
	e := sample()
	valid := newCodec(1).Append(nil, &e, []byte("payload"))
	withByte := func(at int, value byte) []byte {
		bad := bytes.Clone(valid)
		bad[at] = value
		return bad
	}

	tests := map[string]struct {
		datagram []byte
		want     error
	}{
		"empty":           {nil, encap.ErrTruncated},
		"truncated ranks": {valid[:35], encap.ErrTruncated},
		"unknown kind":    {withByte(0, 77), encap.ErrUnknownKind},
		"control":         {withByte(0, byte(encap.Control)), encap.ErrUnknownKind},
		"too many ranks":  {withByte(1, encap.MaxRanks+1), encap.ErrTooManyRanks},
		"other service":   {withByte(4, 9), encap.ErrForged},
		"other caller":    {withByte(21, 9), encap.ErrForged},
		"other rank":      {withByte(24, 9), encap.ErrForged},
		"another cluster": {newCodec(2).Append(nil, &e, []byte("payload")), encap.ErrForged},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			if _, _, err := newCodec(1).Open(test.datagram); !errors.Is(err, test.want) {
				t.Errorf("got %v, want %v", err, test.want)
			}
		})
	}
}

func FuzzOpen(f *testing.F) {
	codec := newCodec(1)
	e := sample()
	f.Add(codec.Append(nil, &e, []byte("payload")))
	f.Add([]byte{1, 0})
	f.Fuzz(func(t *testing.T, datagram []byte) {
		e, payload, err := codec.Open(datagram)
		if err == nil && !bytes.Equal(codec.Append(nil, &e, payload), datagram) {
			t.Error("encoding the envelope again does not give the same datagram")
		}
	})
}
