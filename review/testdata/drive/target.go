package main

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"time"
)

const (
	beatInterval   = 770 * time.Millisecond // heartbeatMs of the small deployment
	beatRetryDelay = 250 * time.Millisecond // after a heartbeat that nobody acknowledged
	beatTimeout    = time.Second

	firstRetransmit = 200 * time.Millisecond
	lastRetransmit  = 1600 * time.Millisecond
	maxRetransmits  = 8
)

// target is a server beside an agent. It behaves as PROTOCOL.md says.
type target struct {
	vm   *vm
	id   string
	born int64
	work time.Duration

	conn   *net.UDPConn
	tcp    net.Listener
	client http.Client
	stop   chan struct{}

	mu          sync.Mutex
	flows       map[[2]endpoint]*targetFlow
	runs        map[string]int // by the ID of the request
	corrupted   int
	foreign     int // packets of flows that are not held here
	opened      []time.Time
	beat        uint64
	beatsAcked  int
	firstAcked  chan struct{}
	warmup      time.Duration
	state       string
	lastBeatSeq uint64
}

type targetFlow struct {
	start    uint32 // sequence number of the SYN+ACK
	next     uint32 // of the target's stream
	expected uint32 // of the client's stream
	open     bool
	acked    uint32
	answer   []byte
	answerAt uint32
}

// startTarget starts a target on the VM of an agent. warmup is how long it is cold.
func startTarget(v *vm, work, warmup time.Duration) (*target, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(v.at(appPort)))
	if err != nil {
		return nil, err
	}
	tcp, err := net.Listen("tcp4", v.at(appPort).String())
	if err != nil {
		conn.Close()
		return nil, err
	}
	t := &target{
		vm: v, id: fmt.Sprintf("i-%08x", rand.Uint32()), born: time.Now().UnixMilli(), work: work, conn: conn, tcp: tcp,
		client: http.Client{Timeout: beatTimeout}, stop: make(chan struct{}), flows: map[[2]endpoint]*targetFlow{},
		runs: map[string]int{}, firstAcked: make(chan struct{}), warmup: warmup, state: "ready",
	}
	go receive(conn, t.handle)
	go func() { // serves health checks until the listener is closed
		_ = http.Serve(tcp, http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	}()
	go t.announce()
	return t, nil
}

func (t *target) close() {
	close(t.stop)
	t.conn.Close()
	t.tcp.Close()
}

// announce sends heartbeats, the next one sooner if one was not acknowledged.
func (t *target) announce() {
	for {
		delay := beatInterval
		if !t.sendBeat() {
			delay = beatRetryDelay
		}
		select {
		case <-t.stop:
			return
		case <-time.After(delay):
		}
	}
}

func (t *target) sendBeat() bool {
	t.mu.Lock()
	t.beat++
	seq := t.beat
	left := max(0, t.warmup-time.Since(time.UnixMilli(t.born)))
	body, _ := json.Marshal(map[string]any{
		"service": t.vm.service, "address": t.vm.at(appPort).String(), "zone": t.vm.zone, "version": "v1", "slots": 5,
		"state": t.state, "warmupLeftMs": left.Milliseconds(), "seq": seq, "born": t.born,
	})
	t.mu.Unlock()
	request, err := http.NewRequest(http.MethodPut, "http://"+t.vm.at(controlPort).String()+"/coriandershift/instances/"+t.id, strings.NewReader(string(body)))
	if err != nil {
		return false
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := t.client.Do(request)
	if err != nil {
		note("target %s: heartbeat %d not acknowledged", t.id, seq)
		return false
	}
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, response.Body)
	if response.StatusCode/100 != 2 {
		note("target %s: heartbeat %d answered with %s", t.id, seq, response.Status)
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lastBeatSeq = seq
	if t.beatsAcked++; t.beatsAcked == 1 {
		close(t.firstAcked)
	}
	return true
}

func (t *target) send(raw []byte) {
	_, _ = t.conn.WriteToUDPAddrPort(raw, t.vm.at(outboundPort)) // is sent again if it gets lost
}

func (t *target) handle(p *packet) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !intact(p.raw) {
		t.corrupted++
		return
	}
	key := [2]endpoint{p.src, p.dst}
	f := t.flows[key]
	switch {
	case p.has(flagSyn) && p.has(flagAck):
		t.corrupted++
	case p.has(flagSyn):
		t.handleSyn(key, f, p)
	case f == nil, p.has(flagAck) && p.ack-f.start > f.next-f.start:
		t.foreign++
		bounced := append([]byte(nil), p.raw...)
		bounced[30] |= flagBounced
		t.send(bounced)
	default:
		t.handleData(key, f, p)
	}
}

func (t *target) handleSyn(key [2]endpoint, f *targetFlow, p *packet) {
	if f == nil || f.expected != p.seq+1 {
		start := rand.Uint32()
		f = &targetFlow{start: start, next: start + 1, expected: p.seq + 1, acked: start}
		t.flows[key] = f
		t.opened = append(t.opened, time.Now())
		t.retransmit(key, f, f.start+1, &packet{flags: flagSyn | flagAck, seq: f.start, ack: f.expected}, 0)
		return
	}
	t.reply(key, &packet{flags: flagSyn | flagAck, seq: f.start, ack: p.seq + 1})
}

func (t *target) handleData(key [2]endpoint, f *targetFlow, p *packet) {
	if p.has(flagAck) {
		f.open = true
		if int32(p.ack-f.acked) > 0 {
			f.acked = p.ack
		}
	}
	switch {
	case len(p.data) == 0:
	case p.seq == f.expected:
		f.expected += uint32(len(p.data))
		id := string(p.data)
		t.runs[id]++
		time.AfterFunc(t.work, func() {
			t.mu.Lock()
			defer t.mu.Unlock()
			answer := &packet{flags: flagAck, seq: f.next, ack: f.expected, data: []byte(id + " " + t.id)}
			f.next += uint32(len(answer.data))
			t.retransmit(key, f, f.next, answer, 0)
		})
	default:
		t.reply(key, &packet{flags: flagAck, seq: f.next, ack: f.expected})
	}
}

// retransmit sends a packet until until is acknowledged. t.mu is held.
func (t *target) retransmit(key [2]endpoint, f *targetFlow, until uint32, p *packet, sent int) {
	if t.flows[key] != f || int32(f.acked-until) >= 0 || sent > maxRetransmits {
		return
	}
	t.reply(key, p)
	delay := min(firstRetransmit<<sent, lastRetransmit)
	time.AfterFunc(delay, func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		t.retransmit(key, f, until, p, sent+1)
	})
}

func (t *target) reply(key [2]endpoint, p *packet) {
	p.src, p.dst = key[1], key[0]
	t.send(p.encode())
}

// arrivals returns when the opening packets came that the target took.
func (t *target) arrivals() []time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]time.Time(nil), t.opened...)
}

func (t *target) address() netip.AddrPort { return t.vm.at(appPort) }
