package h3agt

import (
	"context"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"sync"

	"github.com/coriandershift/coriandershift/internal/state/roster"
)

const (
	// passTries bounds how many peers are asked for one request.
	passTries = 2

	// passBudget is the share of requests that may be passed on, so that
	// overload never multiplies; passBurst is how many may be at once.
	passBudget = 0.2
	passBurst  = 20
)

// passing hands requests that have not started to peers with room.
type passing struct {
	self   netip.AddrPort
	peers  func() []roster.Member
	client *peerClient

	mu     sync.Mutex
	budget float64
}

// earn adds to the budget for one request that arrived.
func (p *passing) earn() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.budget = min(passBurst, p.budget+passBudget)
}

func (p *passing) spend() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.budget < 1 {
		return false
	}
	p.budget--
	return true
}

// pass tries peers until one runs the request. It returns nil if none did; the
// request has not run then. An error means that it is not known whether it ran.
func (p *passing) pass(ctx context.Context, x *exchange) (*http.Response, error) {
	if x.class.Feed || x.streamsBody() {
		return nil, nil
	}

	for _, peer := range p.choose() {
		if !p.spend() {
			return nil, nil
		}
		response, err := p.client.pass(ctx, peer, x)
		if err != nil {
			return nil, err
		}
		if response.Header.Get(headerOutcome) != outcomeNotRun {
			return response, nil
		}
		response.Body.Close()
	}
	return nil, nil
}

// streamsBody reports whether the request has a body that is not held, and so can be sent but once.
func (x *exchange) streamsBody() bool {
	return x.body == nil && x.r.ContentLength != 0 && !safeMethod(x.r.Method)
}

// choose returns up to passTries peers that take new work, at random.
func (p *passing) choose() []netip.AddrPort {
	var open []roster.Member
	for _, m := range p.peers() {
		if m.Address != p.self && m.State == roster.Alive && m.Weight > 0 && m.Admin.IsValid() {
			open = append(open, m)
		}
	}
	rand.Shuffle(len(open), func(i, j int) { open[i], open[j] = open[j], open[i] })

	var chosen []netip.AddrPort
	for _, m := range open[:min(passTries, len(open))] {
		chosen = append(chosen, m.Admin)
	}
	return chosen
}
