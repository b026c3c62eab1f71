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
	peerIdleTimeout       = 5 * time.Second
	peerKeepAliveInterval = time.Second
	maxClaimBody          = 64 << 10 // bytes, of a claim's request or answer
)

// errPeer reports a peer that did not answer with status 200 in time.
var errPeer = errors.New("peer agent did not answer")

// claimRequest claims an idempotency key at a guard (pathClaim), or reports how
// its request ended (pathSettle, with Status and Answer).
type claimRequest struct {
	Key    string          `json:"key"`
	Status dedup.KeyStatus `json:"status,omitempty"`
	Answer *dedup.Answer   `json:"answer,omitempty"`
}

// claimAnswer is a guard's state of a key before the claim.
type claimAnswer struct {
	Status dedup.KeyStatus `json:"status"`
	Answer *dedup.Answer   `json:"answer,omitempty"`
}

// peerClient calls the other agents of the service over HTTP/3.
type peerClient struct {
	transport *http3.Transport
}

func newPeerClient(tlsConfig *tls.Config) *peerClient {
	return &peerClient{transport: &http3.Transport{
		TLSClientConfig: tlsConfig,
		QUICConfig:      &quic.Config{MaxIdleTimeout: peerIdleTimeout, KeepAlivePeriod: peerKeepAliveInterval, HandshakeIdleTimeout: claim.AskTimeout},
	}}
}

// claim claims a key at a guard. It returns errPeer if the guard does not answer
// within claim.AskTimeout.
func (c *peerClient) claim(ctx context.Context, guard netip.AddrPort, key string) (claimAnswer, error) {
	var answer claimAnswer
	err := c.ask(ctx, guard, pathClaim, claimRequest{Key: key}, &answer)
	return answer, err
}

// settle reports to a guard how the request with a key ended; dedup.NotSeen
// releases the key. It returns errPeer as claim does.
func (c *peerClient) settle(ctx context.Context, guard netip.AddrPort, request claimRequest) error {
	return c.ask(ctx, guard, pathSettle, request, &claimAnswer{})
}

func (c *peerClient) ask(ctx context.Context, peer netip.AddrPort, path string, request claimRequest, answer *claimAnswer) error {
	ctx, cancel := context.WithTimeout(ctx, claim.AskTimeout)
	defer cancel()

	body, err := json.Marshal(request)
	if err != nil {
		return errors.Wrap(err, "encode claim")
	}
	httpRequest, err := http.NewRequestWithContext(ctx, http.MethodPost, "https://"+peer.String()+path, bytes.NewReader(body))
	if err != nil {
		return errors.Wrapf(err, "ask %s", peer)
	}

	response, err := c.transport.RoundTrip(httpRequest)
	if err != nil {
		c.transport.CloseIdleConnections()
		return errors.WithMessagef(errPeer, "%s: %v", peer, err)
	}
	defer response.Body.Close()

	data, err := io.ReadAll(io.LimitReader(response.Body, maxClaimBody))
	if err != nil || response.StatusCode != http.StatusOK {
		return errors.WithMessagef(errPeer, "%s: status %d, %v", peer, response.StatusCode, err)
	}
	return errors.Wrapf(json.Unmarshal(data, answer), "decode answer of %s", peer)
}

// passOn sends a peer a request that has not started. If the peer does not run
// it, headerOutcome of the response is outcomeNotRun. An error means that the
// request may have run.
func (c *peerClient) passOn(ctx context.Context, peer netip.AddrPort, x *exchange) (*http.Response, error) {
	url := "https://" + peer.String() + pathPass + x.request.URL.RequestURI()
	httpRequest, err := http.NewRequestWithContext(ctx, x.request.Method, url, nil)
	if err != nil {
		return nil, errors.Wrapf(err, "pass to %s", peer)
	}

	httpRequest.Header = x.request.Header.Clone()
	httpRequest.Header.Set(headerTimeout, strconv.FormatInt(time.Until(x.deadline).Milliseconds(), 10))
	if len(x.body) > 0 {
		// GetBody is not set, so that the HTTP transport cannot send the body a second time.
		httpRequest.Body = io.NopCloser(bytes.NewReader(x.body))
		httpRequest.ContentLength = int64(len(x.body))
	}

	response, err := c.transport.RoundTrip(httpRequest)
	return response, errors.Wrapf(err, "pass to %s", peer)
}
