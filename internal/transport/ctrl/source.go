package ctrl

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/coriandershift/coriandershift"
	"github.com/coriandershift/coriandershift/internal/state/config"
)

const (
	// sourcePause is the time between two attempts to read the operators'
	// configuration while the store does not answer; it grows to sourcePauseMax.
	// Changes must be in force within seconds of its return.
	sourcePause    = 500 * time.Millisecond
	sourcePauseMax = time.Second

	// stormPause is the time between a change and the next wait: changes in
	// quick succession are then read in one call.
	stormPause = 150 * time.Millisecond

	// firstPause and firstTimeout are those of a process that has no configuration
	// at all and can serve nobody. Both double, the pause up to sourcePause and
	// the timeout up to the store's own.
	firstPause   = 100 * time.Millisecond
	firstTimeout = 250 * time.Millisecond

	// sourceIdle is how often a process that leaves the watch to others looks
	// whether it has become a watcher.
	sourceIdle = time.Second
)

// FollowConfigSource keeps the operators' configuration in force. Two balancers of
// each failure domain, the first on the ring, wait at the store; the others hear
// of changes from them, and read once for themselves when they start.
func (l *Plane) FollowConfigSource(ctx context.Context, operators coriandershift.ConfigSource) {
	cfg := l.readFirstOf(ctx, operators)
	pause := sourcePause
	for ctx.Err() == nil {
		if l.rank() >= watchersPerDomain && l.Config().Revision > 0 && !l.isolated() {
			sleep(ctx, sourceIdle)
			continue
		}

		err := l.followOnce(ctx, operators, cfg)
		if ctx.Err() != nil {
			return
		}
		cfg = nil
		if err == nil || !l.storeLost {
			pause = sourcePause
		}
		if err != nil {
			l.noteStore(err)
			sleep(ctx, pause)
			pause = min(2*pause, sourcePauseMax)
		}
	}
}

// readFirstOf reads until there is a configuration. It returns that of the store,
// or nil if a peer was faster.
func (l *Plane) readFirstOf(ctx context.Context, operators coriandershift.ConfigSource) *config.Config {
	timeout, pause := firstTimeout, firstPause
	for ctx.Err() == nil && l.Config().Revision == 0 {
		call, cancel := context.WithTimeout(ctx, timeout)
		cfg, err := operators.Load(call)
		cancel()
		l.noteStore(err)
		if err == nil {
			l.Adopt(cfg, "store")
			return cfg
		}
		sleep(ctx, pause)
		timeout *= 2
		pause = min(2*pause, sourcePause)
	}
	return nil
}

// followOnce reads the configuration, unless it was read just now, and follows its
// changes until the store has lost them or is lost itself.
func (l *Plane) followOnce(ctx context.Context, operators coriandershift.ConfigSource, cfg *config.Config) error {
	if cfg == nil {
		var err error
		if cfg, err = operators.Load(ctx); err != nil {
			return err
		}
	}
	l.noteStore(nil)
	l.Adopt(cfg, "store")

	after := cfg.Revision
	for ctx.Err() == nil {
		next, revision, err := operators.Next(ctx, cfg, after)
		if errors.Is(err, coriandershift.ErrCompacted) {
			return nil
		}
		if err != nil {
			return err
		}
		if l.Adopt(next, "store") {
			sleep(ctx, stormPause)
		}
		cfg, after = next, revision
	}
	return nil
}

// noteStore logs when the store is lost or regained.
func (l *Plane) noteStore(err error) {
	lost := err != nil
	if lost == l.storeLost {
		return
	}
	l.storeLost = lost
	if lost {
		l.log.Warn("store lost", "revision", l.Config().Revision, "error", err)
		return
	}
	l.log.Info("store regained", "revision", l.Config().Revision)
}

func (l *Plane) isolated() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.node.Isolated(time.Now())
}
