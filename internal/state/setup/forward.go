package setup

import (
	"encoding/hex"
	"encoding/json"
	"net/netip"
	"os"
	"time"

	"github.com/pkg/errors"

	"github.com/coriandershift/coriandershift/internal/state/keyset"
)

// Forward contains the settings of a daemon for forwarded flows. Exactly one of
// Balancer and Agent is set.
type Forward struct {
	// Name is the name that operators give the VM.
	Name string `json:"name"`

	// Domain is the name of the failure domain.
	Domain string `json:"domain"`

	// Address receives datagrams from the system's other processes, and serves them
	// the configuration over TCP; IPv4 and port, the same port on all VMs.
	Address netip.AddrPort `json:"address"`

	// Listen is the local address for both if it differs from Address, as behind
	// address translation; usually not set.
	Listen netip.AddrPort `json:"listen,omitzero"`

	// Metrics serves /metrics over TCP.
	Metrics netip.AddrPort `json:"metrics"`

	// Store is the IP address and port of the platform's store.
	Store netip.AddrPort `json:"store"`

	// Seeds are VMs of balancers to contact first. Their ports are ignored: all VMs use
	// the port of Address.
	Seeds []netip.AddrPort `json:"seeds,omitempty"`

	// LinkMbps is the rate of the VM's network link in megabits per second, in each
	// direction. What depends on the rate is off if it is 0.
	LinkMbps float64 `json:"linkMbps,omitempty"`

	// ClusterKey, 64 hexadecimal digits, is shared by the system's processes.
	ClusterKey string `json:"clusterKey"`

	// LogLevel is debug, info, warn or error; info if empty.
	LogLevel string `json:"logLevel,omitempty"`

	Balancer *ForwardBalancer `json:"balancer,omitempty"`
	Agent    *ForwardAgent    `json:"agent,omitempty"`
}

// ForwardBalancer contains the settings that only a balancer has.
type ForwardBalancer struct {
	// Callers is the address to which the fabric delivers callers' packets.
	Callers netip.AddrPort `json:"callers"`

	// Ready answers the fabric's probes over TCP.
	Ready netip.AddrPort `json:"ready"`

	// Withdraw is the shortest time for which a stopping balancer still forwards after
	// it starts to fail the fabric's probes. It forwards for up to MaxWithdraw while the
	// fabric still delivers packets.
	Withdraw    Duration `json:"withdraw,omitempty"`
	MaxWithdraw Duration `json:"withdrawMost,omitempty"`
}

// ForwardAgent contains the settings that only an agent has.
type ForwardAgent struct {
	// Service is the name of the service that the upstream serves.
	Service string `json:"service"`

	// Upstream is the address of the upstream, to which the agent sends packets;
	// Outbound receives those from the upstream.
	Upstream netip.AddrPort `json:"upstream"`
	Outbound netip.AddrPort `json:"outbound"`

	// Announcements receives the upstream's heartbeats over TCP.
	Announcements netip.AddrPort `json:"announcements"`

	// Callers contains the port on which callers receive packets; its IP address is
	// not used.
	Callers netip.AddrPort `json:"callers"`

	// Drain limits the wait for requests in progress when the agent stops.
	Drain Duration `json:"drain,omitempty"`
}

// Defaults for missing fields of Forward.
const (
	// defaultForwardWithdraw covers two missed probes of the fabric, half a second
	// apart. defaultMaxWithdraw leaves 1.5 s of the 6 s that VMs give a stopping process.
	defaultForwardWithdraw = Duration(1500 * time.Millisecond)
	defaultMaxWithdraw     = Duration(4500 * time.Millisecond)

	// defaultForwardDrain leaves at least a second of the 6 s that VMs give a stopping process.
	defaultForwardDrain = Duration(4500 * time.Millisecond)
)

// LoadForward reads and validates a file. The error lists every fault found, with file, line and field.
func LoadForward(path string) (*Forward, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read settings")
	}
	return ParseForward(path, data)
}

