package setup

import (
	"net/netip"
	"net/url"
	"os"
)

// check adds a fault for every invalid setting.
func (s *Settings) check(doc *document) {
	doc.require("name", s.Name != "", "must be set")
	doc.require("domain", s.Domain != "", "must be set")
	doc.require("logLevel", knownLevel(s.LogLevel), "must be debug, info, warn or error")
	doc.require("address", s.Address.IsValid() && s.Address.Addr().Is4(), "must be an IPv4 address and port")
	doc.require("metrics", s.Metrics.IsValid(), "must be an IP address and port")
	doc.require("store", validEndpoint(s.Store), "must be an http or https URL with an IP address")

	checkFile(doc, "keyFile", s.KeyFile)
	s.Peers.check(doc, "peers")
	checkFile(doc, "peers.authorityFile", s.Peers.AuthorityFile)

	doc.require("balancer", (s.Balancer == nil) != (s.Agent == nil), "exactly one of balancer and agent must be set")
	if s.Balancer != nil {
		s.Balancer.check(doc)
	}
	if s.Agent != nil {
		s.Agent.check(doc)
	}
	s.checkDuplicates(doc)
}

func (b *BalancerSettings) check(doc *document) {
	doc.require("balancer.admin", b.Admin.IsValid(), "must be an IP address and port")
	doc.require("balancer.withdraw", b.Withdraw >= 0, "must not be negative")
}

func (a *AgentSettings) check(doc *document) {
	doc.require("agent.service", a.Service != "", "must be set")
	doc.require("agent.upstream", a.Upstream.IsValid(), "must be an IP address and port")
	doc.require("agent.peer", a.Peer.IsValid(), "must be an IP address and port")
	doc.require("agent.drain", a.Drain >= 0, "must not be negative")
	a.Public.check(doc, "agent.public")
}

func (c *Certificate) check(doc *document, field string) {
	checkFile(doc, field+".certFile", c.CertFile)
	checkFile(doc, field+".keyFile", c.KeyFile)
}

// checkDuplicates adds a fault for each address that is used twice over the same
// protocol, and for each seed that is listed twice.
func (s *Settings) checkDuplicates(doc *document) {
	if s.Balancer != nil {
		doc.require("balancer.admin", s.Balancer.Admin != s.Address, "must differ from address")
	}
	if s.Agent != nil {
		doc.require("agent.peer", s.Agent.Peer != s.Address, "must differ from address")
		doc.require("agent.upstream", s.Agent.Upstream != s.Metrics, "must differ from metrics")
	}

	seen := map[netip.AddrPort]bool{}
	for _, seed := range s.Seeds {
		doc.require("seeds", !seen[seed], "lists "+seed.String()+" twice")
		seen[seed] = true
	}
}

func checkFile(doc *document, field, path string) {
	if path == "" {
		doc.require(field, false, "must be set")
		return
	}

	_, err := os.Stat(path)
	doc.require(field, err == nil, "cannot be read: "+path)
}

func validEndpoint(text string) bool {
	u, err := url.Parse(text)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") {
		return false
	}
	_, err = netip.ParseAddrPort(u.Host)
	return err == nil
}

func knownLevel(level string) bool {
	switch level {
	case "", "debug", "info", "warn", "error":
		return true
	}
	return false
}
