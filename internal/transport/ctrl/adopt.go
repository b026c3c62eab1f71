package ctrl

import (
	"context"
	"net/netip"

	"github.com/coriandershift/coriandershift/internal/coordination/member"
	"github.com/coriandershift/coriandershift/internal/state/config"
)

// ConfigFetcher gets a configuration from a peer.
type ConfigFetcher interface {
	// Fetch returns the peer's configuration, given one that is known.
	Fetch(ctx context.Context, admin netip.AddrPort, known *config.Config) (*config.Config, error)
}

// DeltaSince returns the delta from a revision to the configuration in force, and whether it is known.
func (l *Plane) DeltaSince(revision uint64) (config.Delta, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.history.Since(revision)
}

// Adopt takes a configuration into use if its revision is higher, and reports whether it did.
func (l *Plane) Adopt(cfg *config.Config, source string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()

	if cfg.Revision <= l.cfg.Revision {
		return false
	}

	l.history.Add(config.Diff(l.cfg, cfg))
	l.cfg = cfg
	l.node.SetRevision(cfg.Revision)
	l.metrics.ConfigRevision.Set(float64(cfg.Revision))
	l.log.Info("configuration in force", "revision", cfg.Revision, "source", source)
	l.signal()
	return true
}

// fetch gets a configuration from a peer in the background, one at a time.
func (l *Plane) fetch(offer member.ConfigSource) {
	l.mu.Lock()
	busy := l.fetching || offer.Revision <= l.cfg.Revision
	if !busy {
		l.fetching = true
	}
	l.mu.Unlock()
	if busy {
		return
	}

	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), fetchTimeout)
		defer cancel()

		cfg, err := l.fetcher.Fetch(ctx, offer.Admin, l.Config())
		if err != nil {
			l.log.Warn("cannot fetch configuration", "peer", offer.Admin, "error", err)
		} else {
			l.Adopt(cfg, "peer")
		}

		l.mu.Lock()
		l.fetching = false
		l.mu.Unlock()
	}()
}
