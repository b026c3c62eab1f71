package connid_test

import (
	"bytes"
	"errors"
	"net/netip"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/coriandershift/coriandershift/internal/state/connid"
	"github.com/coriandershift/coriandershift/internal/state/keyset"
)

func keys(current uint8, phases ...uint8) keyset.Set {
	set := keyset.Set{CurrentPhase: current, ConnectionIDKeys: map[uint8][]byte{}, ClusterKey: bytes.Repeat([]byte{9}, keyset.KeyLength)}
	for _, phase := range phases {
		set.ConnectionIDKeys[phase] = bytes.Repeat([]byte{phase + 1}, keyset.KeyLength)
	}
	return set
}

func drawTarget(t *rapid.T) connid.Target {
	return connid.Target{
		DomainNumber:  rapid.Uint8().Draw(t, "domain"),
		ServiceNumber: rapid.Uint32Range(0, connid.MaxServiceNumber).Draw(t, "service"),
		Agent:         netip.AddrPortFrom(netip.AddrFrom4([4]byte(rapid.SliceOfN(rapid.Byte(), 4, 4).Draw(t, "ip"))), rapid.Uint16().Draw(t, "port")),
		Incarnation:   rapid.Uint16().Draw(t, "incarnation"),
	}
}

func TestSealedIDsOpenToTheirTarget(t *testing.T) {
	codec := connid.New(keys(1, 0, 1))
	rapid.Check(t, func(t *rapid.T) {
		want := drawTarget(t)
		id := codec.Seal(want, rapid.Uint32().Draw(t, "nonce"))
		got, err := codec.Open(id[:])
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(want, got, cmp.Comparer(func(a, b netip.AddrPort) bool { return a == b })); diff != "" {
			t.Fatal(diff)
		}
	})
}

func TestIDsOutliveRotation(t *testing.T) {
	codec := connid.New(keys(0, 0))
	target := connid.Target{DomainNumber: 3, ServiceNumber: 7, Agent: netip.MustParseAddrPort("192.0.2.1:7200")}
	old := codec.Seal(target, 1)

	codec.ReplaceKeys(keys(1, 0, 1))
	fresh := codec.Seal(target, 2)
	for name, id := range map[string][connid.Length]byte{"old": old, "fresh": fresh} {
		if got, err := codec.Open(id[:]); err != nil || got != target {
			t.Errorf("%s: got %v, %v", name, got, err)
		}
	}

	codec.ReplaceKeys(keys(1, 1))
	if _, err := codec.Open(old[:]); !errors.Is(err, connid.ErrUnknownPhase) {
		t.Errorf("ID of a phase without a key: got %v, want ErrUnknownPhase", err)
	}
}

func TestOpenRefuses(t *testing.T) {
	codec := connid.New(keys(0, 0))
	good := codec.Seal(connid.Target{Agent: netip.MustParseAddrPort("192.0.2.1:1")}, 5)
	flipped := good
	flipped[7] ^= 1
	unknownPhase := good
	unknownPhase[0] ^= 0xc0

	tests := map[string]struct {
		id   []byte
		want error
	}{
		"empty":         {nil, connid.ErrWrongLength},
		"short":         {good[:19], connid.ErrWrongLength},
		"flipped bit":   {flipped[:], connid.ErrForged},
		"unknown phase": {unknownPhase[:], connid.ErrUnknownPhase},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			if _, err := codec.Open(test.id); !errors.Is(err, test.want) {
				t.Errorf("got %v, want %v", err, test.want)
			}
		})
	}
}

func FuzzOpen(f *testing.F) {
	codec := connid.New(keys(0, 0))
	good := codec.Seal(connid.Target{Agent: netip.MustParseAddrPort("192.0.2.1:1")}, 5)
	f.Add(good[:])
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, id []byte) {
		target, err := codec.Open(id)
		if err == nil && target.ServiceNumber > connid.MaxServiceNumber {
			t.Errorf("service %d is too large", target.ServiceNumber)
		}
	})
}
