// Package fwbal runs a balancer of forwarded flows: it receives callers' packets from
// the fabric, the network in front of the balancers, and forwards them to agents as
// package steer decides.
package fwbal

import (
	"context"
	"log/slog"
	"net"
	"net/netip"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/coriandershift/coriandershift"
	"github.com/coriandershift/coriandershift/internal/coordination/steer"
	"github.com/coriandershift/coriandershift/internal/protocol/fwdmsg"
	"github.com/coriandershift/coriandershift/internal/state/flow"
	"github.com/coriandershift/coriandershift/internal/state/keyset"
	"github.com/coriandershift/coriandershift/internal/state/link"
	"github.com/coriandershift/coriandershift/internal/state/roster"
	"github.com/coriandershift/coriandershift/internal/transport/ctrl"
	"github.com/coriandershift/coriandershift/internal/transport/metric"
	"github.com/coriandershift/coriandershift/internal/transport/usage"
)

const (
	// idleTickInterval is the time between two ticks while no task is due.
	idleTickInterval = time.Second

	// convergingTickInterval replaces idleTickInterval until the router has converged,
	// which means that it takes its list of agents as complete.
	convergingTickInterval = 100 * time.Millisecond
)

// Balancer is a balancer of forwarded flows. It is safe for concurrent use.
type Balancer struct {
	log        *slog.Logger
	metrics    *metric.Set
	control    *ctrl.Plane
	packets    coriandershift.PacketCodec
	codec      *fwdmsg.Codec
	callerConn *net.UDPConn   // the fabric delivers packets here
	usage      *usage.Monitor // nil if the link's rate is not known

	mu        sync.Mutex
	router    *steer.Router
	revision  uint64 // of the configuration that the router has
	converged bool   // whether the router had converged at the last tick
	timer     *time.Timer
	nextTick  time.Time // when timer fires for a due task; zero if it fires only after idleInterval
	buffer    []byte

	incompleteUntil time.Time // that the router has

	lastCallerPacketAt time.Time // when the fabric last delivered a packet
}

// Options configure a Balancer.
type Options struct {
	Log         *slog.Logger
	Metrics     *metric.Set
	Control     *ctrl.Plane
	PacketCodec coriandershift.PacketCodec
	Keys        keyset.Set

	// LinkRate is the rate of the VM's link in bytes per second, 0 if it is not known.
	LinkRate int

	// CallerAddress is the address to which the fabric delivers callers' packets. Its port
	// is also the one on which callers receive packets.
	CallerAddress netip.AddrPort
}

// Listen returns a Balancer whose socket for the fabric is open.
func Listen(o Options) (*Balancer, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(o.CallerAddress))
	if err != nil {
		return nil, errors.Wrapf(err, "listen for callers on %s", o.CallerAddress)
	}

	self := o.Control.Self()
	monitor := usage.New(o.LinkRate, o.Log, o.Metrics)
	o.Control.ObserveDatagrams(monitor.CountMembership)
	b := &Balancer{
		log:        o.Log,
		metrics:    o.Metrics,
		control:    o.Control,
		packets:    o.PacketCodec,
		codec:      fwdmsg.New(o.Keys),
		callerConn: conn,
		usage:      monitor,
		router: steer.New(flow.EndpointOf(self.Address), self.Domain, time.Now(),
			steer.WithLinkRate(o.LinkRate), steer.WithRoundTripObserver(monitor.ObserveRoundTrip)),
		buffer: make([]byte, 0, ctrl.MaxDatagram),
	}
	o.Control.ObserveTicks(b.recordRunning)
	return b, nil
}

// recordRunning records that the process was not paused at a time.
func (b *Balancer) recordRunning(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.router.RecordRunning(now)
}

// Run forwards packets until the context ends or reading from a socket fails. In the
// latter case it returns the error.
func (b *Balancer) Run(ctx context.Context) error {
	b.timer = time.NewTimer(idleTickInterval)
	go b.control.Run(ctx)
	go b.follow(ctx)
	go b.tick(ctx)
	go b.loadCensus(ctx)
	go b.usage.Run(ctx)

	failed := make(chan error, 2)
	go func() { failed <- b.readCallers() }()
	go func() { failed <- b.control.ReadDatagrams(b.handleAgentDatagram) }()
	select {
	case <-ctx.Done():
		return nil
	case err := <-failed:
		return err
	}
}

