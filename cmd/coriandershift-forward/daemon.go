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

// readTimeout limits the reading of a request header. idleTimeout limits how long
// a connection may be idle; probes and heartbeats come every second.
const (
	readTimeout = 5 * time.Second
	idleTimeout = 10 * time.Second
)

// settingsPollInterval is the time between checks whether the settings file has changed
// without a signal. A reload changes only the seeds, the balancers that a process
// contacts first when it hears no other.
const settingsPollInterval = 10 * time.Second

type settingsArgs struct {
	Settings string `arg:"--settings,env:CORIANDERSHIFT_SETTINGS,required" help:"settings file, JSON with comments"`
}

// daemon holds what balancers and agents have in common.
type daemon struct {
	settings      *setup.Forward
	logs          *logbuf.Buffer
	log           *slog.Logger
	metrics       *metric.Set
	store         *platform.Store
	control       *ctrl.Plane
	reloadSignals chan os.Signal
}

func newDaemon(args settingsArgs, self func(*setup.Forward) roster.Member) (*daemon, error) {
	// A SIGHUP that arrives during the start must not end the process.
	reloadSignals := make(chan os.Signal, 1)
	signal.Notify(reloadSignals, syscall.SIGHUP)

	settings, err := setup.LoadForward(args.Settings)
	if err != nil {
		return nil, err
	}

	d := &daemon{settings: settings, logs: logbuf.New(os.Stdout), metrics: metric.New(), reloadSignals: reloadSignals}
	d.log = newLogger(settings, d.logs)
	d.store = platform.NewStore(settings.Store, platform.WithObserver(d.metrics.ObserveStoreCall))

	member := self(settings)
	member.Incarnation = uint64(time.Now().UnixMilli())
	d.control, err = ctrl.Listen(ctrl.Options{
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

// start starts what both daemons run besides forwarding: the servers for peers and for
// metrics, whose errors go to errs, and the reload of settings.
func (d *daemon) start(ctx context.Context, errs chan<- error) {
	peerMux := http.NewServeMux()
	peerMux.HandleFunc("GET "+ctrl.ConfigPath, d.control.ServeConfig)
	metricsMux := http.NewServeMux()
	metricsMux.Handle("GET /metrics", d.metrics.Handler())
	go func() { errs <- d.serve(d.settings.Listen, peerMux) }()
	go func() { errs <- d.serve(d.settings.Metrics, metricsMux) }()
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
		_ = level.UnmarshalText([]byte(s.LogLevel)) // validated with the settings
	}
	handler := slog.NewTextHandler(out, &slog.HandlerOptions{Level: level, ReplaceAttr: logbuf.ShortErrors})
	return slog.New(handler).With("name", s.Name)
}

// reload applies the settings that can change in a running process, which are the
// seeds, on SIGHUP and when the settings file has changed. All others need a restart.
func (d *daemon) reload(ctx context.Context) {
	path := balancerArgs.Settings + agentArgs.Settings // exactly one is set
	last := stateOf(path)
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-d.reloadSignals:
		case <-ticker.C:
			if stateOf(path) == last {
				continue
			}
		}
		last = stateOf(path)
		d.reloadOnce(path)
	}
}

func (d *daemon) reloadOnce(path string) {
	settings, err := setup.LoadForward(path)
	if err != nil {
		d.log.Warn("settings not reloaded", "error", err)
		return
	}
	d.control.SetSeeds(seedsOf(settings))
	d.log.Info("settings reloaded", "seeds", len(settings.Seeds))
}

// fileState is compared to detect that a file has changed.
type fileState struct {
	size     int64
	modified time.Time
}

// stateOf returns the zero value for a file that cannot be accessed, so that the file
// counts as changed once it can be.
func stateOf(path string) fileState {
	info, err := os.Stat(path)
	if err != nil {
		return fileState{}
	}
	return fileState{size: info.Size(), modified: info.ModTime()}
}

// signalContext returns a context that SIGTERM or SIGINT cancels.
func signalContext() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
}
