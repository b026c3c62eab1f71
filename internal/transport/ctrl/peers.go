package ctrl

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/coriandershift/coriandershift/internal/state/config"
)

const (
	// ConfigPath is where a process hands out its configuration.
	ConfigPath = "/config"

	// afterParam names the revision after which changes are asked for.
	afterParam = "after"

	// maxConfig bounds a configuration in bytes; the store holds values up to a megabyte.
	maxConfig = 8 << 20

	// silentPeer is after how long without an acknowledgement a connection is given up.
	silentPeer = 2 * time.Second
)

// ErrNoConfig reports a peer that has no configuration yet.
var ErrNoConfig = errors.New("peer has no configuration")

// HTTPFetcher is a ConfigFetcher over HTTP/1.1 for links between VMs that nobody else can
// reach, where a TLS handshake would cost more processor time than all else.
type HTTPFetcher struct {
	client *http.Client
}

// NewHTTPFetcher returns an HTTPFetcher.
func NewHTTPFetcher() *HTTPFetcher {
	dialer := net.Dialer{Timeout: silentPeer}
	return &HTTPFetcher{client: &http.Client{
		Timeout:   fetchTimeout,
		Transport: &http.Transport{DialContext: dialer.DialContext, DisableKeepAlives: true},
	}}
}

// Fetch returns the peer's configuration. Of a known one only the changes are
// fetched, if the peer has them.
func (p *HTTPFetcher) Fetch(ctx context.Context, admin netip.AddrPort, known *config.Config) (*config.Config, error) {
	if known != nil && known.Revision > 0 {
		var delta config.Delta
		found, err := p.get(ctx, admin, known.Revision, &delta)
		if err != nil {
			return nil, err
		}
		if found {
			cfg, err := known.Patch(delta)
			if !errors.Is(err, config.ErrRevisionGap) && !errors.Is(err, config.ErrInvalid) {
				return cfg, err
			} // the whole one is right where changes do not fit
		}
	}
	cfg := &config.Config{}
	_, err := p.get(ctx, admin, 0, cfg)
	return cfg, err
}

// get asks for the changes after a revision, or for the whole configuration if
// that is 0. It reports whether it got changes; without them body is unchanged.
func (p *HTTPFetcher) get(ctx context.Context, admin netip.AddrPort, after uint64, body any) (bool, error) {
	url := "http://" + admin.String() + ConfigPath
	if after > 0 {
		url += "?" + afterParam + "=" + strconv.FormatUint(after, 10)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return false, errors.Wrapf(err, "fetch configuration from %s", admin)
	}
	answer, err := p.client.Do(request)
	if err != nil {
		return false, errors.Wrapf(err, "fetch configuration from %s", admin)
	}
	defer answer.Body.Close()
	switch {
	case answer.StatusCode == http.StatusNoContent && after > 0:
		return false, nil
	case answer.StatusCode != http.StatusOK:
		return false, errors.WithMessagef(ErrNoConfig, "%s answered %s", admin, answer.Status)
	}

	data, err := io.ReadAll(io.LimitReader(answer.Body, maxConfig))
	if err != nil {
		return false, errors.Wrapf(err, "read configuration of %s", admin)
	}
	return after > 0, errors.Wrapf(cbor.Unmarshal(data, body), "decode configuration of %s", admin)
}

// ServeConfig hands the configuration in force to a peer, or the changes since a
// revision that it names; no content if these are not known any more.
func (l *Plane) ServeConfig(w http.ResponseWriter, r *http.Request) {
	cfg := l.Config()
	if cfg.Revision == 0 {
		http.Error(w, ErrNoConfig.Error(), http.StatusServiceUnavailable)
		return
	}

	var content any = cfg
	if text := r.URL.Query().Get(afterParam); text != "" {
		after, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			http.Error(w, afterParam+" must be a revision", http.StatusBadRequest)
			return
		}
		delta, known := l.DeltaSince(after)
		if !known {
			w.WriteHeader(http.StatusNoContent)
			return
		}
		content = &delta
	}
	body, err := cbor.Marshal(content)
	if err != nil {
		l.log.Error("configuration not encoded", "error", err)
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	if _, err := io.Copy(w, bytes.NewReader(body)); err != nil {
		l.log.Debug("configuration not sent", "peer", r.RemoteAddr, "error", err)
	}
}
