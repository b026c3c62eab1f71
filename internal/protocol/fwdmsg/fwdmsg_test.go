package fwdmsg_test

import (
	"bytes"
	"errors"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/coriandershift/coriandershift/internal/protocol/fwdmsg"
	"github.com/coriandershift/coriandershift/internal/state/flow"
	"github.com/coriandershift/coriandershift/internal/state/keyset"
)

var codec = fwdmsg.New(keyset.Set{ClusterKey: bytes.Repeat([]byte{7}, keyset.KeyLength)})

func endpoint(lastOctet byte) flow.Endpoint {
	return flow.Endpoint{IP: [4]byte{10, 0, 0, lastOctet}, Port: 7000 + uint16(lastOctet)}
}

// fullEnvelope returns an envelope with as many ranks as fit.
func fullEnvelope() fwdmsg.Envelope {
	e := fwdmsg.Envelope{
		Kind: fwdmsg.CallerPacket, Revision: 1 << 40, ServiceHash: 77, Balancer: endpoint(1), Agent: endpoint(2),
		WantNotice: true, Refused: true, MaybeDuplicate: true, Uncertain: true, TriedCount: 3, QueryID: 9,
		Load: 12, Slots: 5, LeastLoaded: endpoint(3), MinLoadPercent: 240, WaitHere: true, RankCount: fwdmsg.MaxRanks,
	}
	for i := range e.Ranks {
		e.Ranks[i] = endpoint(byte(10 + i))
	}
	return e
}

func TestAppendAndOpen(t *testing.T) {
	key := flow.Key{Caller: endpoint(8), Service: endpoint(9)}.Append(nil)
	tests := map[string]struct {
		envelope fwdmsg.Envelope
		payload  []byte
	}{
		"full":   {fullEnvelope(), []byte("packet")},
		"empty":  {fwdmsg.Envelope{Kind: fwdmsg.ReturnedPacket}, []byte("packet")},
		"notice": {fwdmsg.Envelope{Kind: fwdmsg.Notice, Agent: endpoint(2), RequestSize: 625}, key},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			got, payload, err := codec.Open(codec.Append(nil, &test.envelope, test.payload))
			if err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff(test.envelope, got); diff != "" {
				t.Error(diff)
			}
			if diff := cmp.Diff(test.payload, payload); diff != "" {
				t.Error(diff)
			}
		})
	}
}

func TestBadEnvelopesAreRefused(t *testing.T) {
	e := fullEnvelope()
	valid := codec.Append(nil, &e, nil)
	withByte := func(at int, value byte) []byte {
		bad := bytes.Clone(valid)
		bad[at] = value
		return bad
	}
	notice := fwdmsg.Envelope{Kind: fwdmsg.Notice}
	tests := map[string]struct {
		datagram []byte
		want     error
	}{
		"empty":          {nil, fwdmsg.ErrTruncated},
		"truncated":      {valid[:len(valid)-1], fwdmsg.ErrTruncated},
		"unknown kind":   {withByte(0, 99), fwdmsg.ErrUnknownKind},
		"too many ranks": {withByte(1, fwdmsg.MaxRanks+1), fwdmsg.ErrTooManyRanks},
		"forged":         {withByte(9, 1), fwdmsg.ErrForged},
		"notice, no key": {codec.Append(nil, &notice, []byte("short")), fwdmsg.ErrTruncated},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			if _, _, err := codec.Open(test.datagram); !errors.Is(err, test.want) {
				t.Errorf("got %v, want %v", err, test.want)
			}
		})
	}
}

func TestPopRankReturnsRanksInOrder(t *testing.T) {
	e := fullEnvelope()
	for i := range fwdmsg.MaxRanks {
		next, ok := e.PopRank()
		if !ok || next != endpoint(byte(10+i)) {
			t.Fatalf("rank %d: got %v, %v", i, next, ok)
		}
	}
	if _, ok := e.PopRank(); ok || e.TriedCount != 3+fwdmsg.MaxRanks {
		t.Errorf("got another rank, or tried count %d", e.TriedCount)
	}
}

func FuzzOpen(f *testing.F) {
	e := fullEnvelope()
	f.Add(codec.Append(nil, &e, []byte("packet")))
	f.Fuzz(func(_ *testing.T, data []byte) {
		_, _, _ = codec.Open(data) // must not panic
	})
}
