// Package fwagt runs an agent of forwarded flows: it forwards packets between the
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
	"github.com/coriandershift/coriandershift/internal/coordination/fanout"
	"github.com/coriandershift/coriandershift/internal/coordination/owner"
	"github.com/coriandershift/coriandershift/internal/protocol/fwdmsg"
	"github.com/coriandershift/coriandershift/internal/state/flow"
	"github.com/coriandershift/coriandershift/internal/state/keyset"
	"github.com/coriandershift/coriandershift/internal/state/link"
	"github.com/coriandershift/coriandershift/internal/transport/ctrl"
	"github.com/coriandershift/coriandershift/internal/transport/metric"
	"github.com/coriandershift/coriandershift/internal/transport/usage"
)

const (
	// idleTickInterval is the time between two ticks while no task is due.
	idleTickInterval = time.Second

	// stopPollInterval is the time between two checks by a stopping agent whether its
	// requests have ended.
	stopPollInterval = 50 * time.Millisecond
)

// Agent is an agent of forwarded flows. It is safe for concurrent use.
type Agent struct {
	log          *slog.Logger
	metrics      *metric.Set
	control      *ctrl.Plane
	packets      coriandershift.PacketCodec
	codec        *fwdmsg.Codec
	upstreamConn *net.UDPConn   // receives the upstream's packets; sends to the upstream and the callers
	upstream     netip.AddrPort // where the upstream receives packets
	callerPort   uint16
	service      string
	usage        *usage.Monitor // nil if the link's rate is not known

	mu        sync.Mutex
	owner     *owner.Owner
	collector *fanout.Collector
	revision  uint64 // of the configuration that the owner has
	accepting bool   // whether the upstream accepted new flows at the last updateWeight
	timer     *time.Timer
	nextTick  time.Time // when timer fires for a due task; zero if it fires only after idleTickInterval
	buffer    []byte
	probing   bool // a probe is running, or the last one was less than probeInterval ago
}

// Options configure an Agent.
type Options struct {
	Log         *slog.Logger
	Metrics     *metric.Set
	Control     *ctrl.Plane
	PacketCodec coriandershift.PacketCodec
	Keys        keyset.Set
	Service     string

	// LinkRate is the rate of the VM's link in bytes per second, 0 if it is not known.
	LinkRate int

	// Upstream is the address at which the upstream receives packets and accepts TCP
	// connections; Outbound is the address to which it sends its own packets.
	Upstream, Outbound netip.AddrPort

	// CallerPort is the port on which callers receive packets.
	CallerPort uint16
}

// Listen returns an Agent whose socket for the upstream's packets is open.
func Listen(o Options) (*Agent, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(o.Outbound))
	if err != nil {
		return nil, errors.Wrapf(err, "listen for the upstream on %s", o.Outbound)
	}

	self := o.Control.Self()
	monitor := usage.New(o.LinkRate, o.Log, o.Metrics)
	o.Control.ObserveDatagrams(monitor.CountMembership)
	settings := owner.Settings{Self: flow.EndpointOf(self.Address), Domain: self.Domain, Service: o.Service}
	a := &Agent{
		log:          o.Log,
		metrics:      o.Metrics,
		control:      o.Control,
		packets:      o.PacketCodec,
		codec:        fwdmsg.New(o.Keys),
		upstreamConn: conn,
		upstream:     o.Upstream,
		callerPort:   o.CallerPort,
		service:      o.Service,
		usage:        monitor,
		owner:        owner.New(settings, time.Now()),
		collector:    fanout.New(settings.Self, time.Now()),
		buffer:       make([]byte, 0, ctrl.MaxDatagram),
	}
	o.Control.ObserveTicks(a.recordRunning)
	return a, nil
}

// recordRunning records that the process was not paused at a time.
func (a *Agent) recordRunning(now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.owner.RecordRunning(now)
}

// Run forwards packets until the context ends or reading from a socket fails. In the
// latter case it returns the error.
func (a *Agent) Run(ctx context.Context) error {
	a.timer = time.NewTimer(idleTickInterval)
	go a.control.Run(ctx)
	go a.follow(ctx)
	go a.tick(ctx)
	go a.probeAtStart()
	go a.usage.Run(ctx)

	failed := make(chan error, 2)
	go func() { failed <- a.readUpstream() }()
	go func() { failed <- a.control.ReadDatagrams(a.handleDatagram) }()
	select {
	case <-ctx.Done():
		return nil
	case err := <-failed:
		return err
	}
}

