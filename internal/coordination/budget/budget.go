// Package budget limits what a balancer's own messages take of a narrow link. Without a
// limit, they keep a link full that was full for a moment: late replies cause further
// questions. The package does no I/O.
package budget

import (
	"time"

	"golang.org/x/time/rate"

	"github.com/coriandershift/coriandershift/internal/protocol/fwdmsg"
)

const (
	// ownShare is the share of the link's rate that questions about flows, the replies
	// to them and copies of opening packets may take. The rest is for callers.
	ownShare = 0.1

	// burst is the time whose share may be used at once after a calm period.
	burst = time.Second

	// minBurst is the least number of bytes that may be used at once: a datagram.
	minBurst = 1500

	// DatagramHeaders is the length of the headers of IP and UDP in bytes.
	DatagramHeaders = 28

	// MessageLength is the length in bytes of a message between a balancer and an
	// agent on the link, without its payload and ranks.
	MessageLength = DatagramHeaders + fwdmsg.HeaderLength
)

// Budget limits the bytes of own messages, on average and in each run of datagrams. It is
// not safe for concurrent use.
type Budget struct {
	linkRate int           // in bytes per second, 0 if not known
	limiter  *rate.Limiter // nil if there is no limit
	run      run
}

// New returns the Budget for a link with a rate in bytes per second; 0 is no limit.
func New(linkRate int) *Budget {
	b := &Budget{linkRate: linkRate}
	if linkRate > 0 {
		perSecond := ownShare * float64(linkRate)
		b.limiter = rate.NewLimiter(rate.Limit(perSecond), max(minBurst, int(perSecond*burst.Seconds())))
	}
	return b
}

// IsLimited reports whether there is a limit.
func (b *Budget) IsLimited() bool {
	return b.limiter != nil
}

// Take reports whether messages may be sent now, and deducts their bytes if so. The
// budget may fall below zero: a query to thousands of agents can exceed the burst, and
// one about many flows takes fewer bytes than several about few.
func (b *Budget) Take(now time.Time, bytes int) bool {
	if !b.Available(now) {
		return false
	}
	b.Charge(now, bytes)
	return true
}

// Available reports whether messages may be sent now, at the risk of a debt.
func (b *Budget) Available(now time.Time) bool {
	return b.limiter == nil || b.limiter.TokensAt(now) > 0
}

// Covers reports whether messages may be sent now without a debt.
func (b *Budget) Covers(now time.Time, bytes int) bool {
	return b.limiter == nil || b.limiter.TokensAt(now) >= float64(bytes)
}

// Charge deducts the bytes of messages that are sent in any case.
func (b *Budget) Charge(now time.Time, bytes int) {
	if b.limiter == nil {
		return
	}
	for ; bytes > 0; bytes -= b.limiter.Burst() {
		b.limiter.ReserveN(now, min(bytes, b.limiter.Burst()))
	}
}
