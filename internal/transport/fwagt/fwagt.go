// Package fwagt runs an agent of forwarded flows: it moves packets between the
// balancers, the upstream and the callers as package owner decides.
package fwagt

import (
	"context"
	"log/slog"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/coriandershift/coriandershift"
	"github.com/coriandershift/coriandershift/internal/coordination/owner"
	"github.com/coriandershift/coriandershift/internal/protocol/fwdmsg"
	"github.com/coriandershift/coriandershift/internal/state/flow"
	"github.com/coriandershift/coriandershift/internal/state/keyset"
	"github.com/coriandershift/coriandershift/internal/transport/ctrl"
	"github.com/coriandershift/coriandershift/internal/transport/metric"
)

const (
	// sweepEvery is the time between two ticks without anything due.
	sweepEvery = time.Second

	// stopPoll is how often a stopping agent looks whether its requests have ended.
	stopPoll = 50 * time.Millisecond
)

// Agent is one agent. It is safe for concurrent use.
type Agent struct {
	log      *slog.Logger
	metrics  *metric.Set
	link     *ctrl.Plane
	packets  coriandershift.PacketCodec
	codec    *fwdmsg.Codec
	conn     *net.UDPConn
	upstream netip.AddrPort
	port     uint16
	service  string

	mu        sync.Mutex
	core      *owner.Owner
	revision  uint64
	accepting bool
	timer     *time.Timer
	due       time.Time
	buffer    []byte
	probing   bool
}

// Options are what an Agent needs.
type Options struct {
	Log         *slog.Logger
	Metrics     *metric.Set
	Control     *ctrl.Plane
	PacketCodec coriandershift.PacketCodec
	Keys        keyset.Set
	Service     string

	// Upstream takes packets and TCP connections; Outbound is where it sends its own.
	Upstream, Outbound netip.AddrPort

	// CallerPort is the port on which callers take packets.
	CallerPort uint16
}

// Listen opens the upstream's socket.
func Listen(o Options) (*Agent, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(o.Outbound))
	if err != nil {
		return nil, errors.Wrapf(err, "listen for the upstream on %s", o.Outbound)
	}

	self := o.Control.Self()
	settings := owner.Settings{Self: flow.EndpointOf(self.Address), Domain: self.Domain, Service: o.Service}
	return &Agent{
		log:      o.Log,
		metrics:  o.Metrics,
		link:     o.Control,
		packets:  o.PacketCodec,
		codec:    fwdmsg.New(o.Keys),
		conn:     conn,
		upstream: o.Upstream,
		port:     o.CallerPort,
		service:  o.Service,
		core:     owner.New(settings, time.Now()),
		buffer:   make([]byte, 0, ctrl.MaxDatagram),
	}, nil
}

// Run serves until the context ends or a socket fails.
func (t *Agent) Run(ctx context.Context) error {
	t.timer = time.NewTimer(sweepEvery)
	go t.link.Run(ctx)
	go t.follow(ctx)
	go t.tick(ctx)
	go t.probeFirst()

	failed := make(chan error, 2)
	go func() { failed <- t.readUpstream() }()
	go func() { failed <- t.link.ReadDatagrams(t.fromBalancer) }()
	select {
	case <-ctx.Done():
		return nil
	case err := <-failed:
		return err
	}
}

// Announce takes an announcement of the upstream.
func (t *Agent) Announce(a flow.Announcement) {
	t.mu.Lock()
	defer t.mu.Unlock()

	before := t.core.Upstream()
	news, actions := t.core.HandleAnnouncement(time.Now(), a)
	t.carryOut(actions)
	if !news {
		t.log.Info("old announcement ignored", "upstream", a.ID, "born", a.StartedUnixMilli, "sequence", a.Sequence)
		return
	}
	cold := before != nil && before.WarmUpLeft == 0 && a.WarmUpLeft > 0
	if cold || before == nil || !before.SameIncarnation(&a) || before.State != a.State {
		t.log.Info("upstream announced", "upstream", a.ID, "born", a.StartedUnixMilli, "state", int(a.State),
			"slots", a.Slots, "coldFor", a.WarmUpLeft, "version", a.Version)
	}
	t.weigh()
}

// Depart takes the upstream's goodbye.
func (t *Agent) Depart(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.log.Info("upstream departed", "upstream", id)
	t.core.HandleDeparture(id)
	t.weigh()
}

// Stop hands new flows to others and waits until the requests in progress have
// ended, at most for a time.
func (t *Agent) Stop(most time.Duration) {
	t.mu.Lock()
	unheard := t.core.Upstream() == nil && !t.core.NoFlows()
	t.mu.Unlock()
	if unheard {
		t.look() // or others would look for its flows here when nobody answers any more
	}

	t.mu.Lock()
	t.carryOut(t.core.Stop(time.Now()))
	t.weigh()
	t.mu.Unlock()
	t.link.Leave()

	for end := time.Now().Add(most); time.Now().Before(end); time.Sleep(stopPoll) {
		t.mu.Lock()
		idle := t.core.RequestCount() == 0 || t.core.Upstream() == nil
		t.mu.Unlock()
		if idle {
			break
		}
	}

	t.mu.Lock()
	gone := t.core.Upstream() == nil
	t.mu.Unlock()
	if gone {
		t.link.AnnounceExit()
	}
}

func (t *Agent) readUpstream() error {
	buffer := make([]byte, ctrl.MaxDatagram)
	for {
		count, _, err := t.conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return errors.Wrap(err, "read from the upstream")
		}
		p, err := t.packets.Parse(buffer[:count])
		if err != nil {
			t.metrics.DroppedDatagrams.WithLabelValues("malformed").Inc()
			continue
		}
		t.mu.Lock()
		t.carryOut(t.core.HandleUpstreamPacket(time.Now(), &p))
		t.observe()
		t.mu.Unlock()
	}
}

func (t *Agent) fromBalancer(datagram []byte) {
	e, payload, err := t.codec.Open(datagram)
	if err != nil {
		t.metrics.DroppedDatagrams.WithLabelValues("malformed").Inc()
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	switch e.Kind {
	case fwdmsg.CallerPacket:
		p, err := t.packets.Parse(payload)
		if err != nil {
			t.metrics.DroppedDatagrams.WithLabelValues("malformed").Inc()
			return
		}
		t.carryOut(t.core.HandleBalancerPacket(time.Now(), &e, &p))
	case fwdmsg.Query:
		questions, err := fwdmsg.ParseQuestions(payload)
		if err != nil {
			t.metrics.DroppedDatagrams.WithLabelValues("malformed").Inc()
			return
		}
		t.carryOut(t.core.HandleQuery(&e, questions))
	default:
		t.metrics.DroppedDatagrams.WithLabelValues("malformed").Inc()
	}
}
