package header_test

import (
	"bytes"
	"errors"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/coriandershift/coriandershift/internal/protocol/header"
)

// long returns a packet with a long header and an empty source connection ID.
func long(flags byte, version uint32, id []byte) []byte {
	packet := []byte{flags, byte(version >> 24), byte(version >> 16), byte(version >> 8), byte(version), byte(len(id))}
	return append(append(packet, id...), 0)
}

func TestParse(t *testing.T) {
	id := bytes.Repeat([]byte{7}, 20)
	tests := map[string]struct {
		datagram []byte
		want     header.Packet
		err      error
	}{
		"empty":                      {nil, header.Packet{}, header.ErrTruncated},
		"short header":               {append([]byte{0x40}, id...), header.Packet{DestinationID: id}, nil},
		"short header, truncated":    {append([]byte{0x40}, id[:19]...), header.Packet{}, header.ErrTruncated},
		"no fixed bit":               {append([]byte{0x00}, id...), header.Packet{}, header.ErrNotQUIC},
		"initial":                    {long(0xc0, 1, id[:8]), header.Packet{DestinationID: id[:8], LongHeader: true, MayOpenFlow: true}, nil},
		"0-RTT":                      {long(0xd0, 1, id[:8]), header.Packet{DestinationID: id[:8], LongHeader: true, MayOpenFlow: true}, nil},
		"handshake":                  {long(0xe0, 1, id), header.Packet{DestinationID: id, LongHeader: true}, nil},
		"unknown version":            {long(0x80, 0xabcd, id[:8]), header.Packet{DestinationID: id[:8], LongHeader: true, MayOpenFlow: true}, nil},
		"long without fixed bit":     {long(0x80, 1, id[:8]), header.Packet{}, header.ErrNotQUIC},
		"ID of an Initial too short": {long(0xc0, 1, id[:7]), header.Packet{}, header.ErrIDLength},
		"ID too long":                {long(0xc0, 1, append(id, 1)), header.Packet{}, header.ErrIDLength},
		"long header, truncated":     {long(0xc0, 1, id)[:20], header.Packet{}, header.ErrTruncated},
		"long header without IDs":    {[]byte{0xc0, 0, 0}, header.Packet{}, header.ErrTruncated},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			got, err := header.Parse(test.datagram)
			if !errors.Is(err, test.err) {
				t.Fatalf("got %v, want %v", err, test.err)
			}
			if diff := cmp.Diff(test.want, got); diff != "" {
				t.Error(diff)
			}
		})
	}
}

func FuzzParse(f *testing.F) {
	f.Add(long(0xc0, 1, bytes.Repeat([]byte{7}, 20)))
	f.Add([]byte{0x40})
	f.Fuzz(func(t *testing.T, datagram []byte) {
		packet, err := header.Parse(datagram)
		if err == nil && !bytes.Contains(datagram, packet.DestinationID) {
			t.Error("connection ID is not in the datagram")
		}
	})
}
