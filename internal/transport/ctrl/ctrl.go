// Package ctrl is a process's part in the control plane: it owns the socket for the
// system's datagrams, drives the membership, and keeps the configuration in
// force up to date.
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
	"github.com/coriandershift/coriandershift/internal/coordination/member"
	"github.com/coriandershift/coriandershift/internal/protocol/gossip"
	"github.com/coriandershift/coriandershift/internal/state/config"
	"github.com/coriandershift/coriandershift/internal/state/keyset"
	"github.com/coriandershift/coriandershift/internal/state/roster"
	"github.com/coriandershift/coriandershift/internal/transport/metric"
)

const (
	socketBuffer = 4 << 20 // bytes
	fetchTimeout = 2 * time.Second
	retryStore   = time.Second
)

// Plane is one process's part in the control plane. It is safe for concurrent use.
type Plane struct {
	log     *slog.Logger
	metrics *metric.Set
	store   coriandershift.Store
	fetcher ConfigFetcher
	codec   *gossip.Codec
	conn    *net.UDPConn

	// storeLost belongs to FollowOperators.
	storeLost bool

	mu       sync.Mutex
	node     *member.Node
	cfg      *config.Config
	history  config.History
	fetching bool
	changed  chan struct{}
	version  uint64
}

// Options are what a Plane needs.
type Options struct {
	Self          roster.Member
	Keys          keyset.Set
	Log           *slog.Logger
	Metrics       *metric.Set
	Store         coriandershift.Store
	ConfigFetcher ConfigFetcher
	Seeds         []netip.AddrPort

	// Listen is where datagrams are taken, if not at Self's address.
	Listen netip.AddrPort
}

// Listen opens the socket of a process.
func Listen(o Options) (*Plane, error) {
	if !o.Listen.IsValid() {
		o.Listen = o.Self.Address
	}
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(o.Listen))
	if err != nil {
		return nil, errors.Wrapf(err, "listen on %s", o.Listen)
	}
	growBuffers(conn)

	l := &Plane{
		log:     o.Log,
		metrics: o.Metrics,
		store:   o.Store,
		fetcher: o.ConfigFetcher,
		codec:   gossip.New(o.Keys),
		conn:    conn,
		node:    member.New(o.Self, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))),
		cfg:     &config.Config{},
		changed: make(chan struct{}, 1),
	}
	l.node.SetSeeds(o.Seeds)
	return l, nil
}

// Conn returns the socket. Whoever reads it passes control datagrams to Control.
func (l *Plane) Conn() *net.UDPConn {
	return l.conn
}

// Changed is signalled when the configuration or the members have changed.
func (l *Plane) Changed() <-chan struct{} {
	return l.changed
}

// Config returns the configuration in force. It must not be changed.
func (l *Plane) Config() *config.Config {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.cfg
}

// Members returns all known members.
func (l *Plane) Members() []roster.Member {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.node.Members()
}

// Synced reports whether a balancer that knew all members was found to know the
// same as this one.
func (l *Plane) Synced() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.node.Synced()
}

// MemberCount returns how many members are known.
func (l *Plane) MemberCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.node.Roster().Len()
}

// TakeChanged returns the members that changed since the last call.
func (l *Plane) TakeChanged() []roster.Member {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.node.TakeChanged()
}

// Self returns the process's own record.
func (l *Plane) Self() roster.Member {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.node.Self()
}

// Peers returns the agents of the same service, this one among them. It must not be changed.
func (l *Plane) Peers() []roster.Member {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.node.Peers()
}

// AppliedRevisions returns the revision in force at each member that reports to this process.
func (l *Plane) AppliedRevisions() map[netip.AddrPort]uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.node.AppliedRevisions()
}

// SetWeight changes the share of new flows that the process asks for.
func (l *Plane) SetWeight(weight uint8) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.node.SetWeight(weight)
}

// SetNoFlows tells whether the process is an agent without flows.
func (l *Plane) SetNoFlows(empty bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.node.SetNoFlows(empty)
}

// Leave announces that the process takes nothing new.
func (l *Plane) Leave() {
	l.mu.Lock()
	l.node.AnnounceLeaving()
	l.mu.Unlock()
	l.tick()
}

// AnnounceExit announces that the process ends for good, so that nobody turns to it.
func (l *Plane) AnnounceExit() {
	l.mu.Lock()
	l.node.AnnounceExit()
	l.mu.Unlock()
	l.tick()
}

// Rejoin takes Leave back.
func (l *Plane) Rejoin() {
	l.mu.Lock()
	l.node.AnnounceReturn()
	l.mu.Unlock()
	l.tick()
}

// HandleControl handles one control datagram.
func (l *Plane) HandleControl(datagram []byte) {
	l.metrics.ControlBytes.WithLabelValues("in").Add(float64(len(datagram)))

	message, err := l.codec.Open(datagram)
	if err != nil {
		l.metrics.DroppedDatagrams.WithLabelValues(reasonOf(err)).Inc()
		return
	}

	l.mu.Lock()
	sends, offer := l.node.Handle(time.Now(), message)
	l.mu.Unlock()

	l.send(sends)
	l.noteMembers()
	if offer.Revision > 0 {
		l.fetch(offer)
	}
}

// Run drives the membership until the context ends.
func (l *Plane) Run(ctx context.Context) {
	ticker := time.NewTicker(member.TickInterval)
	defer ticker.Stop()

	l.tick() // a process that starts is waited for
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			l.tick()
		}
	}
}

func (l *Plane) tick() {
	l.mu.Lock()
	sends := l.node.Tick(time.Now())
	l.mu.Unlock()

	l.send(sends)
	l.noteMembers()
}

func (l *Plane) send(sends []member.Outgoing) {
	for i := range sends {
		datagram, err := l.codec.Seal(&sends[i].Message)
		if err != nil {
			l.log.Error("cannot encode control message", "error", err)
			continue
		}

		if _, err := l.conn.WriteToUDPAddrPort(datagram, sends[i].To); err == nil {
			l.metrics.ControlBytes.WithLabelValues("out").Add(float64(len(datagram)))
		}
	}
}

func (l *Plane) noteMembers() {
	l.mu.Lock()
	defer l.mu.Unlock()

	version := l.node.Roster().Version()
	if version == l.version {
		return
	}
	l.version = version
	l.signal()
}

// signal must be called with the lock held.
func (l *Plane) signal() {
	select {
	case l.changed <- struct{}{}:
	default:
	}
}

func growBuffers(conn *net.UDPConn) {
	// The kernel caps what it grants; a small buffer works, only worse.
	_ = conn.SetReadBuffer(socketBuffer)
	_ = conn.SetWriteBuffer(socketBuffer)
}

func reasonOf(err error) string {
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
