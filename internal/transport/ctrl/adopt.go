package ctrl

import (
	"context"
	"net/netip"
	"time"

	"github.com/coriandershift/coriandershift/internal/coordination/adopt"
	"github.com/coriandershift/coriandershift/internal/state/config"
	"github.com/coriandershift/coriandershift/internal/state/revno"
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

// Adopt puts a configuration in force if it is newer than the present one, and reports
// whether it did. source is only logged.
func (p *Plane) Adopt(cfg *config.Config, source string) bool {
	return p.offer(cfg, source) == adopt.Adopt
}

// offer puts a configuration in force if it is newer than the present one. One from a
// store that came back from an older copy may be held back; see package adopt.
func (p *Plane) offer(cfg *config.Config, source string) adopt.Decision {
	p.mu.Lock()
	defer p.mu.Unlock()

	previous := p.gate.InForce()
	if cfg.FormerFrom == 0 {
		recordFormer(previous, cfg)
	}
	decision := p.gate.Offer(time.Now(), cfg)
	switch decision {
	case adopt.Hold:
		p.metrics.HeldConfigs.Inc()
		p.log.Warn("configuration held back: the store came back from an older copy", "era", revno.Revision(cfg.Revision).Era(),
			"revision", cfg.Revision, "operators", cfg.Operators, "operatorsInForce", previous.Operators, "source", source)
	case adopt.Adopt:
		p.history.Add(config.Diff(previous, cfg))
		p.plan.Apply(time.Now(), cfg)
		p.node.SetRevision(cfg.Revision, cfg.Operators)
		p.metrics.ConfigRevision.Set(float64(cfg.Revision))
		p.log.Info("configuration in force", "revision", cfg.Revision, "operators", cfg.Operators, "source", source)
		p.signal()
	}
	return decision
}

// recordFormer records the former services of a configuration that was read as a whole. The
// operators write no configuration twice, so there was none between two with their version.
func recordFormer(previous, cfg *config.Config) {
	if cfg.Operators > 0 && cfg.Operators == previous.Operators {
		cfg.RecordFormer(previous)
		return
	}
	cfg.RecordFormerAcrossGap(previous)
}

// observeEra exchanges the latest era of the store between the store's client and the
// peers. It must be called with the lock held.
func (p *Plane) observeEra() {
	p.node.SetUnsettled(p.gate.Unsettled(time.Now()))
	if p.store == nil {
		return
	}
	era := p.node.ObserveEra(p.store.ObserveEra(p.era))
	if era > p.era {
		p.log.Warn("the store came back from an older copy", "era", era)
		p.era = p.store.ObserveEra(era)
		p.gate.ObserveEra(time.Now(), p.era)
		p.metrics.StoreEra.Set(float64(p.era))
	}
}
