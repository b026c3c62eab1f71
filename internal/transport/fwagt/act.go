package fwagt

import (
	"net"
	"net/netip"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/coriandershift/coriandershift/internal/coordination/owner"
)

const (
	// probeTimeout bounds the connection that asks whether anything listens at
	// the upstream's address. It is on the same VM.
	probeTimeout = 500 * time.Millisecond

	// probeAfter is how long after its start an agent that has not heard its
	// upstream looks for it; upstreams announce themselves as soon as they start.
	probeAfter = 250 * time.Millisecond

	// probePause is the time between two probes of a silent upstream.
	probePause = time.Second
)

// carryOut must be called with the lock held.
func (t *Agent) carryOut(actions []owner.Action) {
	for i := range actions {
		t.act(&actions[i])
	}
	due, waiting := t.core.NextTick()
	if waiting && (t.due.IsZero() || due.Before(t.due)) {
		t.due = due
		t.timer.Reset(time.Until(due))
	}
}

func (t *Agent) act(a *owner.Action) {
	switch a.Kind {
	case owner.Deliver:
		t.packets.SetTag(a.Packet, a.Tag)
		t.link.WriteDatagram(t.conn, a.Packet, t.upstream)
	case owner.Answer:
		t.link.WriteDatagram(t.conn, a.Packet, t.caller(a))
	case owner.Forward:
		t.packets.SetTag(a.Packet, 0)
		t.buffer = t.codec.Append(t.buffer[:0], &a.Envelope, a.Packet)
		t.link.WriteDatagram(t.link.Conn(), t.buffer, a.To.AddrPort())
	case owner.Notify:
		payload := a.Packet
		if payload == nil {
			payload = a.Key.Append(nil)
		}
		t.buffer = t.codec.Append(t.buffer[:0], &a.Envelope, payload)
		t.link.WriteDatagram(t.link.Conn(), t.buffer, a.To.AddrPort())
	case owner.Reset:
		t.buffer = t.packets.AppendReset(t.buffer[:0], a.Key, a.Sequence)
		t.link.WriteDatagram(t.conn, t.buffer, t.caller(a))
	}
	t.note(a)
}

func (t *Agent) caller(a *owner.Action) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4(a.Key.Caller.IP), t.port)
}

// note logs and counts a decision. Packets of known flows are only counted.
func (t *Agent) note(a *owner.Action) {
	if a.Reason == "" {
		return
	}
	t.metrics.Datagrams.WithLabelValues(string(a.Reason)).Inc()
	switch a.Kind {
	case owner.Forward:
		t.log.Info("flow handed on", "flow", a.Key, "reason", string(a.Reason), "to", a.To, "tried", a.Envelope.TriedCount,
			"load", a.Load, "revision", t.revision)
	case owner.Reset:
		t.metrics.BrokenFlows.WithLabelValues(string(a.Reason)).Inc()
		t.log.Info("caller reset", "flow", a.Key, "reason", string(a.Reason), "load", a.Load, "revision", t.revision)
	case owner.Drop:
		t.metrics.DroppedDatagrams.WithLabelValues(string(a.Reason)).Inc()
		t.log.Info("packet dropped", "flow", a.Key, "reason", string(a.Reason), "load", a.Load, "revision", t.revision)
	default:
		t.log.Info("flow taken", "flow", a.Key, "reason", string(a.Reason), "load", a.Load, "revision", t.revision)
	}
}

// observe counts the requests that ended.
func (t *Agent) observe() {
	for _, done := range t.core.TakeCompletions() {
		t.metrics.Requests.WithLabelValues(t.service, string(done.Kind), string(done.Outcome)).Inc()
		t.metrics.RequestLatency.WithLabelValues(t.service, string(done.Kind)).Observe(done.Duration.Seconds())
	}
}

// probeFirst looks for the upstream of an agent that has just started and heard
// of none, so that callers of its lost flows need not wait.
func (t *Agent) probeFirst() {
	time.Sleep(probeAfter)
	t.mu.Lock()
	silent := t.core.Upstream() == nil && !t.probing
	t.probing = t.probing || silent
	t.mu.Unlock()
	if silent {
		t.probe()
	}
}

// look finds out whether a silent upstream is gone: a refused connection shows
// that nothing listens at its address.
func (t *Agent) look() {
	conn, err := net.DialTimeout("tcp4", t.upstream.String(), probeTimeout)
	if err == nil {
		conn.Close()
	}
	if !errors.Is(err, syscall.ECONNREFUSED) {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.log.Warn("upstream gone", "address", t.upstream, "error", err)
	t.carryOut(t.core.HandleUpstreamGone())
	t.weigh()
}

// probe looks for a silent upstream, and lets some time pass until the next one.
func (t *Agent) probe() {
	t.look()
	time.Sleep(probePause)
	t.mu.Lock()
	t.probing = false
	t.mu.Unlock()
}
