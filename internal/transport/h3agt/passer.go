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
	// maxPassAttempts is the number of peers that are tried for one request.
	maxPassAttempts = 2

	// passBudgetPerRequest is the share of requests that may be passed on, so that
	// passing on cannot multiply an overload. maxPassBudget is the number that may
	// be passed on in a burst.
	passBudgetPerRequest = 0.2
	maxPassBudget        = 20
)

// passer sends requests that have not started to peers that take new work.
type passer struct {
	self   netip.AddrPort
	peers  func() []roster.Member
	client *peerClient

	mu     sync.Mutex
	budget float64 // requests that may be passed on now, 0 to maxPassBudget
}

// earnBudget adds the share of one arriving request to the budget.
func (p *passer) earnBudget() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.budget = min(maxPassBudget, p.budget+passBudgetPerRequest)
}

// spendBudget takes one request from the budget, or reports false if less is left.
func (p *passer) spendBudget() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.budget < 1 {
		return false
	}
	p.budget--
	return true
}

// tryPeers asks peers one after another until one runs the request, and returns
// its answer. A nil response without an error means that no peer ran the
// request; an error means that it may have run.
func (p *passer) tryPeers(ctx context.Context, x *exchange) (*http.Response, error) {
	if x.class.Feed || x.streamsBody() {
		return nil, nil
	}

	for _, peer := range p.choosePeers() {
		if !p.spendBudget() {
			return nil, nil
		}
		response, err := p.client.passOn(ctx, peer, x)
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

// streamsBody reports whether the request has a body that is not buffered, and so can be sent only once.
func (x *exchange) streamsBody() bool {
	return x.body == nil && x.request.ContentLength != 0 && !isSafeMethod(x.request.Method)
}

// choosePeers returns the peer addresses of up to maxPassAttempts randomly
// chosen agents that take new work.
func (p *passer) choosePeers() []netip.AddrPort {
	var candidates []roster.Member
	for _, m := range p.peers() {
		if m.Address != p.self && m.State == roster.Alive && m.Weight > 0 && m.Admin.IsValid() {
			candidates = append(candidates, m)
		}
	}
	rand.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })

	var addresses []netip.AddrPort
	for _, m := range candidates[:min(maxPassAttempts, len(candidates))] {
		addresses = append(addresses, m.Admin)
	}
	return addresses
}
