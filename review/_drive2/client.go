package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"
)

const (
	openTimeout  = 1400 * time.Millisecond
	firstRepeat  = 200 * time.Millisecond
	maxRepeat    = 1600 * time.Millisecond
	resetWindow  = 76800
	probePeriod  = 500 * time.Millisecond
	missesToDrop = 2
)

// router is the platform's routers: it spreads clients' packets over the fronts in
// rotation by a hash of the addresses (mod).
type router struct {
	fronts []*vm
	client http.Client

	mu     sync.Mutex
	misses map[*vm]int
}

func newRouter(fronts []*vm) *router {
	r := &router{fronts: fronts, client: http.Client{Timeout: 400 * time.Millisecond}, misses: map[*vm]int{}}
	for _, v := range fronts {
		r.misses[v] = missesToDrop
		go r.probe(v)
	}
	return r
}

func (r *router) probe(v *vm) {
	for {
		response, err := r.client.Get("http://" + v.at(readyPort).String() + "/coriandershift/ready")
		good := err == nil && response.StatusCode == http.StatusOK
		if err == nil {
			response.Body.Close()
		}
		r.mu.Lock()
		if good {
			r.misses[v] = 0
		} else {
			r.misses[v]++
		}
		r.mu.Unlock()
		time.Sleep(probePeriod)
	}
}

// rotation returns the fronts of a zone that get its packets: those in rotation, all of
// them if fewer than half are, and those of other zones if none is.
func (r *router) rotation(zone string) []*vm {
	r.mu.Lock()
	defer r.mu.Unlock()
	var all, in, others []*vm
	for _, v := range r.fronts {
		good := r.misses[v] < missesToDrop
		switch {
		case v.zone == zone:
			all = append(all, v)
			if good {
				in = append(in, v)
			}
		case good:
			others = append(others, v)
		}
	}
	switch {
	case len(in) == 0 && len(others) > 0:
		return others
	case 2*len(in) < len(all):
		return all
	}
	return in
}

// client is the clients of one zone at one address.
type client struct {
	ip     netip.Addr
	zone   string
	conn   *net.UDPConn
	router *router
	record *record
	ports  atomic.Uint32

	mu      sync.Mutex
	flows   map[uint16]*flow
	altered int
}

func startClient(r *record, rt *router, ip netip.Addr, zone string) (*client, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(ip, datagramPort)))
	if err != nil {
		return nil, err
	}
	_ = conn.SetReadBuffer(1 << 20)
	c := &client{ip: ip, zone: zone, conn: conn, router: rt, record: r, flows: map[uint16]*flow{}}
	c.ports.Store(20000)
	go receive(conn, c.handle)
	return c, nil
}

func (c *client) handle(p *packet) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f := c.flows[p.dst.port]
	if f == nil || p.src != f.key.route {
		return
	}
	if !p.ownReset() && !p.intact() {
		c.altered++
		return
	}
	select {
	case f.packets <- p:
	default:
	}
}

func (c *client) send(k key, raw []byte) {
	fronts := c.router.rotation(c.zone)
	if len(fronts) == 0 {
		return
	}
	to := fronts[int(k.client.port)*7919%len(fronts)]
	_, _ = c.conn.WriteToUDPAddrPort(raw, to.at(datagramPort))
}

// flow is the client's end of a flow.
type flow struct {
	client   *client
	key      key
	packets  chan *packet
	seq, ack uint32
	opened   time.Time
	lastAck  uint32
}

// newFlow returns a flow to a route from a new port.
func (c *client) newFlow(route netip.AddrPort) *flow {
	port := uint16(c.ports.Add(1))
	f := &flow{client: c, key: key{end{c.ip.As4(), port}, endOf(route)}, packets: make(chan *packet, 32), seq: rand.Uint32()}
	c.mu.Lock()
	c.flows[port] = f
	c.mu.Unlock()
	return f
}

func (f *flow) forget() {
	f.client.mu.Lock()
	delete(f.client.flows, f.key.client.port)
	f.client.mu.Unlock()
}

func (f *flow) write(p *packet) {
	p.src, p.dst = f.key.client, f.key.route
	if p.is(flagAck) {
		f.lastAck = p.ack
	}
	f.client.send(f.key, encode(p))
}

// open opens the flow, or says why it did not open.
func (f *flow) open() error {
	deadline := time.After(openTimeout)
	next := time.After(0)
	for copies := uint32(0); ; {
		select {
		case <-deadline:
			f.forget()
			return fmt.Errorf("no answer")
		case <-next:
			f.write(&packet{flags: flagSyn, seq: f.seq, ack: copies})
			next = time.After(firstRepeat << copies)
			if copies++; copies > 2 {
				next = nil
			}
		case p := <-f.packets:
			switch {
			case p.is(flagRst):
				f.forget()
				return fmt.Errorf("refused")
			case p.is(flagSyn) && p.is(flagAck):
				f.seq++
				f.ack = p.seq + 1
				f.write(&packet{flags: flagAck, seq: f.seq, ack: f.ack})
				f.opened = time.Now()
				return nil
			}
		}
	}
}

// errReset says that an open flow was reset.
var errReset = fmt.Errorf("reset")

// acceptsReset reports whether the client of an open flow takes a reset for valid.
func (f *flow) acceptsReset(p *packet) bool {
	return p.is(flagRst) && int64(int32(p.seq-f.lastAck)) <= resetWindow && int64(int32(p.seq-f.lastAck)) >= -resetWindow
}

// idle waits and reports a reset meanwhile.
func (f *flow) idle(d time.Duration) error {
	end := time.After(d)
	for {
		select {
		case <-end:
			return nil
		case p := <-f.packets:
			if f.acceptsReset(p) {
				return errReset
			}
		}
	}
}

// request sends a request and waits for its answer.
func (f *flow) request(id string, timeout time.Duration) error {
	began := time.Since(f.client.record.start)
	deadline := time.After(timeout)
	next := time.After(0)
	delay := firstRepeat
	for {
		select {
		case <-deadline:
			f.logRequest(id, began, "no answer")
			return fmt.Errorf("no answer")
		case <-next:
			f.write(&packet{flags: flagAck, seq: f.seq, ack: f.ack, data: []byte(id)})
			next = time.After(delay)
			delay = min(2*delay, maxRepeat)
		case p := <-f.packets:
			switch {
			case f.acceptsReset(p):
				f.logRequest(id, began, "reset")
				return errReset
			case len(p.data) == 0 || p.seq != f.ack:
				continue
			}
			f.seq += uint32(len(id))
			f.ack += uint32(len(p.data))
			f.write(&packet{flags: flagAck, seq: f.seq, ack: f.ack})
			f.logRequest(id, began, string(p.data))
			if string(p.data) != id+" ok" {
				return fmt.Errorf("foreign answer %q", p.data)
			}
			return nil
		}
	}
}

func (f *flow) logRequest(id string, began time.Duration, result string) {
	f.client.record.log("request %s on %s, sent at %.3f: %s", id, f.key, began.Seconds(), result)
}

// close ends the flow with a FIN.
func (f *flow) close() {
	f.write(&packet{flags: flagAck | flagFin, seq: f.seq, ack: f.ack})
	time.Sleep(50 * time.Millisecond)
	f.forget()
}
