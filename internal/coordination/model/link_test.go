package model_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/coriandershift/coriandershift/internal/protocol/fwdmsg"
	"github.com/coriandershift/coriandershift/internal/state/keyset"
)

const (
	// maxLinkQueue is the queueing time at a link beyond which packets are dropped.
	maxLinkQueue = time.Second

	// datagramOverhead is the size of the IP and UDP headers, headerLength that of the
	// platform's header of a caller's packet, in bytes.
	datagramOverhead = 28
	headerLength     = 31
)

// envelopeLength is the size of an envelope without ranks, with its tag, and rankLength
// what each rank adds to it, in bytes.
var envelopeLength, rankLength = envelopeLengths()

func envelopeLengths() (int, int) {
	codec := fwdmsg.New(keyset.Set{})
	bare := len(codec.Append(nil, &fwdmsg.Envelope{}, nil))
	return bare, len(codec.Append(nil, &fwdmsg.Envelope{RankCount: 1}, nil)) - bare
}

// packetSize returns the size on a link of a caller's packet with data.
func packetSize(dataLength int) int {
	return datagramOverhead + headerLength + dataLength
}

// messageSize returns the size on a link of a message with a payload.
func messageSize(e *fwdmsg.Envelope, payloadLength int) int {
	return datagramOverhead + envelopeLength + e.RankCount*rankLength + payloadLength
}

// link is one direction of a network link with a rate: a FIFO queue that drops packets
// which would leave it after maxLinkQueue.
type link struct {
	rate      int // in bytes per second; 0 is unlimited
	busyUntil time.Time
	dropped   int
}

// send adds a packet of size bytes to the queue. It returns how long the packet takes to
// leave the link, and false if it is dropped.
func (l *link) send(now time.Time, size int) (time.Duration, bool) {
	if l.rate == 0 {
		return 0, true
	}
	if l.busyUntil.Before(now) {
		l.busyUntil = now
	}
	if l.busyUntil.Sub(now) > maxLinkQueue {
		l.dropped++
		return 0, false
	}
	l.busyUntil = l.busyUntil.Add(time.Duration(size) * time.Second / time.Duration(l.rate))
	return l.busyUntil.Sub(now), true
}

// byteCounter counts bytes by the second of a run.
type byteCounter map[int]int

func (c byteCounter) add(at time.Duration, size int) { c[int(at/time.Second)] += size }

// max returns the largest count of a second within a time of the run.
func (c byteCounter) max(from, to time.Duration) int {
	largest := 0
	for second, count := range c {
		if at := time.Duration(second) * time.Second; at >= from && at < to {
			largest = max(largest, count)
		}
	}
	return largest
}

func TestALinkDelaysAndDropsWhatItCannotCarry(t *testing.T) {
	now := time.Unix(0, 0)
	l := &link{rate: 1000}
	var delays []time.Duration
	for range 4 {
		delay, ok := l.send(now, 400)
		if !ok {
			delay = -1
		}
		delays = append(delays, delay)
	}
	now = now.Add(1500 * time.Millisecond)
	delay, _ := l.send(now, 100)
	delays = append(delays, delay)

	want := []time.Duration{400 * time.Millisecond, 800 * time.Millisecond, 1200 * time.Millisecond, -1, 100 * time.Millisecond}
	if diff := cmp.Diff(want, delays); diff != "" {
		t.Error(diff)
	}
}
