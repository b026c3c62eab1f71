package fwagt

import (
	"net"
	"net/netip"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/coriandershift/coriandershift/internal/coordination/owner"
	"github.com/coriandershift/coriandershift/internal/state/link"
	"github.com/coriandershift/coriandershift/internal/transport/usage"
)

const (
	// probeTimeout limits the time for the connection that finds out whether anything
	// listens at the upstream's address. The upstream is on the same VM.
	probeTimeout = 500 * time.Millisecond

	// startProbeDelay is the time after the agent's start at which it probes an upstream
	// that has not announced itself yet. Upstreams do so as soon as they start.
	startProbeDelay = 250 * time.Millisecond

	// probeInterval is the time between two probes of a silent upstream.
	probeInterval = time.Second
)

// perform carries out actions and sets the timer if one of the owner's tasks is due
// before the next tick. It must be called with the lock held.
func (a *Agent) perform(now time.Time, actions []owner.Action) {
	for i := range actions {
		a.performOne(now, &actions[i])
	}
	a.scheduleTick(a.owner.NextTick())
}

// scheduleTick sets the timer to fire at due, if a task is due then and the timer would
// fire later. It must be called with the lock held.
func (a *Agent) scheduleTick(due time.Time, pending bool) {
	if pending && (a.nextTick.IsZero() || due.Before(a.nextTick)) {
		a.nextTick = due
		a.timer.Reset(time.Until(due))
	}
}

func (a *Agent) performOne(now time.Time, action *owner.Action) {
	switch action.Kind {
	case owner.Deliver:
		a.packets.SetTag(action.Packet, action.Tag)
		a.control.WriteDatagram(a.upstreamConn, action.Packet, a.upstream)
	case owner.Answer:
		a.control.WriteDatagram(a.upstreamConn, action.Packet, a.callerAddress(action))
		a.usage.Count(now, link.Out, link.Data, len(action.Packet))
	case owner.Forward:
		a.packets.SetTag(action.Packet, 0)
		a.buffer = a.codec.Append(a.buffer[:0], &action.Envelope, action.Packet)
		a.control.WriteDatagram(a.control.Conn(), a.buffer, action.To.AddrPort())
		a.countForwarded(now, action.Packet)
	case owner.Notify:
		payload := action.Packet
		if payload == nil {
			payload = action.Key.Append(nil)
		}
		a.buffer = a.codec.Append(a.buffer[:0], &action.Envelope, payload)
		a.control.WriteDatagram(a.control.Conn(), a.buffer, action.To.AddrPort())
		a.usage.Count(now, link.Out, usage.MessageKind(action.Envelope.Kind, link.Data), len(a.buffer))
	case owner.Reset:
		a.buffer = a.packets.AppendReset(a.buffer[:0], action.Key, action.Sequence)
		a.control.WriteDatagram(a.upstreamConn, a.buffer, a.callerAddress(action))
		a.usage.Count(now, link.Out, link.Data, len(a.buffer))
	}
	a.logDecision(action)
}

// countForwarded counts the message in buffer, which carries a caller's packet.
func (a *Agent) countForwarded(now time.Time, raw []byte) {
	if a.usage == nil {
		return
	}
	packet, _ := a.packets.Parse(raw) // was parsed before
	a.usage.Count(now, link.Out, usage.PacketKind(&packet), len(a.buffer))
}

func (a *Agent) callerAddress(action *owner.Action) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4(action.Key.Caller.IP), a.callerPort)
}

// logDecision logs and counts a decision. Actions without a reason, such as those for
// packets of known flows, are neither logged nor counted here.
func (a *Agent) logDecision(action *owner.Action) {
	if action.Reason == "" {
		return
	}
	a.metrics.Datagrams.WithLabelValues(string(action.Reason)).Inc()
	switch action.Kind {
	case owner.Forward:
		a.log.Info("flow handed on", "flow", action.Key, "reason", string(action.Reason), "to", action.To, "tried", action.Envelope.TriedCount,
			"load", action.Load, "revision", a.revision)
	case owner.Reset:
		a.metrics.BrokenFlows.WithLabelValues(string(action.Reason)).Inc()
		a.log.Info("caller reset", "flow", action.Key, "reason", string(action.Reason), "load", action.Load, "revision", a.revision)
	case owner.Drop:
		a.metrics.DroppedDatagrams.WithLabelValues(string(action.Reason)).Inc()
		a.log.Info("packet dropped", "flow", action.Key, "reason", string(action.Reason), "load", action.Load, "revision", a.revision)
	default:
		a.log.Info("flow taken", "flow", action.Key, "reason", string(action.Reason), "load", action.Load, "revision", a.revision)
	}
}

// countCompletions counts the requests that have ended since the last call and observes
// their durations.
func (a *Agent) countCompletions() {
	for _, c := range a.owner.TakeCompletions() {
		a.metrics.Requests.WithLabelValues(a.service, string(c.Kind), string(c.Outcome)).Inc()
		a.metrics.RequestLatency.WithLabelValues(a.service, string(c.Kind)).Observe(c.Duration.Seconds())
	}
}

// probeAtStart probes the upstream startProbeDelay after the agent's start, unless it has
// announced itself by then. If the upstream is gone, callers of its lost flows are reset
// without further delay.
func (a *Agent) probeAtStart() {
	time.Sleep(startProbeDelay)
	a.mu.Lock()
	silent := a.owner.Upstream() == nil && !a.probing
	a.probing = a.probing || silent
	a.mu.Unlock()
	if silent {
		a.probeUpstream()
	}
}

// checkUpstream finds out whether a silent upstream is gone, and if so, resets its flows.
// A refused TCP connection shows that nothing listens at its address.
func (a *Agent) checkUpstream() {
	conn, err := net.DialTimeout("tcp4", a.upstream.String(), probeTimeout)
	if err == nil {
		conn.Close()
	}
	if !errors.Is(err, syscall.ECONNREFUSED) {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.log.Warn("upstream gone", "address", a.upstream, "error", err)
	a.perform(time.Now(), a.owner.HandleUpstreamGone())
	a.updateWeight()
}

// probeUpstream checks a silent upstream and permits the next probe after probeInterval.
// The caller has set probing.
func (a *Agent) probeUpstream() {
	a.checkUpstream()
	time.Sleep(probeInterval)
	a.mu.Lock()
	a.probing = false
	a.mu.Unlock()
}
