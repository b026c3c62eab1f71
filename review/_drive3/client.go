package main

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"
)

// How clients repeat packets, as PROTOCOL.md says.
const (
	openTimeout   = 1400 * time.Millisecond
	maxRetryDelay = 1600 * time.Millisecond
)

// front is a node to which the routers of a zone forward packets.
type front struct {
	datagram, ready netip.AddrPort
	zone            string

	misses int // of the latest probes
	in     bool
}

// routers forward the packets of the clients of a zone to its fronts that are in rotation,
// by a hash of the four addresses and ports.
type routers struct {
	mu     sync.Mutex
	fronts []*front
	done   chan struct{}
}

func startRouters(fronts []*front) *routers {
	r := &routers{fronts: fronts, done: make(chan struct{})}
	for _, f := range fronts {
		go r.probe(f)
	}
	return r
}

// probe asks a front twice a second whether it is ready. After two misses it is out of
// rotation until it answers again.
func (r *routers) probe(f *front) {
	client := http.Client{Timeout: 450 * time.Millisecond}
	for {
		response, err := client.Get("http://" + f.ready.String() + "/coriandershift/ready")
		ok := err == nil && response.StatusCode == http.StatusOK
		if err == nil {
			response.Body.Close()
		}
		r.mu.Lock()
		if ok {
			f.misses, f.in = 0, true
		} else if f.misses++; f.misses >= 2 {
			f.in = false
		}
		r.mu.Unlock()
		select {
		case <-r.done:
			return
		case <-time.After(500 * time.Millisecond):
		}
	}
}

// inRotation returns the number of fronts in rotation.
func (r *routers) inRotation() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, f := range r.fronts {
		if f.in {
			n++
		}
	}
	return n
}

// pick returns the front for a packet: one of those of the zone in rotation, or of all of
// the zone if fewer than half are, or of other zones if none is.
func (r *routers) pick(zone string, key flowKey) netip.AddrPort {
	r.mu.Lock()
	defer r.mu.Unlock()
	var own, in, others []*front
	for _, f := range r.fronts {
		switch {
		case f.zone == zone && f.in:
			own, in = append(own, f), append(in, f)
		case f.zone == zone:
			own = append(own, f)
		case f.in:
			others = append(others, f)
		}
	}
	use := in
	if 2*len(in) < len(own) {
		use = own
	}
	if len(in) == 0 && len(others) > 0 {
		use = others
	}
	h := fnv.New32a()
	fmt.Fprint(h, key)
	return use[int(h.Sum32())%len(use)].datagram
}

// client stands in for the clients at one address.
type client struct {
	ip      netip.Addr
	zone    string
	conn    *net.UDPConn
	routers *routers

	mu       sync.Mutex
	nextPort uint16
	flows    map[uint16]*clientFlow
}

// clientFlow is the client's end of a flow. One goroutine uses it.
type clientFlow struct {
	c       *client
	key     flowKey
	packets chan packet
	seq     uint32 // next byte of the own stream
	ack     uint32 // next byte of the server's stream
	server  string // that answered the first request
	opened  time.Time
}

func startClient(ip netip.Addr, zone string, port uint16, r *routers) (*client, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(ip, port)))
	if err != nil {
		return nil, err
	}
	c := &client{ip: ip, zone: zone, conn: conn, routers: r, nextPort: 20000, flows: map[uint16]*clientFlow{}}
	go receive(conn, func(raw []byte) {
		p, ok := decode(raw)
		if !ok {
			return
		}
		c.mu.Lock()
		f := c.flows[p.dst.port]
		c.mu.Unlock()
		if f == nil || p.src != f.key.service {
			return
		}
		select {
		case f.packets <- p:
		default: // the server repeats it
		}
	})
	return c, nil
}

func (f *clientFlow) send(p *packet) {
	p.src, p.dst = f.key.client, f.key.service
	_, _ = f.c.conn.WriteToUDPAddrPort(p.encode(), f.c.routers.pick(f.c.zone, f.key))
}

// open opens a flow to a route. It reports false if the flow was refused or not accepted.
func (c *client) open(route netip.AddrPort) (*clientFlow, bool) {
	return c.openObserved(route, func(flowKey) {})
}

// openObserved is like open and calls sending just before the first packet.
func (c *client) openObserved(route netip.AddrPort, sending func(flowKey)) (*clientFlow, bool) {
	c.mu.Lock()
	c.nextPort++
	f := &clientFlow{
		c: c, key: flowKey{endpoint{c.ip.As4(), c.nextPort}, endpointOf(route)},
		packets: make(chan packet, 32), seq: rand.Uint32(),
	}
	c.flows[c.nextPort] = f
	c.mu.Unlock()
	sending(f.key)

	deadline := time.After(openTimeout)
	repeat := time.After(0)
	for sent := uint32(0); ; {
		select {
		case <-deadline:
			f.forget()
			return f, false
		case <-repeat:
			f.send(&packet{flags: flagOpen, seq: f.seq, ack: sent})
			repeat = nil
			if sent++; sent <= 2 {
				repeat = time.After([]time.Duration{0, 200, 400}[sent] * time.Millisecond)
			}
		case p := <-f.packets:
			if p.has(flagReset) {
				f.forget()
				return f, false
			}
			if p.has(flagOpen) && p.has(flagAck) && p.ack == f.seq+1 {
				f.seq++
				f.ack = p.seq + 1
				f.send(&packet{flags: flagAck, seq: f.seq, ack: f.ack})
				f.opened = time.Now()
				return f, true
			}
		}
	}
}

// request sends a request and returns the answer, or what happened instead: "reset" or
// "deadline".
func (f *clientFlow) request(id string, timeout time.Duration) (answer, failure string) {
	deadline := time.After(timeout)
	repeat := time.After(0)
	delay := 200 * time.Millisecond
	for {
		select {
		case <-deadline:
			return "", "deadline"
		case <-repeat:
			f.send(&packet{flags: flagAck, seq: f.seq, ack: f.ack, data: []byte(id)})
			repeat = time.After(delay)
			delay = min(2*delay, maxRetryDelay)
		case p := <-f.packets:
			if p.has(flagReset) {
				if p.seq-f.ack+76800 > 2*76800 {
					continue // not of this flow
				}
				return "", "reset"
			}
			if len(p.data) == 0 || p.seq != f.ack {
				continue
			}
			f.seq += uint32(len(id))
			f.ack += uint32(len(p.data))
			f.send(&packet{flags: flagAck, seq: f.seq, ack: f.ack})
			return string(p.data), ""
		}
	}
}

// finish ends the flow with a FIN.
func (f *clientFlow) finish() {
	f.send(&packet{flags: flagAck | flagFinish, seq: f.seq, ack: f.ack})
	f.forget()
}

func (f *clientFlow) forget() {
	f.c.mu.Lock()
	defer f.c.mu.Unlock()
	delete(f.c.flows, f.key.client.port)
}
