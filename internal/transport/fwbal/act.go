package fwbal

import (
	"net"
	"net/netip"
	"time"

	"github.com/coriandershift/coriandershift/internal/coordination/steer"
	"github.com/coriandershift/coriandershift/internal/protocol/fwdmsg"
)

// perform carries out actions and sets the timer if one of the router's tasks is due
// before the next tick. It must be called with the lock held.
func (b *Balancer) perform(actions []steer.Action) {
	for i := range actions {
		b.performOne(&actions[i])
	}
	due, waiting := b.router.NextTick()
	if waiting && (b.nextTick.IsZero() || due.Before(b.nextTick)) {
		b.nextTick = due
		b.timer.Reset(time.Until(due))
	}
}

func (b *Balancer) performOne(a *steer.Action) {
	switch a.Kind {
	case steer.Send:
		b.buffer = b.codec.Append(b.buffer[:0], &a.Envelope, a.Packet)
		b.control.WriteDatagram(b.control.Conn(), b.buffer, a.To.AddrPort())
	case steer.Reset:
		b.buffer = b.packets.AppendReset(b.buffer[:0], a.Key, a.Sequence)
		b.control.WriteDatagram(b.callerConn, b.buffer, netip.AddrPortFrom(netip.AddrFrom4(a.Key.Caller.IP), b.callerPort()))
	}
	b.logDecision(a)
}

// logDecision logs and counts a decision. Packets of known flows and queries are only
// counted.
func (b *Balancer) logDecision(a *steer.Action) {
	if a.Envelope.Kind == fwdmsg.Query {
		b.metrics.Datagrams.WithLabelValues("query").Inc()
		return
	}
	if a.Reason == "" {
		b.metrics.Datagrams.WithLabelValues("known").Inc()
		return
	}
	b.metrics.Datagrams.WithLabelValues(string(a.Reason)).Inc()
	if a.Kind == steer.Send {
		b.log.Info("flow routed", "flow", a.Key, "reason", string(a.Reason), "agent", a.To,
			"load", a.Load, "loadAge", a.LoadAge.Round(time.Millisecond), "revision", b.revision)
		return
	}
	if a.Kind == steer.Hold {
		b.log.Info("flow held", "flow", a.Key, "reason", string(a.Reason), "revision", b.revision, "agents", b.router.EligibleAgentCount())
		return
	}
	b.metrics.DroppedDatagrams.WithLabelValues(string(a.Reason)).Inc()
	fields := []any{"flow", a.Key, "reason", string(a.Reason), "reset", a.Kind == steer.Reset,
		"revision", b.revision, "agents", b.router.EligibleAgentCount()}
	if !a.To.IsZero() {
		fields = append(fields, "silent", a.To)
	}
	b.log.Info("flow not routed", fields...)
}

func (b *Balancer) callerPort() uint16 {
	return b.callerConn.LocalAddr().(*net.UDPAddr).AddrPort().Port()
}
