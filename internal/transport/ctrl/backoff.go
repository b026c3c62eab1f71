package ctrl

import (
	"math/rand/v2"
	"time"
)

const (
	backoffFirst = time.Second
	backoffMost  = 30 * time.Second
)

// backoff gives pauses that double up to a bound, spread so that processes do
// not return to the store together.
type backoff struct {
	last time.Duration
}

func (b *backoff) next() time.Duration {
	b.last = min(max(backoffFirst, 2*b.last), backoffMost)
	return b.last/2 + time.Duration(rand.Int64N(int64(b.last/2)))
}

func (b *backoff) reset() {
	b.last = 0
}
