package ctrl

import (
	"math/rand/v2"
	"time"
)

const (
	minBackoff = time.Second
	maxBackoff = 30 * time.Second
)

// backoff yields exponentially growing delays from minBackoff to maxBackoff. Each is
// shortened at random by up to half, so that processes do not retry at the store
// all at once.
type backoff struct {
	last time.Duration // before it was shortened; 0 after a reset
}

func (b *backoff) next() time.Duration {
	b.last = min(max(minBackoff, 2*b.last), maxBackoff)
	return b.last/2 + time.Duration(rand.Int64N(int64(b.last/2)))
}

func (b *backoff) reset() {
	b.last = 0
}
