// Package admin is the HTTP/3 service with mutual TLS that balancers offer to
// operators and to other members.
package admin

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"os"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/quic-go/quic-go/http3"
	"golang.org/x/sync/errgroup"

	"github.com/coriandershift/coriandershift/internal/coordination/commit"
	"github.com/coriandershift/coriandershift/internal/state/config"
	"github.com/coriandershift/coriandershift/internal/state/roster"
	"github.com/coriandershift/coriandershift/internal/state/setup"
	"github.com/coriandershift/coriandershift/internal/transport/ctrl"
)

const (
	pathConfig  = "/v1/config"
	pathChange  = "/v1/change"
	pathMembers = "/v1/members"
	pathApplied = "/v1/applied"

	maxChange     = 1 << 20 // bytes
	changeTimeout = 10 * time.Second
	maxCalls      = 32 // concurrent calls to other balancers
)

// MemberStatus describes one member and the configuration revision in force there.
type MemberStatus struct {
	Name     string         `json:"name"`
	Role     string         `json:"role"`
	Domain   string         `json:"domain"`
	Service  string         `json:"service,omitempty"`
	Address  netip.AddrPort `json:"address"`
	State    string         `json:"state"`
	Weight   uint8          `json:"weight"`
	Revision uint64         `json:"revision,omitempty"` // 0 if unknown
}

// update is the response to a request for the configuration. One field is set.
type update struct {
	Whole *config.Config `json:"whole,omitempty"`
	Delta *config.Delta  `json:"delta,omitempty"`
}

// problem is the body of an error response.
type problem struct {
	Error string `json:"error"`

	// Kind names the sentinel error: invalid, refused, stale, undecided or failed.
	Kind string `json:"kind"`
}

// Server answers operators and peers.
type Server struct {
	log       *slog.Logger
	control   *ctrl.Plane
	committer *commit.Committer
	client    *Client
}

// NewServer returns a Server. It uses the client to query the other balancers.
func NewServer(log *slog.Logger, control *ctrl.Plane, committer *commit.Committer, client *Client) *Server {
	return &Server{log: log, control: control, committer: committer, client: client}
}

// Serve answers calls at an address until the context ends.
func (s *Server) Serve(ctx context.Context, address netip.AddrPort, tlsConfig *tls.Config) error {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return errors.Wrapf(err, "listen on %s", address)
	}
	defer conn.Close()

	server := &http3.Server{TLSConfig: http3.ConfigureTLSConfig(tlsConfig), Handler: s.mux()}
	go func() {
		<-ctx.Done()
		server.Close()
	}()

	err = server.Serve(conn)
	if ctx.Err() != nil {
		return nil
	}
	return errors.Wrap(err, "serve admin API")
}

// MutualTLS loads the files that c names into a configuration for both ends of a
// mutual TLS connection.
func MutualTLS(c setup.Certificate) (*tls.Config, error) {
	pair, err := tls.LoadX509KeyPair(c.CertFile, c.KeyFile)
	if err != nil {
		return nil, errors.Wrapf(err, "load certificate %q", c.CertFile)
	}

	authority, err := os.ReadFile(c.AuthorityFile)
	if err != nil {
		return nil, errors.Wrap(err, "load authority")
	}

	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(authority) {
		return nil, errors.Errorf("authority file %q holds no certificate", c.AuthorityFile)
	}
	return &tls.Config{
		Certificates: []tls.Certificate{pair},
		RootCAs:      pool,
		ClientCAs:    pool,
		ClientAuth:   tls.RequireAndVerifyClientCert,
		MinVersion:   tls.VersionTLS13,
		ServerName:   PeerName,
	}, nil
}

// PeerName is the DNS name in the certificates that the system's processes use
// among themselves.
const PeerName = "peer.coriandershift"

func (s *Server) mux() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+pathConfig, s.getConfig)
	mux.HandleFunc("POST "+pathChange, s.postChange)
	mux.HandleFunc("GET "+pathMembers, s.getMembers)
	mux.HandleFunc("GET "+pathApplied, s.getApplied)
	return mux
}

// getConfig returns the delta from the caller's revision if this balancer still has
// it, or else the whole configuration.
func (s *Server) getConfig(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err == nil {
		if delta, known := s.control.DeltaSince(after); known {
			writeJSON(w, http.StatusOK, update{Delta: &delta})
			return
		}
	}
	writeJSON(w, http.StatusOK, update{Whole: s.control.Config()})
}

