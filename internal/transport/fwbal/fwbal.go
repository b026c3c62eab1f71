// Package fwbal runs a balancer of forwarded flows: it moves packets between
// the fabric's socket, the agents and the decisions of package steer.
package fwbal

import (
	"context"
	"log/slog"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/coriandershift/coriandershift"
	"github.com/coriandershift/coriandershift/internal/coordination/steer"
	"github.com/coriandershift/coriandershift/internal/protocol/fwdmsg"
	"github.com/coriandershift/coriandershift/internal/state/flow"
	"github.com/coriandershift/coriandershift/internal/state/keyset"
	"github.com/coriandershift/coriandershift/internal/state/roster"
	"github.com/coriandershift/coriandershift/internal/transport/ctrl"
	"github.com/coriandershift/coriandershift/internal/transport/metric"
)

const (
	// sweepEvery is the time between two ticks without anything due.
	sweepEvery = time.Second

	// settleEvery is the same while this process does not know all agents yet.
	settleEvery = 100 * time.Millisecond
)

// Balancer is one balancer. It is safe for concurrent use.
type Balancer struct {
	log     *slog.Logger
	metrics *metric.Set
	link    *ctrl.Plane
	packets coriandershift.PacketCodec
	codec   *fwdmsg.Codec
	callers *net.UDPConn

	mu       sync.Mutex
	core     *steer.Router
	revision uint64
	settled  bool
	timer    *time.Timer
	due      time.Time
	buffer   []byte

	lastCaller time.Time // when the fabric delivered a packet last
}

// Options are what a Balancer needs.
type Options struct {
	Log         *slog.Logger
	Metrics     *metric.Set
	Control     *ctrl.Plane
	PacketCodec coriandershift.PacketCodec
	Keys        keyset.Set

	// CallerAddress is where the fabric delivers packets. Callers take theirs on the same port.
	CallerAddress netip.AddrPort
}

// Listen opens the fabric's socket.
func Listen(o Options) (*Balancer, error) {
	callers, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(o.CallerAddress))
	if err != nil {
		return nil, errors.Wrapf(err, "listen for callers on %s", o.CallerAddress)
	}

	self := o.Control.Self()
	return &Balancer{
		log:     o.Log,
		metrics: o.Metrics,
		link:    o.Control,
		packets: o.PacketCodec,
		codec:   fwdmsg.New(o.Keys),
		callers: callers,
		core:    steer.New(flow.EndpointOf(self.Address), self.Domain, time.Now()),
		buffer:  make([]byte, 0, ctrl.MaxDatagram),
	}, nil
}

// Run forwards until the context ends or a socket fails.
func (n *Balancer) Run(ctx context.Context) error {
	n.timer = time.NewTimer(sweepEvery)
	go n.link.Run(ctx)
	go n.follow(ctx)
	go n.tick(ctx)
	go n.expect(ctx)

	failed := make(chan error, 2)
	go func() { failed <- n.readCallers() }()
	go func() { failed <- n.link.ReadDatagrams(n.fromAgent) }()
	select {
	case <-ctx.Done():
		return nil
	case err := <-failed:
		return err
	}
}

// Ready reports whether packets would be routed right.
func (n *Balancer) Ready() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.core.Ready()
}

func (n *Balancer) readCallers() error {
	buffer := make([]byte, ctrl.MaxDatagram)
	for {
		count, _, err := n.callers.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return errors.Wrap(err, "read from the fabric")
		}

		p, err := n.packets.Parse(buffer[:count])
		if err != nil {
			n.metrics.DroppedDatagrams.WithLabelValues(string(steer.Malformed)).Inc()
			continue
		}
		now := time.Now()
		n.mu.Lock()
		n.lastCaller = now
		n.carryOut(n.core.HandleCallerPacket(now, &p))
		n.mu.Unlock()
	}
}

func (n *Balancer) fromAgent(datagram []byte) {
	e, payload, err := n.codec.Open(datagram)
	if err != nil {
		n.metrics.DroppedDatagrams.WithLabelValues(string(steer.Malformed)).Inc()
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.carryOut(n.core.HandleAgentMessage(time.Now(), &e, payload, n.packets.Parse))
}

// follow takes changes of the configuration and the members into use.
func (n *Balancer) follow(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-n.link.Changed():
			n.apply()
		}
	}
}

// apply holds the lock all the while, so that of two calls the later one has the
// later records.
func (n *Balancer) apply() {
	n.mu.Lock()
	defer n.mu.Unlock()
	cfg, changed := n.link.Config(), n.link.TakeChanged()
	for _, m := range changed {
		n.log.Info("member changed", "member", m.Name, "address", m.Address, "state", m.State.String(),
			"weight", m.Weight, "incarnation", m.Incarnation, "sequence", m.Sequence)
	}

	if cfg.Revision != n.revision {
		n.revision = cfg.Revision
		n.core.Configure(cfg)
	}
	n.core.UpdateMembers(time.Now(), changed)
	n.metrics.Members.Set(float64(n.link.MemberCount()))
}

func (n *Balancer) tick(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-n.timer.C:
		}
		n.tickOnce()
	}
}

func (n *Balancer) tickOnce() {
	agreed := !n.settled && n.link.Synced() // only this goroutine sets settled
	if agreed {
		n.apply() // what was agreed on counts from here on
	}

	n.mu.Lock()
	defer n.mu.Unlock()
	n.due = time.Time{}
	if agreed {
		n.core.MarkSynced()
	}
	n.carryOut(n.core.Tick(time.Now()))
	n.metrics.Connections.Set(float64(n.core.FlowCount()))
	if n.core.Converged() && !n.settled {
		n.settled = true
		n.log.Info("all agents are known", "agents", n.core.EligibleAgentCount(), "agreed", agreed)
		n.link.SetWeight(roster.MaxWeight)
	}
	if n.due.IsZero() {
		n.timer.Reset(n.pause())
	}
}

// pause returns the time to the next tick without anything due.
func (n *Balancer) pause() time.Duration {
	if n.settled {
		return sweepEvery
	}
	return settleEvery
}
