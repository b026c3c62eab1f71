package h3agt

import (
	"bytes"
	"context"
	"crypto/tls"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"

	"github.com/coriandershift/coriandershift/internal/coordination/claim"
	"github.com/coriandershift/coriandershift/internal/state/dedup"
)

const (
	peerIdle      = 5 * time.Second
	peerKeepAlive = time.Second
	maxClaim      = 64 << 10 // bytes
)

// errPeer reports a peer that did not answer as it should.
var errPeer = errors.New("peer agent did not answer")

// claimRequest asks a guard about an idempotency key, or tells it of its end.
type claimRequest struct {
	Key    string          `json:"key"`
	Status dedup.KeyStatus `json:"status,omitempty"`
	Answer *dedup.Answer   `json:"answer,omitempty"`
}

// claimAnswer is what a guard knew of a key before the claim.
type claimAnswer struct {
	Status dedup.KeyStatus `json:"status"`
	Answer *dedup.Answer   `json:"answer,omitempty"`
}

// peerClient speaks to the other agents of the service.
type peerClient struct {
	transport *http3.Transport
}

func newPeerClient(tlsConfig *tls.Config) *peerClient {
	return &peerClient{transport: &http3.Transport{
		TLSClientConfig: tlsConfig,
		QUICConfig:      &quic.Config{MaxIdleTimeout: peerIdle, KeepAlivePeriod: peerKeepAlive, HandshakeIdleTimeout: claim.AskTimeout},
	}}
}

// claim asks a guard for a key. It returns errPeer if the guard does not answer in time.
func (c *peerClient) claim(ctx context.Context, guard netip.AddrPort, key string) (claimAnswer, error) {
	var answer claimAnswer
	err := c.ask(ctx, guard, pathClaim, claimRequest{Key: key}, &answer)
	return answer, err
}

// settle tells a guard how the request with a key ended. dedup.NotSeen gives the key back.
func (c *peerClient) settle(ctx context.Context, guard netip.AddrPort, request claimRequest) error {
	return c.ask(ctx, guard, pathSettle, request, &claimAnswer{})
}

func (c *peerClient) ask(ctx context.Context, peer netip.AddrPort, path string, request claimRequest, into *claimAnswer) error {
	ctx, cancel := context.WithTimeout(ctx, claim.AskTimeout)
	defer cancel()

	body, err := json.Marshal(request)
	if err != nil {
		return errors.Wrap(err, "encode claim")
	}
	call, err := http.NewRequestWithContext(ctx, http.MethodPost, "https://"+peer.String()+path, bytes.NewReader(body))
	if err != nil {
		return errors.Wrapf(err, "ask %s", peer)
	}

	response, err := c.transport.RoundTrip(call)
	if err != nil {
		c.transport.CloseIdleConnections()
		return errors.WithMessagef(errPeer, "%s: %v", peer, err)
	}
	defer response.Body.Close()

	data, err := io.ReadAll(io.LimitReader(response.Body, maxClaim))
	if err != nil || response.StatusCode != http.StatusOK {
		return errors.WithMessagef(errPeer, "%s: status %d, %v", peer, response.StatusCode, err)
	}
	return errors.Wrapf(json.Unmarshal(data, into), "decode answer of %s", peer)
}

// pass sends a request that has not started to a peer. The peer says with the
// outcome header if it did not run it.
func (c *peerClient) pass(ctx context.Context, peer netip.AddrPort, x *exchange) (*http.Response, error) {
	url := "https://" + peer.String() + pathPass + x.r.URL.RequestURI()
	call, err := http.NewRequestWithContext(ctx, x.r.Method, url, nil)
	if err != nil {
		return nil, errors.Wrapf(err, "pass to %s", peer)
	}

	call.Header = x.r.Header.Clone()
	call.Header.Set(headerTimeout, strconv.FormatInt(time.Until(x.deadline).Milliseconds(), 10))
	if len(x.body) > 0 {
		// No GetBody: the transport must not send it a second time by itself.
		call.Body = io.NopCloser(bytes.NewReader(x.body))
		call.ContentLength = int64(len(x.body))
	}

	response, err := c.transport.RoundTrip(call)
	return response, errors.Wrapf(err, "pass to %s", peer)
}