// Ready reports whether the balancer should get packets from the fabric; see
// steer.Router.Ready.
func (b *Balancer) Ready() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.router.Ready()
}

func (b *Balancer) readCallers() error {
	buffer := make([]byte, ctrl.MaxDatagram)
	for {
		count, _, err := b.callerConn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return errors.Wrap(err, "read from the fabric")
		}

		now := time.Now()
		packet, err := b.packets.Parse(buffer[:count])
		kind := usage.PacketKind(&packet)
		b.usage.Count(now, link.In, kind, count)
		if err != nil {
			b.metrics.DroppedDatagrams.WithLabelValues(string(steer.Malformed)).Inc()
			continue
		}
		b.mu.Lock()
		b.lastCallerPacketAt = now
		b.perform(now, kind, b.router.HandleCallerPacket(now, &packet))
		b.mu.Unlock()
	}
}

func (b *Balancer) handleAgentDatagram(datagram []byte) {
	envelope, payload, err := b.codec.Open(datagram)
	if err != nil {
		b.usage.Count(time.Now(), link.In, link.Data, len(datagram))
		b.metrics.DroppedDatagrams.WithLabelValues(string(steer.Malformed)).Inc()
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	b.usage.Count(now, link.In, usage.MessageKind(envelope.Kind, link.Data), len(datagram))
	b.perform(now, link.Data, b.router.HandleAgentMessage(now, &envelope, payload, b.packets.Parse))
}

// follow applies each change of the configuration and the members.
func (b *Balancer) follow(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-b.control.Changed():
			b.apply()
		}
	}
}

// apply passes the configuration in force and the changed members to the router. It
// holds the lock from the start, so that concurrent calls pass them on in the order in
// which they took them.
func (b *Balancer) apply() {
	b.mu.Lock()
	defer b.mu.Unlock()
	cfg, changed, incompleteUntil := b.control.Config(), b.control.TakeChanged(), b.control.IncompleteUntil()
	for _, m := range changed {
		b.log.Info("member changed", "member", m.Name, "address", m.Address, "state", m.State.String(),
			"weight", m.Weight, "incarnation", m.Incarnation, "sequence", m.Sequence)
	}

	now := time.Now()
	if cfg.Revision != b.revision {
		b.revision = cfg.Revision
		b.router.Configure(now, cfg)
	}
	if !incompleteUntil.Equal(b.incompleteUntil) {
		b.log.Info("members may be missing", "for", incompleteUntil.Sub(now).Round(time.Millisecond))
		b.incompleteUntil = incompleteUntil
		b.router.SetIncompleteUntil(incompleteUntil)
	}
	b.router.UpdateMembers(now, changed)
	b.perform(now, link.Data, b.router.RouteHeld(now))
	b.metrics.Members.Set(float64(b.control.MemberCount()))
}

func (b *Balancer) tick(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-b.timer.C:
		}
		b.tickOnce()
	}
}

func (b *Balancer) tickOnce() {
	synced := !b.converged && b.control.Synced() // only this goroutine sets converged
	if synced {
		b.apply() // before MarkSynced, so that the router has the members of the synced table
	}

	b.mu.Lock()
	defer b.mu.Unlock()
	b.nextTick = time.Time{}
	if synced {
		b.router.MarkSynced()
	}
	now := time.Now()
	b.perform(now, link.Data, b.router.Tick(now))
	b.metrics.Connections.Set(float64(b.router.FlowCount()))
	for priority, bytes := range b.router.OutstandingBytes() {
		b.metrics.LinkOutstanding.WithLabelValues(strconv.Itoa(priority)).Set(bytes)
	}
	if b.router.Converged() && !b.converged {
		b.converged = true
		b.log.Info("all agents are known", "agents", b.router.EligibleAgentCount(), "agreed", synced, "gone", b.router.GoneCount())
		b.control.SetWeight(roster.MaxWeight)
	}
	if b.nextTick.IsZero() {
		b.timer.Reset(b.idleInterval())
	}
}

// idleInterval returns the time to the next tick if no task is due before.
func (b *Balancer) idleInterval() time.Duration {
	if b.converged {
		return idleTickInterval
	}
	return convergingTickInterval
}
