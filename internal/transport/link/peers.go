package link

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/coriandershift/coriandershift/internal/state/config"
)

const (
	// ConfigPath is where a process hands out its configuration.
	ConfigPath = "/config"

	// maxConfig bounds a configuration in bytes; the store holds values up to a megabyte.
	maxConfig = 8 << 20

	// silentPeer is after how long without an acknowledgement a connection is given up.
	silentPeer = 2 * time.Second
)

// ErrNoConfig reports a peer that has no configuration yet.
var ErrNoConfig = errors.New("peer has no configuration")

// Plain is a Fetcher over HTTP/1.1 for links between VMs that nobody else can
// reach, where a TLS handshake would cost more processor time than all else.
type Plain struct {
	client *http.Client
}

// NewPlain returns a Plain.
func NewPlain() *Plain {
	dialer := net.Dialer{Timeout: silentPeer}
	return &Plain{client: &http.Client{
		Timeout:   fetchTimeout,
		Transport: &http.Transport{DialContext: dialer.DialContext, DisableKeepAlives: true},
	}}
}

// Newer returns the peer's configuration.
func (p *Plain) Newer(ctx context.Context, admin netip.AddrPort, _ *config.Config) (*config.Config, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+admin.String()+ConfigPath, nil)
	if err != nil {
		return nil, errors.Wrapf(err, "fetch configuration from %s", admin)
	}
	answer, err := p.client.Do(request)
	if err != nil {
		return nil, errors.Wrapf(err, "fetch configuration from %s", admin)
	}
	defer answer.Body.Close()
	if answer.StatusCode != http.StatusOK {
		return nil, errors.WithMessagef(ErrNoConfig, "%s answered %s", admin, answer.Status)
	}

	body, err := io.ReadAll(io.LimitReader(answer.Body, maxConfig))
	if err != nil {
		return nil, errors.Wrapf(err, "read configuration of %s", admin)
	}
	cfg := &config.Config{}
	return cfg, errors.Wrapf(cbor.Unmarshal(body, cfg), "decode configuration of %s", admin)
}

// ServeConfig hands the configuration in force to a peer.
func (l *Link) ServeConfig(w http.ResponseWriter, r *http.Request) {
	cfg := l.Config()
	if cfg.Revision == 0 {
		http.Error(w, ErrNoConfig.Error(), http.StatusServiceUnavailable)
		return
	}

	body, err := cbor.Marshal(cfg)
	if err != nil {
		l.log.Error("configuration not encoded", "error", err)
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	if _, err := io.Copy(w, bytes.NewReader(body)); err != nil {
		l.log.Debug("configuration not sent", "peer", r.RemoteAddr, "error", err)
	}
}
