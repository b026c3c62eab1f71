package fwbal

import (
	"net"
	"net/netip"
	"time"

	"github.com/coriandershift/coriandershift/internal/coordination/steer"
	"github.com/coriandershift/coriandershift/internal/protocol/fwdmsg"
)

// carryOut must be called with the lock held.
func (n *Balancer) carryOut(actions []steer.Action) {
	for i := range actions {
		n.act(&actions[i])
	}
	due, waiting := n.core.NextTick()
	if waiting && (n.due.IsZero() || due.Before(n.due)) {
		n.due = due
		n.timer.Reset(time.Until(due))
	}
}

func (n *Balancer) act(a *steer.Action) {
	switch a.Kind {
	case steer.Send:
		n.buffer = n.codec.Append(n.buffer[:0], &a.Envelope, a.Packet)
		n.link.WriteDatagram(n.link.Conn(), n.buffer, a.To.AddrPort())
	case steer.Reset:
		n.buffer = n.packets.AppendReset(n.buffer[:0], a.Key, a.Sequence)
		n.link.WriteDatagram(n.callers, n.buffer, netip.AddrPortFrom(netip.AddrFrom4(a.Key.Caller.IP), n.callerPort()))
	}
	n.note(a)
}

// note logs and counts a decision. Packets of known flows are only counted.
func (n *Balancer) note(a *steer.Action) {
	if a.Envelope.Kind == fwdmsg.Query {
		n.metrics.Datagrams.WithLabelValues("query").Inc()
		return
	}
	if a.Reason == "" {
		n.metrics.Datagrams.WithLabelValues("known").Inc()
		return
	}
	n.metrics.Datagrams.WithLabelValues(string(a.Reason)).Inc()
	if a.Kind == steer.Send {
		n.log.Info("flow routed", "flow", a.Key, "reason", string(a.Reason), "agent", a.To,
			"load", a.Load, "loadAge", a.LoadAge.Round(time.Millisecond), "revision", n.revision)
		return
	}
	if a.Kind == steer.Hold {
		n.log.Info("flow held", "flow", a.Key, "reason", string(a.Reason), "revision", n.revision, "agents", n.core.EligibleAgentCount())
		return
	}
	n.metrics.DroppedDatagrams.WithLabelValues(string(a.Reason)).Inc()
	fields := []any{"flow", a.Key, "reason", string(a.Reason), "reset", a.Kind == steer.Reset,
		"revision", n.revision, "agents", n.core.EligibleAgentCount()}
	if !a.To.IsZero() {
		fields = append(fields, "silent", a.To)
	}
	n.log.Info("flow not routed", fields...)
}

func (n *Balancer) callerPort() uint16 {
	return n.callers.LocalAddr().(*net.UDPAddr).AddrPort().Port()
}
