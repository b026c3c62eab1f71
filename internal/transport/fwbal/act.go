package fwbal

import (
	"net"
	"net/netip"
	"strconv"
	"time"

	"github.com/coriandershift/coriandershift/internal/coordination/steer"
	"github.com/coriandershift/coriandershift/internal/protocol/fwdmsg"
	"github.com/coriandershift/coriandershift/internal/state/link"
	"github.com/coriandershift/coriandershift/internal/transport/usage"
)

// perform carries out actions and sets the timer if one of the router's tasks is due
// before the next tick. kind is that of the packet that the actions are for, as far as
// the reason of an action does not tell it. It must be called with the lock held.
func (b *Balancer) perform(now time.Time, kind link.Kind, actions []steer.Action) {
	for i := range actions {
		b.performOne(now, kind, &actions[i])
	}
	due, waiting := b.router.NextTick()
	if waiting && (b.nextTick.IsZero() || due.Before(b.nextTick)) {
		b.nextTick = due
		b.timer.Reset(time.Until(due))
	}
}

func (b *Balancer) performOne(now time.Time, kind link.Kind, a *steer.Action) {
	switch a.Kind {
	case steer.Send:
		b.buffer = b.codec.Append(b.buffer[:0], &a.Envelope, a.Packet)
		b.control.WriteDatagram(b.control.Conn(), b.buffer, a.To.AddrPort())
		if placed(a.Reason) {
			kind = link.Opening
		}
		b.usage.Count(now, link.Out, usage.MessageKind(a.Envelope.Kind, kind), len(b.buffer))
	case steer.Reset:
		b.buffer = b.packets.AppendReset(b.buffer[:0], a.Key, a.Sequence)
		b.control.WriteDatagram(b.callerConn, b.buffer, netip.AddrPortFrom(netip.AddrFrom4(a.Key.Caller.IP), b.callerPort()))
		b.usage.Count(now, link.Out, link.Data, len(b.buffer))
	}
	b.logDecision(a)
}

// placed reports whether a reason is one of those with which opening packets are sent.
func placed(r steer.Reason) bool {
	return r == steer.Placed || r == steer.PlacedAllFull || r == steer.PlacedNextAfterSilence
}

// logDecision logs and counts a decision. Packets of known flows and queries are only
// counted.
func (b *Balancer) logDecision(a *steer.Action) {
	switch a.Envelope.Kind {
	case fwdmsg.Query:
		b.metrics.Datagrams.WithLabelValues("query").Inc()
		return
	case fwdmsg.DelegatedQuery:
		b.metrics.Datagrams.WithLabelValues("delegatedQuery").Inc()
		return
	}
	if a.Reason == "" {
		b.metrics.Datagrams.WithLabelValues("known").Inc()
		return
	}
	b.metrics.Datagrams.WithLabelValues(string(a.Reason)).Inc()
	if a.SearchTime > 0 {
		b.metrics.SearchTime.WithLabelValues(string(a.Reason), b.control.Self().Domain).Observe(a.SearchTime.Seconds())
	}
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
	if a.Reason == steer.LinkBusy {
		b.metrics.LinkRefusals.WithLabelValues(strconv.Itoa(a.Priority)).Inc()
	}
	fields := []any{"flow", a.Key, "reason", string(a.Reason), "reset", a.Kind == steer.Reset,
		"revision", b.revision, "agents", b.router.EligibleAgentCount()}
	if a.SearchTime > 0 {
		fields = append(fields, "searched", a.SearchTime.Round(time.Millisecond))
	}
	if !a.To.IsZero() {
		fields = append(fields, "silent", a.To)
	}
	if a.Reason == steer.LinkBusy {
		fields = append(fields, "priority", a.Priority, "outstandingBytes", int(b.router.OutstandingBytes()[a.Priority]))
	}
	b.log.Info("flow not routed", fields...)
}

func (b *Balancer) callerPort() uint16 {
	return b.callerConn.LocalAddr().(*net.UDPAddr).AddrPort().Port()
}
