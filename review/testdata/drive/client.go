package main

import (
	"errors"
	"hash/fnv"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"time"
)

var (
	errNotOpened = errors.New("no SYN+ACK within 1.4 s")
	errRefused   = errors.New("reset before the flow was open")
	errReset     = errors.New("reset of an open flow")
	errDeadline  = errors.New("no answer within the deadline")
)

const (
	openTimeout = 1400 * time.Millisecond
	resetWindow = 76800 // a reset's seq is this close to the client's last ack
)

// client is one client address with the platform's router of its zone in front of it.
type client struct {
	conn   *net.UDPConn
	ip     netip.Addr
	fronts []*vm // of its zone

	mu       sync.Mutex
	port     uint16
	flows    map[uint16]*clientFlow
	rotation []*vm
	stop     chan struct{}
}

func startClient(ip netip.Addr, fronts []*vm) (*client, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(ip, datagramPort)))
	if err != nil {
		return nil, err
	}
	c := &client{conn: conn, ip: ip, fronts: fronts, port: 20000, flows: map[uint16]*clientFlow{}, stop: make(chan struct{})}
	go receive(conn, c.handle)
	go c.probe()
	return c, nil
}

func (c *client) close() {
	close(c.stop)
	c.conn.Close()
}

// probe keeps the rotation: a node is out after two misses until it answers with 200 again.
func (c *client) probe() {
	probes := http.Client{Timeout: 400 * time.Millisecond}
	misses := map[*vm]int{}
	for _, v := range c.fronts {
		misses[v] = 2
	}
	for {
		for _, v := range c.fronts {
			response, err := probes.Get("http://" + v.at(readyPort).String() + "/coriandershift/ready")
			if err == nil {
				response.Body.Close()
			}
			if err == nil && response.StatusCode == http.StatusOK {
				misses[v] = 0
			} else {
				misses[v]++
			}
		}
		var rotation []*vm
		for _, v := range c.fronts {
			if misses[v] < 2 {
				rotation = append(rotation, v)
			}
		}
		if 2*len(rotation) < len(c.fronts) {
			rotation = c.fronts
		}
		c.mu.Lock()
		c.rotation = rotation
		c.mu.Unlock()
		select {
		case <-c.stop:
			return
		case <-time.After(500 * time.Millisecond):
		}
	}
}

func (c *client) send(p *packet) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.rotation) == 0 {
		return
	}
	_, _ = c.conn.WriteToUDPAddrPort(p.encode(), c.route(p.src, p.dst).at(datagramPort))
}

// route returns the node that the router selects; hash is mod. c.mu is held.
func (c *client) route(src, dst endpoint) *vm {
	h := fnv.New32a()
	_, _ = h.Write([]byte{src.ip[2], src.ip[3], byte(src.port >> 8), byte(src.port), dst.ip[3], byte(dst.port >> 8), byte(dst.port)})
	return c.rotation[int(h.Sum32()%uint32(len(c.rotation)))]
}

// outOfRotation reports whether the router doesn't select a node.
func (c *client) outOfRotation(v *vm) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !slices.Contains(c.rotation, v)
}

// resets counts the resets that came with no flow, or outside the window of an open one.
var strayResets struct {
	sync.Mutex
	count int
}

func (c *client) handle(p *packet) {
	ownReset := p.flags == flagRst && p.raw[0]|p.raw[1]|p.raw[2]|p.raw[3] == 0 && len(p.data) == 0
	if !ownReset && !intact(p.raw) {
		note("client: a packet that its sender didn't write so, flags %d", p.flags)
		return
	}
	c.mu.Lock()
	f := c.flows[p.dst.port]
	c.mu.Unlock()
	if f == nil || p.src != f.service {
		return
	}
	select {
	case f.packets <- p:
	default:
	}
}

// clientFlow is one flow. It is not safe for concurrent use.
type clientFlow struct {
	c            *client
	self         endpoint
	service      endpoint
	packets      chan *packet
	seq, ack     uint32
	open         bool
	target       string // the ID of the target that answered
	lastResetSeq uint32
}

func (c *client) newFlow(route netip.AddrPort) *clientFlow {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.port++
	f := &clientFlow{
		c: c, self: endpoint{c.ip.As4(), c.port}, service: endpointOf(route), packets: make(chan *packet, 64), seq: rand.Uint32(),
	}
	c.flows[c.port] = f
	return f
}

// router returns the node that the router selects for the flow now.
func (f *clientFlow) router() *vm {
	f.c.mu.Lock()
	defer f.c.mu.Unlock()
	return f.c.route(f.self, f.service)
}

func (f *clientFlow) close() {
	f.c.mu.Lock()
	defer f.c.mu.Unlock()
	delete(f.c.flows, f.self.port)
}

func (f *clientFlow) write(p *packet) {
	p.src, p.dst = f.self, f.service
	f.c.send(p)
}

// connect opens the flow.
func (f *clientFlow) connect() error {
	deadline := time.After(openTimeout)
	retry := time.After(0)
	for sent := uint32(0); ; {
		select {
		case <-deadline:
			f.close()
			return errNotOpened
		case <-retry:
			f.write(&packet{flags: flagSyn, seq: f.seq, ack: sent})
			retry = nil
			if sent++; sent == 1 {
				retry = time.After(200 * time.Millisecond)
			} else if sent == 2 {
				retry = time.After(400 * time.Millisecond)
			}
		case p := <-f.packets:
			if p.has(flagRst) {
				f.close()
				return errRefused
			}
			if p.has(flagSyn) && p.has(flagAck) {
				f.seq++
				f.ack = p.seq + 1
				f.open = true
				f.write(&packet{flags: flagAck, seq: f.seq, ack: f.ack})
				return nil
			}
		}
	}
}

// request sends a request on the open flow and returns the ID of the target that answered.
func (f *clientFlow) request(id string, timeout time.Duration) error {
	deadline := time.After(timeout)
	retry := time.After(0)
	delay := firstRetransmit
	for {
		select {
		case <-deadline:
			return errDeadline
		case <-retry:
			f.write(&packet{flags: flagAck, seq: f.seq, ack: f.ack, data: []byte(id)})
			retry = time.After(delay)
			delay = min(2*delay, lastRetransmit)
		case p := <-f.packets:
			switch {
			case p.has(flagRst):
				if d := p.seq - f.ack; d > resetWindow && -d > resetWindow {
					strayResets.Lock()
					strayResets.count++
					strayResets.Unlock()
					continue // not within the window: ignored
				}
				f.lastResetSeq = p.seq
				f.close()
				return errReset
			case len(p.data) > 0 && p.seq == f.ack:
				f.ack += uint32(len(p.data))
				f.seq += uint32(len(id))
				f.write(&packet{flags: flagAck, seq: f.seq, ack: f.ack})
				answered, target, _ := strings.Cut(string(p.data), " ")
				if answered != id {
					return errors.New("the answer to another request: " + string(p.data))
				}
				f.target = target
				return nil
			case len(p.data) > 0:
				f.write(&packet{flags: flagAck, seq: f.seq, ack: f.ack})
			}
		}
	}
}
