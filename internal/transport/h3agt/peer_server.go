package h3agt

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"

	"github.com/coriandershift/coriandershift/internal/state/dedup"
	"github.com/coriandershift/coriandershift/internal/state/keyset"
	"github.com/coriandershift/coriandershift/internal/transport/relay"
)

const (
	pathClaim  = "/v1/claim"
	pathSettle = "/v1/settle"
	pathPass   = "/v1/pass"
)

// peerServer answers claims and passed-on requests of the other agents of the service.
type peerServer struct {
	handler *handler
}

// serve answers peers at an address until the context ends. It returns an error
// if it cannot listen there or stops before.
func (s *peerServer) serve(ctx context.Context, address netip.AddrPort, tlsConfig *tls.Config, keys keyset.Set) error {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return errors.Wrapf(err, "listen on %s", address)
	}
	defer conn.Close()

	transport := &quic.Transport{Conn: conn, StatelessResetKey: (*quic.StatelessResetKey)(relay.StatelessResetKey(keys))}
	defer transport.Close()
	listener, err := transport.ListenEarly(http3.ConfigureTLSConfig(tlsConfig), &quic.Config{MaxIdleTimeout: peerIdleTimeout, MaxIncomingStreams: 1000})
	if err != nil {
		return errors.Wrapf(err, "listen on %s", address)
	}

	server := &http3.Server{Handler: s.mux()}
	go func() {
		<-ctx.Done()
		server.Close()
	}()
	err = server.ServeListener(listener)
	if ctx.Err() != nil {
		return nil
	}
	return errors.Wrap(err, "serve peers")
}

func (s *peerServer) mux() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+pathClaim, s.claim)
	mux.HandleFunc("POST "+pathSettle, s.settle)
	mux.Handle(pathPass+"/", http.HandlerFunc(s.pass))
	return mux
}

func (s *peerServer) claim(w http.ResponseWriter, r *http.Request) {
	request, ok := readClaim(w, r)
	if !ok {
		return
	}
	status, answer := s.handler.keys.begin(time.Now(), request.Key)
	writeClaim(w, claimAnswer{Status: status, Answer: answer})
}

func (s *peerServer) settle(w http.ResponseWriter, r *http.Request) {
	request, ok := readClaim(w, r)
	if !ok {
		return
	}
	s.handler.keys.settle(time.Now(), request.Key, request.Status, request.Answer)
	writeClaim(w, claimAnswer{Status: dedup.NotSeen})
}

// pass serves a request that a peer has passed on, at its path without pathPass.
func (s *peerServer) pass(w http.ResponseWriter, r *http.Request) {
	r.URL.Path = strings.TrimPrefix(r.URL.Path, pathPass)
	r.URL.RawPath = strings.TrimPrefix(r.URL.RawPath, pathPass)
	s.handler.servePassed(w, r)
}

// readClaim returns the claim in the request's body, or answers a malformed one
// and returns false.
func readClaim(w http.ResponseWriter, r *http.Request) (claimRequest, bool) {
	var request claimRequest
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxClaimBody)).Decode(&request)
	if err != nil || request.Key == "" || len(request.Key) > maxKeyLength {
		http.Error(w, "malformed claim", http.StatusBadRequest)
		return claimRequest{}, false
	}
	return request, true
}

func writeClaim(w http.ResponseWriter, answer claimAnswer) {
	_ = json.NewEncoder(w).Encode(answer) // after an error, the peer notices the truncated answer
}
