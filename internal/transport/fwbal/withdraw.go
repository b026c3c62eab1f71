package fwbal

import "time"

const (
	// quietPeriod is the time without a packet after which the fabric is assumed to
	// deliver only to other balancers.
	quietPeriod = 300 * time.Millisecond

	// withdrawPollInterval is the time between two checks whether a withdrawal is done.
	withdrawPollInterval = 50 * time.Millisecond
)

// Withdraw waits, while the balancer goes on forwarding, until the fabric has not
// delivered a packet for quietPeriod. It waits at least for minDuration, in which the
// fabric learns that the balancer is not ready any more, and at most for maxDuration:
// the fabric goes on delivering while too few other balancers of the failure domain are
// ready.
func (b *Balancer) Withdraw(minDuration, maxDuration time.Duration) {
	w := withdrawal{start: time.Now(), minDuration: minDuration, maxDuration: maxDuration}
	for !w.done(time.Now(), b.lastCallerPacket()) {
		time.Sleep(withdrawPollInterval)
	}
}

func (b *Balancer) lastCallerPacket() time.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.lastCallerPacketAt
}

// withdrawal is the time between the moment at which a balancer stops being ready and
// its exit.
type withdrawal struct {
	start                    time.Time
	minDuration, maxDuration time.Duration
}

// done reports whether the balancer can exit without losing packets, or maxDuration has
// passed. lastPacket is when the fabric last delivered a packet.
func (w withdrawal) done(now, lastPacket time.Time) bool {
	elapsed := now.Sub(w.start)
	return elapsed >= w.maxDuration || (elapsed >= w.minDuration && now.Sub(lastPacket) >= quietPeriod)
}
