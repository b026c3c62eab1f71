package ctrl

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/coriandershift/coriandershift"
	"github.com/coriandershift/coriandershift/internal/coordination/adopt"
	"github.com/coriandershift/coriandershift/internal/state/config"
)

const (
	// sourceRetryDelay is the first delay between two attempts to read the operators'
	// configuration while the store does not answer. It doubles up to
	// maxSourceRetryDelay, which is short because changes must be in force within
	// seconds after the store is back.
	sourceRetryDelay    = 500 * time.Millisecond
	maxSourceRetryDelay = time.Second

	// burstDelay is the time between a change and the wait for the next one, so that
	// changes in quick succession are read in one call.
	burstDelay = 150 * time.Millisecond

	// initialLoadTimeout limits the first attempt to read the source while no
	// configuration is in force, and initialRetryDelay is the delay after it. Both are
	// short because the process can serve nobody yet. They double with each attempt: the
	// delay up to sourceRetryDelay, the timeout up to the store's own.
	initialRetryDelay  = 100 * time.Millisecond
	initialLoadTimeout = 250 * time.Millisecond

	// followerRetryDelay is the delay between two such attempts of a balancer that can
	// expect to get the configuration from its peers.
	followerRetryDelay = 2 * time.Second

	// ringDelay is the time after its start in which a balancer learns of most others.
	// Only then does it know whether it is among the first of its failure domain.
	ringDelay = time.Second

	// rankCheckInterval is the time between two checks whether this balancer has to
	// watch the store.
	rankCheckInterval = time.Second

	// starvedCheckInterval is the time between two such checks of a balancer that does not
	// watch the store. It does so once its peers cannot serve a change.
	starvedCheckInterval = 250 * time.Millisecond
)

// FollowConfigSource keeps the operators' configuration in force until the context ends.
// It waits for changes at the source only on the first watchersPerDomain balancers of
// each failure domain on the ring, on isolated ones, and on those that cannot fetch a change
// from any peer. The others learn of changes from their peers, and read the source when
// they start.
func (p *Plane) FollowConfigSource(ctx context.Context, source coriandershift.ConfigSource) {
	started := time.Now()
	cfg := p.loadInitialConfig(ctx, source)
	sleep(ctx, ringDelay-time.Since(started))
	delay := sourceRetryDelay
	for ctx.Err() == nil {
		if !p.watchesSource() {
			sleep(ctx, starvedCheckInterval)
			continue
		}

		watching, cancel := context.WithCancel(ctx)
		go p.stopIfOthersWatch(watching, cancel)
		err := p.followChanges(watching, source, cfg)
		stopped := watching.Err() != nil
		cancel()
		cfg = nil
		if stopped {
			continue
		}
		if err == nil || !p.storeLost {
			delay = sourceRetryDelay
		}
		if err != nil {
			p.logStoreState(err)
			if !errors.Is(err, context.DeadlineExceeded) { // a timeout was delay enough
				sleep(ctx, delay)
			}
			delay = min(2*delay, maxSourceRetryDelay)
		}
	}
}

// watchesSource reports whether this balancer has to wait for changes at the source.
func (p *Plane) watchesSource() bool {
	return p.rankInDomain() < watchersPerDomain || p.Config().Revision == 0 || p.isolated() || p.starved()
}

// stopIfOthersWatch calls stop once other balancers wait for changes instead of this
// one. It returns when ctx ends.
func (p *Plane) stopIfOthersWatch(ctx context.Context, stop context.CancelFunc) {
	for ctx.Err() == nil {
		sleep(ctx, rankCheckInterval)
		if !p.watchesSource() {
			stop()
		}
	}
}

// loadInitialConfig reads the source until a configuration is in force. It returns the
// one that it has read, or nil if that of a peer came first. All but the first balancers
// of each failure domain repeat an attempt only after followerRetryDelay.
func (p *Plane) loadInitialConfig(ctx context.Context, source coriandershift.ConfigSource) *config.Config {
	timeout, delay := initialLoadTimeout, initialRetryDelay
	var lastAttempt time.Time
	for ctx.Err() == nil && p.Config().Revision == 0 {
		if p.rankInDomain() >= watchersPerDomain && !p.isolated() && time.Since(lastAttempt) < followerRetryDelay {
			sleep(ctx, initialRetryDelay)
			continue
		}
		lastAttempt = time.Now()
		loadCtx, cancel := context.WithTimeout(ctx, timeout)
		cfg, err := source.Load(loadCtx)
		cancel()
		p.logStoreState(err)
		if err == nil {
			p.Adopt(cfg, "store")
			return cfg
		}
		sleep(ctx, delay)
		timeout *= 2
		delay = min(2*delay, sourceRetryDelay)
	}
	return nil
}

// followChanges adopts cfg, or the source's configuration if cfg is nil, and all changes
// after it. It returns nil if the context ends or the configuration must be read anew:
// because the store has compacted the next changes or came back from an older copy, or
// since the last one was held back and may be in force now. Otherwise it returns the
// store's error.
func (p *Plane) followChanges(ctx context.Context, source coriandershift.ConfigSource, cfg *config.Config) error {
	if cfg == nil {
		var err error
		if cfg, err = source.Load(ctx); err != nil {
			return err
		}
	}
	p.logStoreState(nil)
	decision := p.offer(cfg, "store")

	after := cfg.Revision
	for ctx.Err() == nil {
		next, revision, err := p.nextChange(ctx, source, cfg, after, decision)
		if errors.Is(err, coriandershift.ErrCompacted) {
			return nil
		}
		if err != nil {
			return err
		}
		decision = p.offer(next, "store")
		if decision == adopt.Adopt {
			sleep(ctx, burstDelay)
		}
		cfg, after = next, revision
	}
	return nil
}

// nextChange waits for the next change; decision is that on the previous configuration.
// If that was held back, nextChange returns ErrCompacted after adopt.SettleTime, so that
// the configuration is read again.
func (p *Plane) nextChange(ctx context.Context, source coriandershift.ConfigSource, cfg *config.Config, after uint64, decision adopt.Decision) (*config.Config, uint64, error) {
	if decision != adopt.Hold {
		return source.Next(ctx, cfg, after)
	}
	limited, cancel := context.WithTimeout(ctx, adopt.SettleTime)
	defer cancel()
	next, revision, err := source.Next(limited, cfg, after)
	if err != nil && limited.Err() != nil && ctx.Err() == nil {
		err = coriandershift.ErrCompacted
	}
	return next, revision, err
}

// logStoreState logs if the store has stopped or resumed answering; err is the result of
// the last call.
func (p *Plane) logStoreState(err error) {
	lost := err != nil
	if lost == p.storeLost {
		return
	}
	p.storeLost = lost
	if lost {
		p.log.Warn("store lost", "revision", p.Config().Revision, "error", err)
		return
	}
	p.log.Info("store regained", "revision", p.Config().Revision)
}

func (p *Plane) isolated() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.node.Isolated(time.Now())
}