// ParseForward parses and validates settings. The path is used in errors only.
func ParseForward(path string, data []byte) (*Forward, error) {
	doc, err := newDocument(path, data)
	if err != nil {
		return nil, err
	}

	f := &Forward{}
	doc.checkFields(f)
	if err := json.Unmarshal(doc.standard, f); err != nil {
		doc.addDecodeError(err)
		return nil, doc.err()
	}
	f.fillDefaults()
	f.check(doc)
	return f, doc.err()
}

// Keys returns the keys that the system's processes share. The settings must be valid.
func (f *Forward) Keys() keyset.Set {
	key, err := hex.DecodeString(f.ClusterKey)
	if err != nil {
		panic(err) // the settings were checked
	}
	return keyset.Set{ClusterKey: key}
}

// LinkRate returns the rate of the VM's link in bytes per second, 0 if it is not known.
func (f *Forward) LinkRate() int {
	const bytesPerMegabit = 1_000_000 / 8
	return int(f.LinkMbps * bytesPerMegabit)
}

func (f *Forward) fillDefaults() {
	if !f.Listen.IsValid() {
		f.Listen = f.Address
	}
	if f.Balancer != nil && f.Balancer.Withdraw == 0 {
		f.Balancer.Withdraw = defaultForwardWithdraw
	}
	if f.Balancer != nil && f.Balancer.MaxWithdraw == 0 {
		f.Balancer.MaxWithdraw = max(f.Balancer.Withdraw, defaultMaxWithdraw)
	}
	if f.Agent != nil && f.Agent.Drain == 0 {
		f.Agent.Drain = defaultForwardDrain
	}
}

func (f *Forward) check(doc *document) {
	doc.require("name", f.Name != "", "must be set")
	doc.require("domain", f.Domain != "", "must be set")
	doc.require("logLevel", knownLevel(f.LogLevel), "must be debug, info, warn or error")
	doc.requireIPv4("address", f.Address)
	doc.requireIPv4("listen", f.Listen)
	doc.require("metrics", f.Metrics.IsValid(), "must be an IP address and port")
	doc.requireIPv4("store", f.Store)
	doc.require("linkMbps", f.LinkMbps >= 0, "must not be negative")
	key, err := hex.DecodeString(f.ClusterKey)
	doc.require("clusterKey", err == nil && len(key) == keyset.KeyLength, "must be 64 hexadecimal digits")

	doc.require("balancer", (f.Balancer == nil) != (f.Agent == nil), "exactly one of balancer and agent must be set")
	if f.Balancer != nil {
		doc.requireIPv4("balancer.callers", f.Balancer.Callers)
		doc.requireIPv4("balancer.ready", f.Balancer.Ready)
		doc.require("balancer.withdraw", f.Balancer.Withdraw >= 0, "must not be negative")
		doc.require("balancer.withdrawMost", f.Balancer.MaxWithdraw >= f.Balancer.Withdraw, "must not be less than withdraw")
		doc.require("balancer.callers", f.Balancer.Callers != f.Address, "must differ from address")
	}
	if f.Agent != nil {
		f.Agent.check(doc)
		doc.require("agent.outbound", f.Agent.Outbound != f.Address, "must differ from address")
	}
}

func (a *ForwardAgent) check(doc *document) {
	doc.require("agent.service", a.Service != "", "must be set")
	doc.requireIPv4("agent.upstream", a.Upstream)
	doc.requireIPv4("agent.outbound", a.Outbound)
	doc.requireIPv4("agent.announcements", a.Announcements)
	doc.requireIPv4("agent.callers", a.Callers)
	doc.require("agent.drain", a.Drain >= 0, "must not be negative")
}

func (d *document) requireIPv4(field string, address netip.AddrPort) {
	d.require(field, address.IsValid() && address.Addr().Is4(), "must be an IPv4 address and port")
}
