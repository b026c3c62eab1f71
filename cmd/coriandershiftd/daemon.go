package main

import (
	"context"
	"log/slog"
	"net/http"
	"os"
	"os/signal"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/coriandershift/coriandershift/internal/state/connid"
	"github.com/coriandershift/coriandershift/internal/state/keyset"
	"github.com/coriandershift/coriandershift/internal/state/roster"
	"github.com/coriandershift/coriandershift/internal/state/setup"
	"github.com/coriandershift/coriandershift/internal/transport/admin"
	"github.com/coriandershift/coriandershift/internal/transport/ctrl"
	"github.com/coriandershift/coriandershift/internal/transport/logbuf"
	"github.com/coriandershift/coriandershift/internal/transport/metric"
	"github.com/coriandershift/coriandershift/internal/transport/store"
)

const (
	keyReloadInterval = 5 * time.Second
	readTimeout       = 5 * time.Second
	stopWatching      = time.Second
)

// daemon holds what balancers and agents have in common.
type daemon struct {
	settings      *setup.Settings
	log           *slog.Logger
	metrics       *metric.Set
	keys          keyset.Set
	connectionIDs *connid.Codec
	store         *store.Client
	client        *admin.Client
	control       *ctrl.Plane
	healthy       atomic.Bool
}

func newDaemon(path string, self func(*setup.Settings) roster.Member) (*daemon, error) {
	settings, err := setup.Load(path)
	if err != nil {
		return nil, err
	}

	keys, err := keyset.Load(settings.KeyFile)
	if err != nil {
		return nil, err
	}

	peerTLS, err := admin.MutualTLS(settings.Peers)
	if err != nil {
		return nil, err
	}

	d := &daemon{settings: settings, log: newLogger(settings), metrics: metric.New(), keys: keys}
	d.connectionIDs = connid.New(keys)
	d.store = store.New(settings.Store, store.WithObserver(d.metrics.ObserveStoreCall))
	d.client = admin.NewClient(peerTLS)

	member := self(settings)
	member.Incarnation = uint64(time.Now().UnixMilli())
	d.control, err = ctrl.Listen(ctrl.Options{
		Self:          member,
		Keys:          keys,
		Log:           d.log,
		Metrics:       d.metrics,
		Store:         d.store,
		ConfigFetcher: d.client,
		Seeds:         settings.Seeds,
	})
	return d, err
}

func newLogger(s *setup.Settings) *slog.Logger {
	var level slog.Level
	if s.LogLevel != "" {
		_ = level.UnmarshalText([]byte(s.LogLevel)) // validated with the settings
	}
	handler := slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: level, ReplaceAttr: logbuf.ShortErrors})
	return slog.New(handler).With("name", s.Name, "domain", s.Domain)
}

// serveMetrics serves /metrics, and /healthz for the fabric, until the process ends.
func (d *daemon) serveMetrics() {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", d.metrics.Handler())
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) {
		if !d.healthy.Load() {
			http.Error(w, "takes no traffic", http.StatusServiceUnavailable)
		}
	})

	server := &http.Server{Addr: d.settings.Metrics.String(), Handler: mux, ReadHeaderTimeout: readTimeout}
	if err := server.ListenAndServe(); err != nil {
		d.log.Error("metrics are not served", "error", err)
	}
}

// reloadKeys reads the key file every keyReloadInterval until ctx ends and applies its
// connection ID keys.
func (d *daemon) reloadKeys(ctx context.Context) {
	ticker := time.NewTicker(keyReloadInterval)
	defer ticker.Stop()

	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			keys, err := keyset.Load(d.settings.KeyFile)
			if err != nil {
				d.log.Warn("key file not reloaded", "error", err)
				continue
			}
			d.connectionIDs.ReplaceKeys(keys)
		}
	}
}

// signalContext returns a context that SIGTERM or SIGINT cancels.
func signalContext() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
}

func ignoreCancelled(err error) error {
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}
