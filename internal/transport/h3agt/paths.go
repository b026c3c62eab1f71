package h3agt

import (
	"net/netip"
	"sync"
	"time"

	"github.com/coriandershift/coriandershift/internal/state/roster"
)

const (
	// pathFresh is how long after its last datagram a balancer is sent answers.
	pathFresh = 300 * time.Millisecond

	// pathForget is how long a silent balancer is remembered.
	pathForget = 30 * time.Second

	pathNote = 20 * time.Millisecond // datagrams closer than this do not renew the note
)

// paths remembers which balancers are heard, to choose one for each answer.
// It is safe for concurrent use.
type paths struct {
	mu    sync.RWMutex
	heard map[netip.AddrPort]time.Time
}

func newPaths() *paths {
	return &paths{heard: map[netip.AddrPort]time.Time{}}
}

// note tells that a datagram came from a balancer.
func (p *paths) note(balancer netip.AddrPort, now time.Time) {
	p.mu.RLock()
	last := p.heard[balancer]
	p.mu.RUnlock()
	if now.Sub(last) < pathNote {
		return
	}

	p.mu.Lock()
	defer p.mu.Unlock()
	p.heard[balancer] = now
	for other, at := range p.heard {
		if now.Sub(at) > pathForget {
			delete(p.heard, other)
		}
	}
}

// choose returns the balancer for answers to a caller: by rendezvous hashing
// among those heard just now, so that a flow's answers keep one path, or else
// the one heard last.
func (p *paths) choose(caller netip.AddrPort, now time.Time) (netip.AddrPort, bool) {
	p.mu.RLock()
	defer p.mu.RUnlock()

	hash := roster.HashAddress(caller)
	var best, newest netip.AddrPort
	var bestScore uint64
	var newestAt time.Time
	for balancer, at := range p.heard {
		if at.After(newestAt) {
			newest, newestAt = balancer, at
		}
		score := (hash ^ roster.HashAddress(balancer)) * 0x9e3779b97f4a7c15
		if now.Sub(at) <= pathFresh && score >= bestScore {
			best, bestScore = balancer, score
		}
	}

	if best.IsValid() {
		return best, true
	}
	return newest, newest.IsValid()
}
