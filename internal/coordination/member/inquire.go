package member

import (
	"net/netip"
	"time"
)

const (
	// inquiryInterval is the least time between two inquiries.
	inquiryInterval = 200 * time.Millisecond

	// maxNearSources is the number of addresses that NearSources returns.
	maxNearSources = 2
)

// Inquire returns a heartbeat to a balancer whose data shows that it has a later
// configuration. The acknowledgement tells where to fetch it. This finds a balancer that can
// be reached if the homes, which are in other failure domains, cannot.
func (n *Node) Inquire(now time.Time, balancer netip.AddrPort) []Outgoing {
	if now.Sub(n.lastInquiry) < inquiryInterval {
		return nil
	}
	n.lastInquiry = now
	return []Outgoing{{To: balancer, Message: n.heartbeat(balancer)}}
}

// NearSources returns the addresses from which some random balancers in the same failure
// domain serve their configuration.
func (n *Node) NearSources() []netip.AddrPort {
	var addresses []netip.AddrPort
	for _, balancer := range n.pickRandom(nil, n.sameDomain, maxNearSources) {
		if m, ok := n.roster.Get(balancer); ok && m.Admin.IsValid() {
			addresses = append(addresses, m.Admin)
		}
	}
	return addresses
}
