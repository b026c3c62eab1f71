package admin

import (
	"bytes"
	"context"
	"crypto/tls"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"

	"github.com/coriandershift/coriandershift/internal/state/config"
)

const (
	maxResponse = 64 << 20 // bytes
	idleTimeout = 5 * time.Second

	// getTimeout bounds each attempt of a read-only call.
	getTimeout = time.Second
)

// ErrFailed reports a call that a balancer could not complete.
var ErrFailed = errors.New("call failed")

type committed struct {
	Revision uint64 `json:"revision"`
}

// Client calls the admin service of balancers. It is safe for concurrent use.
type Client struct {
	transport *http3.Transport
	http      *http.Client
}

// NewClient returns a Client that authenticates itself and the balancers by mutual TLS.
func NewClient(tlsConfig *tls.Config) *Client {
	transport := &http3.Transport{
		TLSClientConfig: tlsConfig,
		QUICConfig:      &quic.Config{MaxIdleTimeout: idleTimeout},
	}
	return &Client{transport: transport, http: &http.Client{Transport: transport}}
}

// Close closes the client's connections.
func (c *Client) Close() error {
	return c.transport.Close()
}

// Config returns the configuration in force at a balancer.
func (c *Client) Config(ctx context.Context, admin netip.AddrPort) (*config.Config, error) {
	var u update
	if err := c.get(ctx, admin, pathConfig, &u); err != nil {
		return nil, err
	}
	if u.Whole == nil {
		return nil, errors.WithMessagef(ErrFailed, "%s sent no configuration", admin)
	}
	return u.Whole, u.Whole.Validate()
}

// Fetch returns the configuration in force at a balancer. The balancer may send
// only the delta from the known configuration.
func (c *Client) Fetch(ctx context.Context, admin netip.AddrPort, known *config.Config) (*config.Config, error) {
	var u update
	if err := c.get(ctx, admin, pathConfig+"?after="+strconv.FormatUint(known.Revision, 10), &u); err != nil {
		return nil, err
	}
	switch {
	case u.Delta != nil:
		return known.Patch(*u.Delta)
	case u.Whole != nil:
		return u.Whole, u.Whole.Validate()
	}
	return nil, errors.WithMessagef(ErrFailed, "%s sent no configuration", admin)
}

// Change has a balancer commit a change and returns the revision in which the
// change took effect. It returns the sentinel errors of commit.Committer.
func (c *Client) Change(ctx context.Context, admin netip.AddrPort, change config.Change) (uint64, error) {
	body, err := json.Marshal(change)
	if err != nil {
		return 0, errors.Wrap(err, "encode change")
	}

	var result committed
	err = c.call(ctx, http.MethodPost, admin, pathChange, body, &result)
	return result.Revision, err
}

// Members returns all members that a balancer knows, each with the revision in force
// at it.
func (c *Client) Members(ctx context.Context, admin netip.AddrPort) ([]MemberStatus, error) {
	var members []MemberStatus
	err := c.get(ctx, admin, pathMembers, &members)
	return members, err
}

// AppliedRevisions returns the revision in force at each member that reports to a balancer.
func (c *Client) AppliedRevisions(ctx context.Context, admin netip.AddrPort) (map[netip.AddrPort]uint64, error) {
	var applied map[netip.AddrPort]uint64
	err := c.get(ctx, admin, pathApplied, &applied)
	return applied, err
}

// get retries once on a new connection: an idle connection may belong to a
// process that has ended, which is noticed only by a timeout.
func (c *Client) get(ctx context.Context, admin netip.AddrPort, path string, result any) error {
	err := c.getOnce(ctx, admin, path, result)
	if err == nil || errors.Is(err, ErrFailed) || ctx.Err() != nil {
		return err
	}
	return c.getOnce(ctx, admin, path, result)
}

func (c *Client) getOnce(ctx context.Context, admin netip.AddrPort, path string, result any) error {
	ctx, cancel := context.WithTimeout(ctx, getTimeout)
	defer cancel()
	return c.call(ctx, http.MethodGet, admin, path, nil, result)
}

func (c *Client) call(ctx context.Context, method string, admin netip.AddrPort, path string, body []byte, result any) error {
	request, err := http.NewRequestWithContext(ctx, method, "https://"+admin.String()+path, bytes.NewReader(body))
	if err != nil {
		return errors.Wrapf(err, "call %s", admin)
	}

	response, err := c.http.Do(request)
	if err != nil {
		c.transport.CloseIdleConnections()
		return errors.Wrapf(err, "call %s", admin)
	}
	defer response.Body.Close()

	data, err := io.ReadAll(io.LimitReader(response.Body, maxResponse))
	if err != nil {
		c.transport.CloseIdleConnections()
		return errors.Wrapf(err, "read response of %s", admin)
	}
	if response.StatusCode != http.StatusOK {
		return decodeError(data)
	}
	return errors.Wrapf(json.Unmarshal(data, result), "decode response of %s", admin)
}

func decodeError(data []byte) error {
	var p problem
	if err := json.Unmarshal(data, &p); err != nil {
		return errors.WithMessage(ErrFailed, "cannot decode the error response")
	}

	for _, k := range errorKinds {
		if k.name == p.Kind {
			return errors.WithMessage(k.err, strings.TrimSuffix(p.Error, ": "+k.err.Error()))
		}
	}
	return errors.WithMessage(ErrFailed, p.Error)
}
