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
	dialTimeout    = time.Second
	idleConns      = 64
	idleConnMaxAge = 10 * time.Second

	// headerTimeout tells the upstream how long its answer is of use, in milliseconds.
	headerTimeout = "Request-Timeout-Ms"

	// headerInstance is what an upstream may name its start by; a change of it is a restart mark.
	headerInstance = "Upstream-Instance"
)

// liveness ends a connection that has gone silent for good, such as that of a
// feed whose path has lost track of it, within five seconds.
var liveness = net.KeepAliveConfig{Enable: true, Idle: 2 * time.Second, Interval: time.Second, Count: 3}

// hopHeaders concern one connection only (RFC 9110, section 7.6.1).
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// upstream calls the one upstream of the agent over HTTP/1.1.
type upstream struct {
	address  netip.AddrPort
	pooled   *http.Transport
	single   *http.Transport
	instance atomic.Pointer[string]
}

// attempt is one call to the upstream.
type attempt struct {
	response *http.Response

	// reached says that the upstream may have seen some of the request.
	reached bool

	// cold says that the upstream showed a sign of a restart.
	cold bool

	err error
}

func newUpstream(address netip.AddrPort) *upstream {
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAliveConfig: liveness}
	pooled := &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: idleConns,
		IdleConnTimeout:     idleConnMaxAge,
		DisableCompression:  true,
	}

	// A request that must not run twice gets a connection of its own: net/http
	// sends some requests again when a reused connection fails.
	single := pooled.Clone()
	single.DisableKeepAlives = true
	return &upstream{address: address, pooled: pooled, single: single}
}

// call sends a request once. The context bounds the whole answer.
func (u *upstream) call(ctx context.Context, r *http.Request, timeLeft time.Duration) attempt {
	var a attempt
	var reached atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { reached.Store(true) },
	})

	response, err := u.transport(r.Method).RoundTrip(u.request(ctx, r, timeLeft))
	a.reached = reached.Load()
	if err != nil {
		a.err = errors.Wrapf(err, "call upstream %s", u.address)
		a.cold = isColdError(err)
		return a
	}

	a.response = response
	a.cold = response.StatusCode == http.StatusServiceUnavailable || u.restarted(response)
	return a
}

func (u *upstream) transport(method string) *http.Transport {
	if safeMethod(method) {
		return u.pooled
	}
	return u.single
}

func (u *upstream) request(ctx context.Context, r *http.Request, timeLeft time.Duration) *http.Request {
	out := r.Clone(ctx)
	out.URL.Scheme = "http"
	out.URL.Host = u.address.String()
	out.RequestURI = ""
	out.Close = false
	for _, name := range hopHeaders {
		out.Header.Del(name)
	}
	out.Header.Set(headerTimeout, strconv.FormatInt(timeLeft.Milliseconds(), 10))
	if r.ContentLength == 0 || (safeMethod(r.Method) && r.ContentLength < 0) {
		out.Body = nil
		out.ContentLength = 0
	}
	return out
}

// restarted reports whether the upstream names another instance than before.
func (u *upstream) restarted(response *http.Response) bool {
	name := response.Header.Get(headerInstance)
	if name == "" {
		return false
	}
	before := u.instance.Swap(&name)
	return before != nil && *before != name
}

func safeMethod(method string) bool {
	return method == http.MethodGet || method == http.MethodHead || method == http.MethodOptions
}

func isColdError(err error) bool {
	return errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET)
}
