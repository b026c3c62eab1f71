package ctrl

import (
	"context"
	"time"

	"github.com/coriandershift/coriandershift/internal/coordination/member"
)

// HandleControl handles one control datagram and sends the replies.
func (p *Plane) HandleControl(datagram []byte) {
	p.metrics.ControlBytes.WithLabelValues("in").Add(float64(len(datagram)))
	p.observeDatagram(false, len(datagram))

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
		p.offerSource(source)
	}
}

// ObserveTicks has observe called every member.TickInterval or more often, so that a pause
// of the process can be told. It must be called before Run.
func (p *Plane) ObserveTicks(observe func(now time.Time)) {
	p.observeTick = observe
}

// Run runs the periodic tasks of the membership protocol until the context ends.
func (p *Plane) Run(ctx context.Context) {
	for ctx.Err() == nil {
		sleep(ctx, p.tick()) // the first tick at once, since others wait for a process that starts
	}
}

// tick runs the tasks that are due and returns the time until the next call.
func (p *Plane) tick() time.Duration {
	now := time.Now()
	p.observeTick(now)
	p.mu.Lock()
	p.observeEra()
	sends := p.node.Tick(now)
	delay := p.node.TickDelay(now)
	p.mu.Unlock()

	p.send(sends)
	p.signalMemberChanges()
	return delay
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
			p.observeDatagram(true, len(datagram))
		}
	}
}

// signalMemberChanges signals if the members, or whether they may lack some, have changed
// since the last call.
func (p *Plane) signalMemberChanges() {
	p.mu.Lock()
	defer p.mu.Unlock()

	version, until := p.node.Roster().Version(), p.node.IncompleteUntil()
	if version == p.rosterVersion && until.Equal(p.incompleteUntil) {
		return
	}
	p.rosterVersion, p.incompleteUntil = version, until
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
