// Package usage watches a VM's network link: it counts the datagrams of one process,
// exports what package link makes of them, and logs when the link is full.
package usage

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/coriandershift/coriandershift/internal/protocol/fwdmsg"
	"github.com/coriandershift/coriandershift/internal/state/flow"
	"github.com/coriandershift/coriandershift/internal/state/link"
	"github.com/coriandershift/coriandershift/internal/transport/metric"
)

// updateInterval is the time between two checks whether the link is full.
const updateInterval = 100 * time.Millisecond

// Monitor watches the link of a VM. A nil Monitor does nothing. It is safe for concurrent
// use.
type Monitor struct {
	log *slog.Logger

	mu    sync.Mutex
	meter *link.Meter
}

// New returns a Monitor of a link with a rate in bytes per second, and adds its series to
// the metrics. It returns nil if the rate is 0, which means that it is not known.
func New(rate int, log *slog.Logger, metrics *metric.Set) *Monitor {
	if rate <= 0 {
		return nil
	}
	m := &Monitor{log: log, meter: link.New(rate, time.Now())}
	metrics.AddLink(m.sample)
	return m
}

// Count counts a datagram of a length in bytes, without the headers of IP and UDP.
func (m *Monitor) Count(now time.Time, d link.Direction, k link.Kind, length int) {
	if m == nil {
		return
	}
	m.mu.Lock()
	m.meter.Count(now, d, k, length)
	m.mu.Unlock()
}

// CountMembership counts a datagram of the membership protocol at the present time.
func (m *Monitor) CountMembership(sent bool, length int) {
	if m == nil {
		return
	}
	d := link.In
	if sent {
		d = link.Out
	}
	m.Count(time.Now(), d, link.Membership, length)
}

// ObserveRoundTrip records the time from a message to its reply, which arrived at now.
func (m *Monitor) ObserveRoundTrip(now time.Time, d time.Duration) {
	if m == nil {
		return
	}
	m.mu.Lock()
	m.meter.ObserveRoundTrip(now, d)
	m.mu.Unlock()
}

// Run logs when the link becomes full and free, until the context ends.
func (m *Monitor) Run(ctx context.Context) {
	if m == nil {
		return
	}
	ticker := time.NewTicker(updateInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			m.update(time.Now())
		}
	}
}

func (m *Monitor) update(now time.Time) {
	for _, d := range link.Directions {
		m.mu.Lock()
		changed, full := m.meter.Update(now, d), m.meter.Full(d)
		var fields []any
		if changed {
			fields = m.fields(now, d)
		}
		m.mu.Unlock()
		switch {
		case changed && full:
			m.log.Warn("link full", fields...)
		case changed:
			m.log.Info("link free", fields...)
		}
	}
}

// fields returns the fields of a log line. It must be called with the lock held.
func (m *Monitor) fields(now time.Time, d link.Direction) []any {
	fields := []any{"direction", d.String(), "use", percent(m.meter.Use(now, d)), "queue", m.meter.Queue(now, d).Round(time.Millisecond)}
	for k, bytes := range m.meter.LastSecond(now, d) {
		fields = append(fields, link.Kind(k).String()+"Bytes", bytes)
	}
	return fields
}

// PacketKind returns the kind under which a caller's packet is counted.
func PacketKind(p *flow.Packet) link.Kind {
	if p.IsOpening() {
		return link.Opening
	}
	return link.Data
}

// MessageKind returns the kind under which a message is counted; packet is that of the
// packet in it, if any.
func MessageKind(k fwdmsg.Kind, packet link.Kind) link.Kind {
	switch k {
	case fwdmsg.Query, fwdmsg.DelegatedQuery:
		return link.Query
	case fwdmsg.QueryReply, fwdmsg.DelegatedReply:
		return link.Reply
	case fwdmsg.Notice:
		return link.Notice
	}
	return packet
}
