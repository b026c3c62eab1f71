package ctrl

import (
	"context"
	"time"

	"github.com/coriandershift/coriandershift/internal/coordination/member"
)

// HandleControl handles one control datagram and sends the replies.
func (p *Plane) HandleControl(datagram []byte) {
	p.metrics.ControlBytes.WithLabelValues("in").Add(float64(len(datagram)))

	message, err := p.codec.Open(datagram)
	if err != nil {
		p.metrics.DroppedDatagrams.WithLabelValues(dropReason(err)).Inc()
		return
	}

	p.mu.Lock()
	sends, source := p.node.Handle(time.Now(), message)
	p.mu.Unlock()

	p.send(sends)
	p.signalMemberChanges()
	if source.Revision > 0 {
		p.fetch(source)
	}
}

// Run runs the periodic tasks of the membership protocol until the context ends.
func (p *Plane) Run(ctx context.Context) {
	ticker := time.NewTicker(member.TickInterval)
	defer ticker.Stop()

	p.tick() // at once, since others wait for a process that starts
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			p.tick()
		}
	}
}

func (p *Plane) tick() {
	p.mu.Lock()
	p.observeEra()
	sends := p.node.Tick(time.Now())
	p.mu.Unlock()

	p.send(sends)
	p.signalMemberChanges()
}

func (p *Plane) send(sends []member.Outgoing) {
	for i := range sends {
		datagram, err := p.codec.Seal(&sends[i].Message)
		if err != nil {
			p.log.Error("cannot encode control message", "error", err)
			continue
		}

		if _, err := p.conn.WriteToUDPAddrPort(datagram, sends[i].To); err == nil {
			p.metrics.ControlBytes.WithLabelValues("out").Add(float64(len(datagram)))
		}
	}
}

// signalMemberChanges signals if the members have changed since the last call.
func (p *Plane) signalMemberChanges() {
	p.mu.Lock()
	defer p.mu.Unlock()

	version := p.node.Roster().Version()
	if version == p.rosterVersion {
		return
	}
	p.rosterVersion = version
	p.signal()
}

// signal puts a value into changed unless one is waiting there. It must be called with
// the lock held.
func (p *Plane) signal() {
	select {
	case p.changed <- struct{}{}:
	default:
	}
}