func (s *Server) postChange(w http.ResponseWriter, r *http.Request) {
	var change config.Change
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxChange))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&change); err != nil {
		writeError(w, errors.WithMessage(config.ErrInvalid, err.Error()))
		return
	}

	ctx, cancel := context.WithTimeout(r.Context(), changeTimeout)
	defer cancel()

	revision, err := s.committer.Commit(ctx, change)
	s.log.Info("change", "id", change.ID, "operations", len(change.Operations), "revision", revision, "error", err)
	if err != nil {
		writeError(w, err)
		return
	}

	s.adopt(ctx)
	writeJSON(w, http.StatusOK, committed{Revision: revision})
}

// adopt applies the committed configuration at this balancer without waiting for
// the watch on the store.
func (s *Server) adopt(ctx context.Context) {
	snapshot, err := s.committer.Load(ctx)
	if err != nil {
		s.log.Warn("cannot read configuration after change", "error", err)
		return
	}
	s.control.Adopt(snapshot.Config, "change")
}

// getApplied returns the revision in force at this balancer and at each member
// that reports to it.
func (s *Server) getApplied(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, s.knownRevisions())
}

func (s *Server) knownRevisions() map[netip.AddrPort]uint64 {
	applied := s.control.AppliedRevisions()
	applied[s.control.Self().Address] = s.control.Config().Revision
	return applied
}

// getMembers returns all members with their revisions. It queries the other balancers,
// since each knows only some of the revisions.
func (s *Server) getMembers(w http.ResponseWriter, r *http.Request) {
	members := s.control.Members()
	applied := s.allRevisions(r.Context(), members)

	statuses := []MemberStatus{}
	for _, m := range members {
		statuses = append(statuses, statusOf(m, applied[m.Address]))
	}
	writeJSON(w, http.StatusOK, statuses)
}

// allRevisions returns the revisions that this balancer and the others know. It leaves
// out balancers that do not respond.
func (s *Server) allRevisions(ctx context.Context, members []roster.Member) map[netip.AddrPort]uint64 {
	applied := s.knownRevisions()
	self := s.control.Self().Address

	var mu sync.Mutex
	var calls errgroup.Group
	calls.SetLimit(maxCalls)
	for _, m := range members {
		if m.Role != roster.Balancer || m.State == roster.Dead || m.Address == self {
			continue
		}
		calls.Go(func() error {
			reported, err := s.client.AppliedRevisions(ctx, m.Admin)
			if err != nil {
				s.log.Warn("cannot get applied revisions from balancer", "peer", m.Admin, "error", err)
				return nil
			}
			mu.Lock()
			defer mu.Unlock()
			mergeRevisions(applied, reported)
			return nil
		})
	}
	_ = calls.Wait() // no call returns an error
	return applied
}

func statusOf(m roster.Member, revision uint64) MemberStatus {
	role := "agent"
	if m.Role == roster.Balancer {
		role = "balancer"
	}
	return MemberStatus{
		Name: m.Name, Role: role, Domain: m.Domain, Service: m.Service, Address: m.Address,
		State: m.State.String(), Weight: m.Weight, Revision: revision,
	}
}

// mergeRevisions keeps the higher revision of each member.
func mergeRevisions(into, from map[netip.AddrPort]uint64) {
	for address, revision := range from {
		into[address] = max(into[address], revision)
	}
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // after an error, the client notices the truncated response
}

func writeError(w http.ResponseWriter, err error) {
	kind, status := errorKind(err)
	writeJSON(w, status, problem{Error: err.Error(), Kind: kind})
}

func errorKind(err error) (string, int) {
	for _, k := range errorKinds {
		if errors.Is(err, k.err) {
			return k.name, k.status
		}
	}
	return "failed", http.StatusServiceUnavailable
}

var errorKinds = []struct {
	name   string
	err    error
	status int
}{
	{"invalid", config.ErrInvalid, http.StatusBadRequest},
	{"refused", config.ErrRefused, http.StatusForbidden},
	{"stale", commit.ErrStale, http.StatusConflict},
	{"undecided", commit.ErrUndecided, http.StatusGatewayTimeout},
}
