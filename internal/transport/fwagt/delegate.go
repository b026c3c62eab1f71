package fwagt

import (
	"time"

	"github.com/coriandershift/coriandershift/internal/coordination/fanout"
	"github.com/coriandershift/coriandershift/internal/protocol/fwdmsg"
	"github.com/coriandershift/coriandershift/internal/state/link"
	"github.com/coriandershift/coriandershift/internal/transport/usage"
)

// startDelegation asks agents about flows for a balancer. It must be called with the
// lock held.
func (a *Agent) startDelegation(now time.Time, e *fwdmsg.Envelope, payload []byte) {
	delegation, err := fwdmsg.ParseDelegation(payload)
	if err != nil {
		a.metrics.DroppedDatagrams.WithLabelValues("malformed").Inc()
		return
	}
	messages, ok := a.collector.Start(now, e, delegation)
	if !ok {
		a.metrics.DroppedDatagrams.WithLabelValues("delegationsFull").Inc()
		return
	}
	a.metrics.Datagrams.WithLabelValues("delegated").Inc()
	a.sendForBalancer(now, messages)
}

// sendForBalancer sends the collector's messages and sets the timer if one of its tasks
// is due before the next tick. Queries to this agent itself pass through its socket like
// all others. It must be called with the lock held.
func (a *Agent) sendForBalancer(now time.Time, messages []fanout.Message) {
	for i := range messages {
		m := &messages[i]
		a.buffer = a.codec.Append(a.buffer[:0], &m.Envelope, m.Payload)
		a.control.WriteDatagram(a.control.Conn(), a.buffer, m.To.AddrPort())
		a.usage.Count(now, link.Out, usage.MessageKind(m.Envelope.Kind, link.Data), len(a.buffer))
		if m.Envelope.Kind == fwdmsg.Query {
			a.metrics.Datagrams.WithLabelValues("query").Inc()
			continue
		}
		a.metrics.Datagrams.WithLabelValues("delegatedReply").Inc()
		if len(m.Silent) > 0 {
			a.log.Info("delegated query incomplete", "balancer", m.To, "silent", len(m.Silent), "first", m.Silent[0], "revision", a.revision)
		}
	}
	a.scheduleTick(a.collector.NextTick())
}
