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
	// ConfigPath is the HTTP path at which ServeConfig is to be mounted.
	ConfigPath = "/config"

	// afterParam is the query parameter for the revision after which changes are requested.
	afterParam = "after"

	// maxConfigSize is the largest size in bytes of a fetched configuration. The store
	// holds values of up to a megabyte.
	maxConfigSize = 8 << 20

	// dialTimeout limits the time for establishing a connection to a peer.
	dialTimeout = 2 * time.Second
)

// ErrNoConfig reports that a peer has no configuration yet, or answered with another
// status than expected.
var ErrNoConfig = errors.New("peer has no configuration")

// errNotModified reports that a peer has the same configuration.
var errNotModified = errors.New("peer has the same configuration")

// HTTPFetcher is a ConfigFetcher over plain HTTP/1.1. It is meant for a network between
// the VMs that nobody else can reach, where a TLS handshake would cost more processor
// time than everything else.
type HTTPFetcher struct {
	client *http.Client
}

func NewHTTPFetcher() *HTTPFetcher {
	dialer := net.Dialer{Timeout: dialTimeout}
	return &HTTPFetcher{client: &http.Client{
		Timeout:   fetchTimeout,
		Transport: &http.Transport{DialContext: dialer.DialContext, DisableKeepAlives: true},
	}}
}

// Fetch returns the peer's configuration. If known has a revision, Fetch requests only
// the changes since then, and the whole configuration if the peer no longer has them or
// they cannot be applied to known.
func (f *HTTPFetcher) Fetch(ctx context.Context, admin netip.AddrPort, known *config.Config) (*config.Config, error) {
	if known != nil && known.Revision > 0 {
		var delta config.Delta
		found, err := f.get(ctx, admin, known.Revision, &delta)
		if errors.Is(err, errNotModified) {
			return known, nil
		}
		if err != nil {
			return nil, err
		}
		if found {
			cfg, err := known.Patch(delta)
			if !errors.Is(err, config.ErrRevisionGap) && !errors.Is(err, config.ErrInvalid) {
				return cfg, err
			}
		}
	}
	cfg := &config.Config{}
	_, err := f.get(ctx, admin, 0, cfg)
	return cfg, err
}

// get fetches the changes after a revision into body, or the whole configuration if
// after is 0. It reports whether it got changes; if the peer does not have them, body
// is unchanged.
func (f *HTTPFetcher) get(ctx context.Context, admin netip.AddrPort, after uint64, body any) (bool, error) {
	url := "http://" + admin.String() + ConfigPath
	if after > 0 {
		url += "?" + afterParam + "=" + strconv.FormatUint(after, 10)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return false, errors.Wrapf(err, "fetch configuration from %s", admin)
	}
	response, err := f.client.Do(request)
	if err != nil {
		return false, errors.Wrapf(err, "fetch configuration from %s", admin)
	}
	defer response.Body.Close()
	switch {
	case response.StatusCode == http.StatusNoContent && after > 0:
		return false, nil
	case response.StatusCode == http.StatusNotModified && after > 0:
		return false, errNotModified
	case response.StatusCode != http.StatusOK:
		return false, errors.WithMessagef(ErrNoConfig, "%s answered %s", admin, response.Status)
	}

	data, err := io.ReadAll(io.LimitReader(response.Body, maxConfigSize))
	if err != nil {
		return false, errors.Wrapf(err, "read configuration of %s", admin)
	}
	return after > 0, errors.Wrapf(cbor.Unmarshal(data, body), "decode configuration of %s", admin)
}

// ServeConfig answers a peer's request for the configuration in force. If the request
// names a revision, the answer holds the changes since then. It has status 304 if there are
// none, and 204 if they are no longer in the history.
func (p *Plane) ServeConfig(w http.ResponseWriter, r *http.Request) {
	cfg := p.Config()
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
		if after == cfg.Revision {
			w.WriteHeader(http.StatusNotModified)
			return
		}
		delta, known := p.DeltaSince(after)
		if !known {
			w.WriteHeader(http.StatusNoContent)
			return
		}
		content = &delta
	}
	body, err := cbor.Marshal(content)
	if err != nil {
		p.log.Error("cannot encode configuration", "error", err)
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	if _, err := io.Copy(w, bytes.NewReader(body)); err != nil {
		p.log.Debug("cannot send configuration", "peer", r.RemoteAddr, "error", err)
	}
}
