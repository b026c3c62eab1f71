package fwbal

import "time"

const (
	// quietFor is after how long without a packet the fabric is taken to deliver
	// to others.
	quietFor = 300 * time.Millisecond

	// withdrawPoll is how often that is looked at.
	withdrawPoll = 50 * time.Millisecond
)

// Withdraw forwards until the fabric delivers nothing any more: at least for a
// time in which the fabric hears of it, at most for another. The fabric goes on
// delivering while too few others of the failure domain are ready.
func (n *Balancer) Withdraw(least, most time.Duration) {
	w := withdrawal{start: time.Now(), least: least, most: most}
	for !w.over(time.Now(), n.heardFabric()) {
		time.Sleep(withdrawPoll)
	}
}

func (n *Balancer) heardFabric() time.Time {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.lastCaller
}

// withdrawal is a balancer's end, of which the fabric has been told.
type withdrawal struct {
	start       time.Time
	least, most time.Duration
}

// over reports whether nothing is lost if the balancer ends now, or its time is over.
func (w withdrawal) over(now, heard time.Time) bool {
	passed := now.Sub(w.start)
	return passed >= w.most || (passed >= w.least && now.Sub(heard) >= quietFor)
}