// Announce handles an announcement of the upstream.
func (a *Agent) Announce(announcement flow.Announcement) {
	a.mu.Lock()
	defer a.mu.Unlock()

	previous := a.owner.Upstream()
	now := time.Now()
	isNewer, actions := a.owner.HandleAnnouncement(now, announcement)
	a.perform(now, actions)
	if !isNewer {
		a.log.Info("old announcement ignored", "upstream", announcement.ID, "born", announcement.StartedUnixMilli, "sequence", announcement.Sequence)
		return
	}
	warmUpStarted := previous != nil && previous.WarmUpLeft == 0 && announcement.WarmUpLeft > 0
	if warmUpStarted || previous == nil || !previous.SameIncarnation(&announcement) || previous.State != announcement.State {
		a.log.Info("upstream announced", "upstream", announcement.ID, "born", announcement.StartedUnixMilli, "state", int(announcement.State),
			"sequence", announcement.Sequence, "slots", announcement.Slots, "coldFor", announcement.WarmUpLeft, "version", announcement.Version)
	}
	a.updateWeight()
}

// Depart handles the message by which the upstream with the given ID announces that it
// ends.
func (a *Agent) Depart(id string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.log.Info("upstream departed", "upstream", id)
	a.owner.HandleDeparture(time.Now(), id)
	a.updateWeight()
}

// Stop makes the agent pass new flows on to other agents and waits until the requests in
// progress have ended, but no longer than timeout. If the upstream has ended, Stop also
// announces the agent's exit.
func (a *Agent) Stop(timeout time.Duration) {
	a.mu.Lock()
	unknown := a.owner.Upstream() == nil && !a.owner.NoFlows()
	a.mu.Unlock()
	if unknown {
		// If the upstream is gone, this lets the agent announce its exit. Without that,
		// the balancers would query the agent for the upstream's flows after it has exited.
		a.checkUpstream()
	}

	a.mu.Lock()
	now := time.Now()
	a.perform(now, a.owner.Stop(now))
	a.updateWeight()
	a.mu.Unlock()
	a.control.Leave()

	for deadline := time.Now().Add(timeout); time.Now().Before(deadline); time.Sleep(stopPollInterval) {
		a.mu.Lock()
		idle := a.owner.RequestCount() == 0 || a.owner.Upstream() == nil
		a.mu.Unlock()
		if idle {
			break
		}
	}

	a.mu.Lock()
	gone := a.owner.Upstream() == nil
	a.mu.Unlock()
	if gone {
		a.control.AnnounceExit()
	}
}

func (a *Agent) readUpstream() error {
	buffer := make([]byte, ctrl.MaxDatagram)
	for {
		count, _, err := a.upstreamConn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return errors.Wrap(err, "read from the upstream")
		}
		packet, err := a.packets.Parse(buffer[:count])
		if err != nil {
			a.metrics.DroppedDatagrams.WithLabelValues("malformed").Inc()
			continue
		}
		a.mu.Lock()
		now := time.Now()
		a.perform(now, a.owner.HandleUpstreamPacket(now, &packet))
		a.countCompletions()
		a.mu.Unlock()
	}
}

// handleDatagram handles a datagram from a balancer or another agent.
func (a *Agent) handleDatagram(datagram []byte) {
	envelope, payload, err := a.codec.Open(datagram)
	if err != nil {
		a.usage.Count(time.Now(), link.In, link.Data, len(datagram))
		a.metrics.DroppedDatagrams.WithLabelValues("malformed").Inc()
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	if envelope.Kind != fwdmsg.CallerPacket {
		a.usage.Count(now, link.In, usage.MessageKind(envelope.Kind, link.Data), len(datagram))
	}
	switch envelope.Kind {
	case fwdmsg.CallerPacket:
		packet, err := a.packets.Parse(payload)
		a.usage.Count(now, link.In, usage.PacketKind(&packet), len(datagram))
		if err != nil {
			a.metrics.DroppedDatagrams.WithLabelValues("malformed").Inc()
			return
		}
		if envelope.Revision > a.revision && !envelope.Balancer.IsZero() {
			a.control.InquireConfig(envelope.Balancer.AddrPort())
		}
		a.perform(now, a.owner.HandleBalancerPacket(now, &envelope, &packet))
	case fwdmsg.Query:
		questions, err := fwdmsg.ParseQuestions(payload)
		if err != nil {
			a.metrics.DroppedDatagrams.WithLabelValues("malformed").Inc()
			return
		}
		a.perform(now, a.owner.HandleQuery(now, &envelope, questions))
	case fwdmsg.DelegatedQuery:
		a.startDelegation(now, &envelope, payload)
	case fwdmsg.QueryReply:
		a.sendForBalancer(now, a.collector.HandleReply(&envelope, payload))
	default:
		a.metrics.DroppedDatagrams.WithLabelValues("malformed").Inc()
	}
}
