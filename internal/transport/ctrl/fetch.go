package ctrl

import (
	"context"
	"net/netip"
	"time"

	"github.com/coriandershift/coriandershift/internal/coordination/adopt"
	"github.com/coriandershift/coriandershift/internal/coordination/fetch"
	"github.com/coriandershift/coriandershift/internal/coordination/member"
)

// offerSource records that a peer has a later configuration, and fetches it.
func (p *Plane) offerSource(source member.ConfigSource) {
	p.mu.Lock()
	now := time.Now()
	p.plan.Offer(now, source.Admin, source.Near, source.Revision, source.Operators)
	for _, admin := range p.node.NearSources() {
		p.plan.Suggest(now, admin)
	}
	p.mu.Unlock()
	p.startFetches()
}

// startFetches begins the fetches that are due and checks again once the latest one is to
// be hedged.
func (p *Plane) startFetches() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for {
		now := time.Now()
		peer, found := p.plan.Next(now)
		if !found {
			return
		}
		go p.fetch(peer)
		time.AfterFunc(p.plan.HedgeDelay(now), p.startFetches)
	}
}

// fetch fetches the configuration of the peer that serves it at an address and puts it in
// force if it is later than the present one.
func (p *Plane) fetch(peer netip.AddrPort) {
	ctx, cancel := context.WithTimeout(context.Background(), fetchTimeout)
	defer cancel()

	outcome := fetch.Failed
	cfg, err := p.fetcher.Fetch(ctx, peer, p.Config())
	if err != nil {
		p.log.Warn("cannot fetch configuration", "peer", peer, "error", err)
	} else {
		outcome = outcomes[p.offer(cfg, "peer")]
	}

	p.mu.Lock()
	p.plan.Finish(time.Now(), peer, outcome)
	p.mu.Unlock()
	p.startFetches()
}

// outcomes are the outcomes of fetches by the decision on what was fetched.
var outcomes = map[adopt.Decision]fetch.Outcome{adopt.Ignore: fetch.Nothing, adopt.Hold: fetch.Held, adopt.Adopt: fetch.Adopted}

// InquireConfig asks a balancer which configuration it has, after a message that shows a
// later revision than the one in force.
func (p *Plane) InquireConfig(balancer netip.AddrPort) {
	p.mu.Lock()
	sends := p.node.Inquire(time.Now(), balancer)
	p.mu.Unlock()
	p.send(sends)
}

// starved reports whether the configuration is to be read from the store because it could
// not be fetched from any peer.
func (p *Plane) starved() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.plan.Starved(time.Now())
}
