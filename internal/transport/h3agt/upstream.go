package h3agt

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"strconv"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

const (
	dialTimeout = time.Second

	// headerTimeout says for how many milliseconds the sender still waits for the answer.
	headerTimeout = "Request-Timeout-Ms"

	// headerInstance may identify the running instance of the upstream in its
	// answers; a new value means that the upstream has restarted.
	headerInstance = "Upstream-Instance"
)

// upstreamKeepAlive ends a dead connection to the upstream within five seconds,
// such as that of a feed after a device on the path has lost the connection's state.
var upstreamKeepAlive = net.KeepAliveConfig{Enable: true, Idle: 2 * time.Second, Interval: time.Second, Count: 3}

// hopHeaders are the headers that apply to one connection only and are not
// forwarded (RFC 9110, section 7.6.1).
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// upstream calls the one upstream of the agent over HTTP/1.1.
type upstream struct {
	address   netip.AddrPort
	transport *http.Transport
	instance  atomic.Pointer[string] // latest headerInstance; nil before the first
}

// attempt is the result of one call to the upstream.
type attempt struct {
	response *http.Response

	// mayHaveReached says that the upstream may have received some of the request.
	mayHaveReached bool

	// cold says that the call showed a sign of an upstream that has restarted: it
	// refused or reset the connection, answered 503 or named a new instance.
	cold bool

	err error
}

// newUpstream returns an upstream that opens a connection for each request. On a reused
// one, a second copy of an earlier answer would be taken for the answer to the next
// request, and net/http sends some requests again when it fails.
func newUpstream(address netip.AddrPort) *upstream {
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAliveConfig: upstreamKeepAlive}
	transport := &http.Transport{DialContext: dialer.DialContext, DisableKeepAlives: true, DisableCompression: true}
	return &upstream{address: address, transport: transport}
}

// call sends a request with its remaining time. The context covers the call and
// the body of the answer. A request with an unsafe method is sent at most once.
func (u *upstream) call(ctx context.Context, r *http.Request, remaining time.Duration) attempt {
	var a attempt
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})

	response, err := u.transport.RoundTrip(u.newRequest(ctx, r, remaining))
	a.mayHaveReached = connected.Load()
	if err != nil {
		a.err = errors.Wrapf(err, "call upstream %s", u.address)
		a.cold = isRestartError(err)
		return a
	}

	a.response = response
	a.cold = response.StatusCode == http.StatusServiceUnavailable || u.instanceChanged(response)
	return a
}

// newRequest returns a copy of a caller's request for the upstream.
func (u *upstream) newRequest(ctx context.Context, r *http.Request, remaining time.Duration) *http.Request {
	out := r.Clone(ctx)
	out.URL.Scheme = "http"
	out.URL.Host = u.address.String()
	out.RequestURI = ""
	out.Close = false
	for _, name := range hopHeaders {
		out.Header.Del(name)
	}
	out.Header.Set(headerTimeout, strconv.FormatInt(remaining.Milliseconds(), 10))
	if r.ContentLength == 0 || (isSafeMethod(r.Method) && r.ContentLength < 0) {
		out.Body = nil
		out.ContentLength = 0
	}
	return out
}

// instanceChanged records the instance that the upstream names, if any, and
// reports whether it differs from the one before.
func (u *upstream) instanceChanged(response *http.Response) bool {
	name := response.Header.Get(headerInstance)
	if name == "" {
		return false
	}
	previous := u.instance.Swap(&name)
	return previous != nil && *previous != name
}

func isSafeMethod(method string) bool {
	return method == http.MethodGet || method == http.MethodHead || method == http.MethodOptions
}

// isRestartError reports whether an error is typical of an upstream that restarts.
func isRestartError(err error) bool {
	return errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET)
}
