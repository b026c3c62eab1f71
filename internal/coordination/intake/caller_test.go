package intake_test

import (
	"time"

	"github.com/coriandershift/coriandershift/internal/coordination/intake"
	"github.com/coriandershift/coriandershift/internal/state/flow"
)

// connection is a caller's flow for a request.
type connection struct {
	*link
	request *request
	port    uint16
	begun   time.Time
	opened  bool
	ended   bool
	arrived []bool // by packet of data, at the upstream
	sent    int    // packets of data, without copies
	missing int    // packets of data that have not arrived
}

// try begins a flow for a request.
func (l *link) try(r *request) {
	r.tries++
	l.lastPort[r.caller]++
	packets := (r.size + maxData - 1) / maxData
	c := &connection{link: l, request: r, port: l.lastPort[r.caller], begun: l.now, arrived: make([]bool, packets), missing: packets}
	c.open(0)
	l.after(r.load.route.Timeout.Duration(), func() { c.ended = true })
}

// open sends an opening packet, and its copies after 200 and 600 ms.
func (c *connection) open(sinceFirst time.Duration) {
	if c.opened || c.ended {
		return
	}
	p := c.packet(func(p *flow.Packet) { p.Open, p.SinceFirstSent = true, sinceFirst })
	c.pass(c.request, p, func() {
		if sinceFirst == 0 {
			c.decided(c.control.Admit(c.now, p, c.request.load.route))
		} else if c.waiting[p.KeyFromCaller()] == nil {
			c.control.Observe(c.now, p, c.request.load.route)
			c.decided(intake.Take)
		}
	})
	switch sinceFirst {
	case 0:
		c.after(200*time.Millisecond, func() { c.open(200 * time.Millisecond) })
	case 200 * time.Millisecond:
		c.after(400*time.Millisecond, func() { c.open(600 * time.Millisecond) })
	}
}

func (c *connection) decided(verdict intake.Verdict) {
	switch verdict {
	case intake.Take:
		c.after(roundTrip, func() {
			if !c.opened && !c.ended {
				c.opened = true
				c.fill()
			}
		})
	case intake.Wait:
		c.waiting[c.packet(func(*flow.Packet) {}).KeyFromCaller()] = c
	case intake.Refuse:
		c.after(roundTrip/2, c.refused)
	}
}

func (c *connection) refused() {
	r := c.request
	r.refusals++
	r.slowest = max(r.slowest, c.now.Sub(c.begun))
	c.ended = true
	if r.tries < maxTries {
		c.after(retryPause, func() { c.try(r) })
	}
}

// fill sends as many packets of data as may be in flight.
func (c *connection) fill() {
	for c.sent < len(c.arrived) && c.sent-(len(c.arrived)-c.missing) < maxInFlight {
		c.sendData(c.sent, retransmission)
		c.sent++
	}
}

// sendData sends one packet of data, and copies until it has arrived.
func (c *connection) sendData(index int, patience time.Duration) {
	if c.ended || c.arrived[index] {
		return
	}
	p := c.packet(func(p *flow.Packet) {
		p.Ack, p.Acknowledged = true, 1
		p.Sequence = uint32(1 + index*maxData)
		p.DataLength = min(maxData, c.request.size-index*maxData)
	})
	c.pass(c.request, p, func() {
		c.control.Observe(c.now, p, c.request.load.route)
		c.after(roundTrip, func() { c.acknowledge(index, p.DataLength) })
	})
	c.after(patience, func() { c.sendData(index, min(2*patience, maxRetransmission)) })
}

func (c *connection) acknowledge(index, length int) {
	if c.arrived[index] || c.ended {
		return
	}
	c.arrived[index] = true
	c.missing--
	c.request.delivered += length
	if c.missing > 0 {
		c.fill()
		return
	}
	c.after(c.request.load.work, func() {
		c.request.endedAt = c.now
		c.ended = true
		finish := c.packet(func(p *flow.Packet) { p.Ack, p.Finish, p.Acknowledged = true, true, 301 })
		c.pass(c.request, finish, func() { c.control.Observe(c.now, finish, c.request.load.route) })
	})
}

func (c *connection) packet(change func(*flow.Packet)) *flow.Packet {
	return packetOf(c.request.load.route, c.request.caller, c.port, change)
}

// resume goes on with the data of a request whose flow another balancer has opened.
func (l *link) resume(r *request) {
	l.lastPort[r.caller]++
	packets := (r.size + maxData - 1) / maxData
	c := &connection{link: l, request: r, port: l.lastPort[r.caller], begun: l.now, opened: true, arrived: make([]bool, packets), missing: packets}
	c.fill()
}
