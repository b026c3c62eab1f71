package h3agt

import (
	"net/netip"
	"sync"
	"time"

	"github.com/coriandershift/coriandershift/internal/state/roster"
)

const (
	// pathFreshFor is the greatest age of a balancer's last datagram at which it
	// is preferred for answers.
	pathFreshFor = 300 * time.Millisecond

	// pathForgetAfter is how long a balancer is remembered after its last datagram.
	pathForgetAfter = 30 * time.Second

	// pathRecordInterval is the shortest time between two updates of a balancer's
	// record, so that most datagrams take the read lock only.
	pathRecordInterval = 20 * time.Millisecond
)

// returnPaths remembers the balancers that have sent datagrams, to choose one
// for each answer. It is safe for concurrent use.
type returnPaths struct {
	mu        sync.RWMutex
	lastHeard map[netip.AddrPort]time.Time
}

func newReturnPaths() *returnPaths {
	return &returnPaths{lastHeard: map[netip.AddrPort]time.Time{}}
}

// record notes that a datagram came from a balancer.
func (p *returnPaths) record(balancer netip.AddrPort, now time.Time) {
	p.mu.RLock()
	last := p.lastHeard[balancer]
	p.mu.RUnlock()
	if now.Sub(last) < pathRecordInterval {
		return
	}

	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastHeard[balancer] = now
	for other, at := range p.lastHeard {
		if now.Sub(at) > pathForgetAfter {
			delete(p.lastHeard, other)
		}
	}
}

// choose returns the balancer for answers to a caller, by rendezvous hashing
// among those heard within pathFreshFor, so that a flow's answers keep one path.
// If there are none, it returns the balancer heard last. It reports false if no
// balancer is known.
func (p *returnPaths) choose(caller netip.AddrPort, now time.Time) (netip.AddrPort, bool) {
	p.mu.RLock()
	defer p.mu.RUnlock()

	hash := roster.HashAddress(caller)
	var best, newest netip.AddrPort
	var bestScore uint64
	var newestAt time.Time
	for balancer, at := range p.lastHeard {
		if at.After(newestAt) {
			newest, newestAt = balancer, at
		}
		score := (hash ^ roster.HashAddress(balancer)) * 0x9e3779b97f4a7c15 // see shortIncarnation
		if now.Sub(at) <= pathFreshFor && score >= bestScore {
			best, bestScore = balancer, score
		}
	}

	if best.IsValid() {
		return best, true
	}
	return newest, newest.IsValid()
}
