// Package ctrl is a process's part in the control plane: it owns the socket for
// datagrams between the processes of the system, runs the membership protocol, and
// keeps the configuration in force up to date.
package ctrl

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/coriandershift/coriandershift"
	"github.com/coriandershift/coriandershift/internal/coordination/adopt"
	"github.com/coriandershift/coriandershift/internal/coordination/fetch"
	"github.com/coriandershift/coriandershift/internal/coordination/member"
	"github.com/coriandershift/coriandershift/internal/protocol/gossip"
	"github.com/coriandershift/coriandershift/internal/state/config"
	"github.com/coriandershift/coriandershift/internal/state/keyset"
	"github.com/coriandershift/coriandershift/internal/state/roster"
	"github.com/coriandershift/coriandershift/internal/transport/metric"
)

const (
	socketBufferSize = 4 << 20 // bytes, in each direction
	fetchTimeout     = 2 * time.Second

	// storeRetryDelay is the delay after a failed read of the store, and after a watch
	// that failed within storeRetryDelay of its start.
	storeRetryDelay = time.Second
)

// Plane is one process's part in the control plane. It is safe for concurrent use.
type Plane struct {
	log     *slog.Logger
	metrics *metric.Set
	store   coriandershift.Store
	fetcher ConfigFetcher
	codec   *gossip.Codec
	conn    *net.UDPConn

	// observeDatagram is set by ObserveDatagrams, observeTick by ObserveTicks.
	observeDatagram func(sent bool, length int)
	observeTick     func(now time.Time)

	// storeLost says that the last call of the ConfigSource failed. Only the goroutine
	// of FollowConfigSource accesses it.
	storeLost bool

	mu      sync.Mutex
	node    *member.Node
	gate    *adopt.Gate // has the configuration in force
	era     uint64      // latest era of the store heard of
	history config.History
	plan    *fetch.Plan
	changed chan struct{} // holds up to one signal

	// rosterVersion and incompleteUntil are those of node at the last signal for a change
	// of members.
	rosterVersion   uint64
	incompleteUntil time.Time
}

// Options configure a Plane.
type Options struct {
	Self          roster.Member
	Keys          keyset.Set
	Log           *slog.Logger
	Metrics       *metric.Set
	Store         coriandershift.Store // nil for a process that never calls it
	ConfigFetcher ConfigFetcher
	Seeds         []netip.AddrPort

	// Listen is the address on which datagrams are received; by default, that of Self.
	Listen netip.AddrPort
}

// Listen returns a Plane whose socket is open. Run and a reader of the socket have yet
// to be started.
func Listen(o Options) (*Plane, error) {
	if !o.Listen.IsValid() {
		o.Listen = o.Self.Address
	}
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(o.Listen))
	if err != nil {
		return nil, errors.Wrapf(err, "listen on %s", o.Listen)
	}
	growBuffers(conn)

	p := &Plane{
		log:     o.Log,
		metrics: o.Metrics,
		store:   o.Store,
		fetcher: o.ConfigFetcher,
		codec:   gossip.New(o.Keys),
		conn:    conn,
		node:    member.New(o.Self, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))),
		gate:    adopt.New(),
		plan:    fetch.New(),
		changed: make(chan struct{}, 1),

		observeDatagram: func(bool, int) {},
		observeTick:     func(time.Time) {},
	}
	p.node.SetSeeds(o.Seeds)
	return p, nil
}

// Conn returns the socket. Whoever reads from it must pass control datagrams to
// HandleControl, as ReadDatagrams does.
func (p *Plane) Conn() *net.UDPConn {
	return p.conn
}

// Changed returns a channel that receives a value after the configuration or the
// members have changed. Several changes may share one value.
func (p *Plane) Changed() <-chan struct{} {
	return p.changed
}

// Config returns the configuration in force, with revision 0 if there is none yet. The
// caller must not change it.
func (p *Plane) Config() *config.Config {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.gate.InForce()
}

// Members returns all known members, sorted by address.
func (p *Plane) Members() []roster.Member {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.node.Members()
}

// Synced reports whether this process has found its table of members equal to that of
// a balancer that knew all members.
func (p *Plane) Synced() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.node.Synced()
}

// IncompleteUntil returns until when the members may lack living ones although they were
// complete before; see member.Node.IncompleteUntil.
func (p *Plane) IncompleteUntil() time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.node.IncompleteUntil()
}

// MemberCount returns the number of known members, dead ones included.
func (p *Plane) MemberCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.node.Roster().Len()
}

// TakeChanged returns the members that changed since the last call.
func (p *Plane) TakeChanged() []roster.Member {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.node.TakeChanged()
}

// Self returns the process's own record.
func (p *Plane) Self() roster.Member {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.node.Self()
}

// Peers returns the agents of the same service, this one among them. The caller must
// not change the result.
func (p *Plane) Peers() []roster.Member {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.node.Peers()
}

// AppliedRevisions returns the revision of the configuration in force at each member
// that sends heartbeats to this process and is not dead.
func (p *Plane) AppliedRevisions() map[netip.AddrPort]uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.node.AppliedRevisions()
}

// SetWeight sets the process's weight, from 0 to roster.MaxWeight; see roster.Member.
func (p *Plane) SetWeight(weight uint8) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.node.SetWeight(weight)
}

// SetNoFlows sets whether the process is an agent without flows.
func (p *Plane) SetNoFlows(noFlows bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.node.SetNoFlows(noFlows)
}

// Leave announces that the process accepts no new flows from now on.
func (p *Plane) Leave() {
	p.mu.Lock()
	p.node.AnnounceLeaving()
	p.mu.Unlock()
	p.tick()
}

// AnnounceExit announces that the process is about to exit, so that nothing is sent to
// it any more.
func (p *Plane) AnnounceExit() {
	p.mu.Lock()
	p.node.AnnounceExit()
	p.mu.Unlock()
	p.tick()
}

// Rejoin revokes Leave.
func (p *Plane) Rejoin() {
	p.mu.Lock()
	p.node.AnnounceReturn()
	p.mu.Unlock()
	p.tick()
}

func growBuffers(conn *net.UDPConn) {
	// Errors are ignored: the kernel limits the size, and a smaller buffer works too, only
	// worse.
	_ = conn.SetReadBuffer(socketBufferSize)
	_ = conn.SetWriteBuffer(socketBufferSize)
}

// dropReason returns the reason under which a control datagram that cannot be opened is
// counted.
func dropReason(err error) string {
	switch {
	case errors.Is(err, gossip.ErrTruncated):
		return "controlTruncated"
	case errors.Is(err, gossip.ErrForged):
		return "controlForged"
	}
	return "controlMalformed"
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
