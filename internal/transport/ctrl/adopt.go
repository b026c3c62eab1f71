package ctrl

import (
	"context"
	"net/netip"

	"github.com/coriandershift/coriandershift/internal/coordination/member"
	"github.com/coriandershift/coriandershift/internal/state/config"
)

// ConfigFetcher fetches configurations from peers.
type ConfigFetcher interface {
	// Fetch returns the configuration of the peer that serves it at admin. known is
	// the caller's own configuration, so that only the changes since then need to be
	// fetched.
	Fetch(ctx context.Context, admin netip.AddrPort, known *config.Config) (*config.Config, error)
}

// DeltaSince returns the delta from a revision to the configuration in force. It
// reports false if that revision is no longer in the history.
func (p *Plane) DeltaSince(revision uint64) (config.Delta, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.history.Since(revision)
}

// Adopt puts a configuration in force if its revision is higher than the present
// one's, and reports whether it did. source is only logged.
func (p *Plane) Adopt(cfg *config.Config, source string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()

	if cfg.Revision <= p.cfg.Revision {
		return false
	}

	p.history.Add(config.Diff(p.cfg, cfg))
	p.cfg = cfg
	p.node.SetRevision(cfg.Revision)
	p.metrics.ConfigRevision.Set(float64(cfg.Revision))
	p.log.Info("configuration in force", "revision", cfg.Revision, "source", source)
	p.signal()
	return true
}

// fetch fetches the configuration of a peer in the background, unless another fetch
// is running or the peer's revision is not higher.
func (p *Plane) fetch(source member.ConfigSource) {
	p.mu.Lock()
	skip := p.fetching || source.Revision <= p.cfg.Revision
	if !skip {
		p.fetching = true
	}
	p.mu.Unlock()
	if skip {
		return
	}

	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), fetchTimeout)
		defer cancel()

		cfg, err := p.fetcher.Fetch(ctx, source.Admin, p.Config())
		if err != nil {
			p.log.Warn("cannot fetch configuration", "peer", source.Admin, "error", err)
		} else {
			p.Adopt(cfg, "peer")
		}

		p.mu.Lock()
		p.fetching = false
		p.mu.Unlock()
	}()
}
