package main

import (
	"context"
	"log/slog"
	"net/http"
	"net/netip"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/coriandershift/coriandershift/internal/state/roster"
	"github.com/coriandershift/coriandershift/internal/state/setup"
	"github.com/coriandershift/coriandershift/internal/transport/ctrl"
	"github.com/coriandershift/coriandershift/internal/transport/logbuf"
	"github.com/coriandershift/coriandershift/internal/transport/metric"
	"github.com/coriandershift/coriandershift/platform"
)

// readTimeout bounds the reading of a request's header, and idleTimeout how long
// a connection may rest: probes and heartbeats come every second.
const (
	readTimeout = 5 * time.Second
	idleTimeout = 10 * time.Second
)

// settingsEvery is how often a settings file is looked at that may have changed
// without a signal; what it can change is where a process turns first when it is alone.
const settingsEvery = 10 * time.Second

type settingsArgs struct {
	Settings string `arg:"--settings,env:CORIANDERSHIFT_SETTINGS,required" help:"settings file, JSON with comments"`
}

// daemon is what a balancer and an agent have in common.
type daemon struct {
	settings *setup.Forward
	logs     *logbuf.Buffer
	log      *slog.Logger
	metrics  *metric.Set
	store    *platform.Store
	link     *ctrl.Plane
	hangups  chan os.Signal
}

func newDaemon(args settingsArgs, self func(*setup.Forward) roster.Member) (*daemon, error) {
	// A signal that comes while the process starts must not end it.
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)

	settings, err := setup.LoadForward(args.Settings)
	if err != nil {
		return nil, err
	}

	d := &daemon{settings: settings, logs: logbuf.New(os.Stdout), metrics: metric.New(), hangups: hangups}
	d.log = newLogger(settings, d.logs)
	d.store = platform.NewStore(settings.Store, platform.WithObserver(d.metrics.ObserveStoreCall))

	member := self(settings)
	member.Incarnation = uint64(time.Now().UnixMilli())
	d.link, err = ctrl.Listen(ctrl.Options{
		Self:          member,
		Keys:          settings.Keys(),
		Log:           d.log,
		Metrics:       d.metrics,
		Store:         d.store,
		ConfigFetcher: ctrl.NewHTTPFetcher(),
		Seeds:         seedsOf(settings),
		Listen:        settings.Listen,
	})
	return d, err
}

// start serves what both daemons serve besides their flows.
func (d *daemon) start(ctx context.Context, failed chan<- error) {
	peers := http.NewServeMux()
	peers.HandleFunc("GET "+ctrl.ConfigPath, d.link.ServeConfig)
	metrics := http.NewServeMux()
	metrics.Handle("GET /metrics", d.metrics.Handler())
	go func() { failed <- d.serve(d.settings.Listen, peers) }()
	go func() { failed <- d.serve(d.settings.Metrics, metrics) }()
	go d.reload(ctx)
}

func (d *daemon) serve(address netip.AddrPort, handler http.Handler) error {
	server := &http.Server{
		Addr: address.String(), Handler: handler, ReadHeaderTimeout: readTimeout, IdleTimeout: idleTimeout,
	}
	return errors.Wrapf(server.ListenAndServe(), "serve on %s", address)
}

func newLogger(s *setup.Forward, out *logbuf.Buffer) *slog.Logger {
	var level slog.Level
	if s.LogLevel != "" {
		_ = level.UnmarshalText([]byte(s.LogLevel)) // the settings were checked
	}
	handler := slog.NewTextHandler(out, &slog.HandlerOptions{Level: level, ReplaceAttr: logbuf.ShortErrors})
	return slog.New(handler).With("name", s.Name)
}

// reload takes settings that can change in a running process into use whenever
// they are said to have changed, or are found to have. All others need a restart.
func (d *daemon) reload(ctx context.Context) {
	path := balancerArgs.Settings + agentArgs.Settings // one of them is set
	known := stateOf(path)
	ticker := time.NewTicker(settingsEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-d.hangups:
		case <-ticker.C:
			if stateOf(path) == known {
				continue
			}
		}
		known = stateOf(path)
		d.reloadOnce(path)
	}
}

func (d *daemon) reloadOnce(path string) {
	settings, err := setup.LoadForward(path)
	if err != nil {
		d.log.Warn("settings not reloaded", "error", err)
		return
	}
	d.link.SetSeeds(seedsOf(settings))
	d.log.Info("settings reloaded", "seeds", len(settings.Seeds))
}

// fileState tells whether a file has changed.
type fileState struct {
	size     int64
	modified time.Time
}

// stateOf returns the zero state for a file that cannot be read, so that it is
// tried again once it can.
func stateOf(path string) fileState {
	info, err := os.Stat(path)
	if err != nil {
		return fileState{}
	}
	return fileState{size: info.Size(), modified: info.ModTime()}
}

// untilSignal returns a context that ends with SIGTERM or SIGINT.
func untilSignal() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
}
