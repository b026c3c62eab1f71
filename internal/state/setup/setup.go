// Package setup reads the settings of the daemons: JSON with comments, validated
// as a whole before a daemon opens any socket.
package setup

import (
	"encoding/json"
	"net/netip"
	"os"
	"time"

	"github.com/pkg/errors"
)

// Settings contains the settings of one daemon. Balancers and agents share the fields
// above Balancer; exactly one of Balancer and Agent is set.
type Settings struct {
	// Name is the name that operators give the VM, or for an agent the upstream.
	Name string `json:"name"`

	// Domain is the name of the failure domain.
	Domain string `json:"domain"`

	// Address receives datagrams from the system's other processes; IPv4 and port.
	Address netip.AddrPort `json:"address"`

	// Metrics serves /metrics and /healthz over TCP.
	Metrics netip.AddrPort `json:"metrics"`

	// Store is the endpoint of the platform's store, such as http://192.0.2.1:2379.
	Store string `json:"store"`

	// Seeds are addresses of balancers to contact when the store is down. Optional.
	Seeds []netip.AddrPort `json:"seeds,omitempty"`

	// KeyFile is the path of the keys that the system's processes share.
	KeyFile string `json:"keyFile"`

	// Peers is the certificate for mutual TLS with other processes of the system and
	// with operators.
	Peers Certificate `json:"peers"`

	// LogLevel is debug, info, warn or error; info if empty.
	LogLevel string `json:"logLevel,omitempty"`

	Balancer *BalancerSettings `json:"balancer,omitempty"`
	Agent    *AgentSettings    `json:"agent,omitempty"`
}

// Certificate contains the paths of a certificate, its key, and for mutual TLS the
// authority that signs the certificates of the other side.
type Certificate struct {
	CertFile string `json:"certFile"`
	KeyFile  string `json:"keyFile"`

	// AuthorityFile is required for Settings.Peers only.
	AuthorityFile string `json:"authorityFile,omitempty"`
}

// BalancerSettings contains the settings that only a balancer has.
type BalancerSettings struct {
	// Frontend, if set, is the IP address at which the fabric delivers all
	// services' datagrams, on each service's port. If unset, the balancer
	// listens at the services' own addresses.
	Frontend netip.Addr `json:"frontend,omitempty"`

	// Admin serves operators and peers over QUIC.
	Admin netip.AddrPort `json:"admin"`

	// Withdraw is the time for which a stopping balancer still forwards after it starts
	// to fail the fabric's probes.
	Withdraw Duration `json:"withdraw,omitempty"`
}

// AgentSettings contains the settings that only an agent has.
type AgentSettings struct {
	// Service is the name of the service that the upstream serves.
	Service string `json:"service"`

	// Upstream is the IP address and TCP port of the upstream.
	Upstream netip.AddrPort `json:"upstream"`

	// Peer serves the service's other agents over QUIC.
	Peer netip.AddrPort `json:"peer"`

	// Public is the certificate that callers see.
	Public Certificate `json:"public"`

	// MaxBody is the maximum size of a request body.
	MaxBody Size `json:"maxBody,omitempty"`

	// Drain limits the wait for open requests when the agent stops; 0 is no limit.
	Drain Duration `json:"drain,omitempty"`
}

// Defaults for missing fields.
const (
	DefaultWithdraw = Duration(2 * time.Second)
	DefaultMaxBody  = Size(16 << 20)
)

// Load reads and validates a file. The error lists every fault found, with file, line and field.
func Load(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read settings")
	}
	return Parse(path, data)
}

// Parse parses and validates settings. The path is used in errors only.
func Parse(path string, data []byte) (*Settings, error) {
	doc, err := newDocument(path, data)
	if err != nil {
		return nil, err
	}

	s := &Settings{}
	doc.checkFields(s)
	if err := json.Unmarshal(doc.standard, s); err != nil {
		doc.addDecodeError(err)
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
