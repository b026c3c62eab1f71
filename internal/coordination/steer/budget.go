package steer

import (
	"time"

	"golang.org/x/time/rate"

	"github.com/coriandershift/coriandershift/internal/protocol/fwdmsg"
	"github.com/coriandershift/coriandershift/internal/state/flow"
)

const (
	// ownShare is the share of the link's rate that questions about flows, the replies
	// to them and copies of opening packets may take. The rest is for callers.
	ownShare = 0.1

	// budgetBurst is the time whose share may be used at once after a calm period.
	budgetBurst = time.Second

	// minBurst is the least number of bytes that may be used at once: a datagram.
	minBurst = 1500

	// datagramHeaders is the length of the headers of IP and UDP in bytes.
	datagramHeaders = 28

	// messageLength is the length in bytes of a message between a balancer and an
	// agent on the link, without its payload and ranks.
	messageLength = datagramHeaders + fwdmsg.HeaderLength
)

// budget limits the bytes of the balancer's own messages on a narrow link. Without
// a limit, they keep a link full that was full for a moment: late replies cause
// further questions. The zero budget has no limit.
type budget struct {
	limiter *rate.Limiter
}

// newBudget returns the budget for a link with a rate in bytes per second; 0 is no limit.
func newBudget(linkRate int) budget {
	if linkRate == 0 {
		return budget{}
	}
	perSecond := ownShare * float64(linkRate)
	return budget{limiter: rate.NewLimiter(rate.Limit(perSecond), max(minBurst, int(perSecond*budgetBurst.Seconds())))}
}

// take reports whether messages may be sent now, and deducts their bytes if so. The
// budget may fall below zero: a query to thousands of agents can exceed the burst, and
// one about many flows takes fewer bytes than several about few.
func (b budget) take(now time.Time, bytes int) bool {
	if !b.available(now) {
		return false
	}
	b.charge(now, bytes)
	return true
}

// available reports whether messages may be sent now, at the risk of a debt.
func (b budget) available(now time.Time) bool {
	return b.limiter == nil || b.limiter.TokensAt(now) > 0
}

// covers reports whether messages may be sent now without a debt.
func (b budget) covers(now time.Time, bytes int) bool {
	return b.limiter == nil || b.limiter.TokensAt(now) >= float64(bytes)
}

// charge deducts the bytes of messages that are sent in any case.
func (b budget) charge(now time.Time, bytes int) {
	if b.limiter == nil {
		return
	}
	for ; bytes > 0; bytes -= b.limiter.Burst() {
		b.limiter.ReserveN(now, min(bytes, b.limiter.Burst()))
	}
}

// questionCost returns the bytes on the link of asking agents about flows: the
// questions and the replies.
func questionCost(agents, flows int) int {
	return agents * (2*messageLength + flows*(fwdmsg.QuestionLength+fwdmsg.StatusLength))
}

// maxRetryDoublings limits the doublings of retryDelay on a link with a budget.
const maxRetryDoublings = 3

// retryDelay returns the delay after which an inconclusive search asks again. With a
// budget it doubles with each query, and differs between flows, so that flows that were
// lost together do not use up the budget of each other again and again.
func (r *Router) retryDelay(key flow.Key, s *search) time.Duration {
	if r.budget.limiter == nil {
		return retryDelay
	}
	delay := retryDelay << min(max(0, s.queryCount-1), maxRetryDoublings)
	return delay + delay/2*time.Duration(key.Hash()%8)/8
}
