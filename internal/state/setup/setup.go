// Package setup holds the settings of the daemons: JSON with comments, checked
// as a whole before anything listens.
package setup

import (
	"encoding/json"
	"net/netip"
	"os"
	"time"

	"github.com/pkg/errors"
)

// Settings are those of one daemon. Balancers and agents share the fields above
// Balancer; exactly one of Balancer and Agent is set.
type Settings struct {
	// Name is the operators' name of the VM, or of the upstream for an agent.
	Name string `json:"name"`

	// Domain is the name of the failure domain.
	Domain string `json:"domain"`

	// Address takes datagrams of the system's other processes; IPv4 and port.
	Address netip.AddrPort `json:"address"`

	// Metrics serves /metrics and /healthz over TCP.
	Metrics netip.AddrPort `json:"metrics"`

	// Store is the endpoint of the platform's store, such as http://192.0.2.1:2379.
	Store string `json:"store"`

	// Seeds are addresses of balancers to turn to when the store is down. Optional.
	Seeds []netip.AddrPort `json:"seeds,omitempty"`

	// KeyFile holds the keys that the system's processes share.
	KeyFile string `json:"keyFile"`

	// Peers is the certificate between the system's processes and for operators.
	Peers Certificate `json:"peers"`

	// LogLevel is debug, info, warn or error; info if empty.
	LogLevel string `json:"logLevel,omitempty"`

	Balancer *BalancerSettings `json:"balancer,omitempty"`
	Agent    *AgentSettings    `json:"agent,omitempty"`
}

// Certificate names a certificate, its key, and for mutual TLS the authority of the other side.
type Certificate struct {
	CertFile string `json:"certFile"`
	KeyFile  string `json:"keyFile"`

	// AuthorityFile is needed for peers only.
	AuthorityFile string `json:"authorityFile,omitempty"`
}

// BalancerSettings are those of a balancer alone.
type BalancerSettings struct {
	// Frontend, if set, is the IP address at which the fabric delivers all
	// services' datagrams, on each service's port. If unset, the balancer
	// listens at the services' own addresses.
	Frontend netip.Addr `json:"frontend,omitempty"`

	// Admin answers operators and peers over QUIC.
	Admin netip.AddrPort `json:"admin"`

	// Withdraw is how long a stopping balancer still forwards after it tells the fabric.
	Withdraw Duration `json:"withdraw,omitempty"`
}

// AgentSettings are those of an agent alone.
type AgentSettings struct {
	// Service is the name of the service that the upstream serves.
	Service string `json:"service"`

	// Upstream is the IP address and TCP port of the upstream.
	Upstream netip.AddrPort `json:"upstream"`

	// Peer takes the calls of the service's other agents over QUIC.
	Peer netip.AddrPort `json:"peer"`

	// Public is the certificate that callers see.
	Public Certificate `json:"public"`

	// MaxBody bounds the body of a request.
	MaxBody Size `json:"maxBody,omitempty"`

	// Drain bounds the wait for open requests when the agent stops; 0 is no bound.
	Drain Duration `json:"drain,omitempty"`
}

// Defaults for fields that are left out.
const (
	DefaultWithdraw = Duration(2 * time.Second)
	DefaultMaxBody  = Size(16 << 20)
)

// Load reads and checks a file. The error names every fault found, with file, line and field.
func Load(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read settings")
	}
	return Parse(path, data)
}

// Parse reads and checks settings. The path is used in errors only.
func Parse(path string, data []byte) (*Settings, error) {
	doc, err := newDocument(path, data)
	if err != nil {
		return nil, err
	}

	s := &Settings{}
	doc.checkFields(s)
	if err := json.Unmarshal(doc.standard, s); err != nil {
		doc.addDecode(err)
		return nil, doc.err()
	}

	s.fillDefaults()
	s.check(doc)
	return s, doc.err()
}

func (s *Settings) fillDefaults() {
	if s.Balancer != nil && s.Balancer.Withdraw == 0 {
		s.Balancer.Withdraw = DefaultWithdraw
	}
	if s.Agent != nil && s.Agent.MaxBody == 0 {
		s.Agent.MaxBody = DefaultMaxBody
	}
}
