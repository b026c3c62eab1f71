package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// heartbeat is the time between two heartbeats of a target (heartbeatMs).
const heartbeat = 770 * time.Millisecond

// target is one incarnation of a target beside an agent. It answers the request "ID"
// with "ID ok".
type target struct {
	id      string
	born    int64 // as it says of itself, in Unix milliseconds
	service string
	vm      *vm
	slots   int
	work    time.Duration
	warmUp  time.Duration
	record  *record
	started time.Time

	conn   *net.UDPConn
	health *http.Server
	client http.Client
	stop   context.CancelFunc

	mu      sync.Mutex
	state   string
	seq     uint64
	flows   map[key]*served
	runs    map[string]int
	running int
	waiting []func()
	opened  []time.Time // when opening packets of new flows came
	altered int         // packets that were not as their sender wrote them
	resets  map[key]bool
	acked   int // heartbeats
	ended   bool
}

// served is the target's end of a flow.
type served struct {
	start, next uint32 // own first and next sequence number
	clientStart uint32
	taken       time.Time // when the opening packet came
	expected    uint32    // next byte of the client
	open        time.Time
	answer      []byte
	finished    bool
}

// startTarget starts a target at its VM's addresses.
func startTarget(r *record, v *vm, id string, born int64, slots int, work, warmUp time.Duration) (*target, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(v.at(appPort)))
	if err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp4", v.at(appPort).String())
	if err != nil {
		conn.Close()
		return nil, err
	}
	ctx, stop := context.WithCancel(context.Background())
	t := &target{
		id: id, born: born, service: v.service, vm: v, slots: slots, work: work, warmUp: warmUp, record: r, started: time.Now(),
		conn: conn, client: http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}, stop: stop,
		state: "ready", flows: map[key]*served{}, runs: map[string]int{}, resets: map[key]bool{},
	}
	t.health = &http.Server{Handler: http.HandlerFunc(t.serveHealth)}
	go func() { _ = t.health.Serve(listener) }()
	go receive(conn, t.handle)
	go t.beat(ctx)
	r.log("target %s starts on %s, born %d", id, v.name, born)
	return t, nil
}

func (t *target) serveHealth(w http.ResponseWriter, _ *http.Request) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.state != "ready" {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// crash ends the target without a word.
func (t *target) crash() {
	t.mu.Lock()
	t.ended = true
	t.mu.Unlock()
	t.stop()
	t.conn.Close()
	t.health.Close()
	t.record.log("target %s on %s crashes", t.id, t.vm.name)
}

// body returns the body of the next heartbeat.
func (t *target) body() map[string]any {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.seq++
	return map[string]any{
		"service": t.service, "address": t.vm.at(appPort).String(), "zone": t.vm.zone, "version": "v1", "slots": t.slots, "state": t.state,
		"warmupLeftMs": max(0, (t.warmUp - time.Since(t.started)).Milliseconds()), "seq": t.seq, "born": t.born,
	}
}

func (t *target) sendBeat() error { return putBeat(&t.client, t.vm, t.id, t.body()) }

// putBeat sends a heartbeat to a VM's agent.
func putBeat(client *http.Client, v *vm, id string, body map[string]any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return err
	}
	url := "http://" + v.at(controlPort).String() + "/coriandershift/instances/" + id
	request, err := http.NewRequest(http.MethodPut, url, strings.NewReader(string(data)))
	if err != nil {
		return err
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := client.Do(request)
	if err != nil {
		return err
	}
	response.Body.Close()
	if response.StatusCode/100 != 2 {
		return errors.New(response.Status)
	}
	return nil
}

func (t *target) beat(ctx context.Context) {
	for ctx.Err() == nil {
		if t.sendBeat() == nil {
			t.mu.Lock()
			t.acked++
			t.mu.Unlock()
		}
		select {
		case <-ctx.Done():
		case <-time.After(heartbeat):
		}
	}
}

func (t *target) handle(p *packet) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.ended {
		return
	}
	if !p.intact() {
		t.altered++
		return
	}
	k := key{p.src, p.dst}
	f := t.flows[k]
	switch {
	case p.is(flagSyn):
		if f == nil || f.clientStart != p.seq {
			f = &served{start: rand.Uint32(), clientStart: p.seq, taken: time.Now(), expected: p.seq + 1}
			f.next = f.start + 1
			t.flows[k] = f
			t.opened = append(t.opened, time.Now())
		}
		if f.open.IsZero() {
			t.send(k, &packet{flags: flagSyn | flagAck, seq: f.start, ack: f.expected})
		}
	case f == nil || p.is(flagAck) && p.ack-f.start > f.next-f.start:
		t.bounce(p)
	case p.is(flagRst):
		delete(t.flows, k)
	default:
		if f.open.IsZero() {
			f.open = time.Now()
		}
		t.receiveData(k, f, p)
	}
}

func (t *target) receiveData(k key, f *served, p *packet) {
	switch {
	case f.finished && len(p.data) > 0:
		t.resets[k] = true
		t.send(k, &packet{flags: flagRst | flagAck, seq: f.next, ack: f.expected})
	case len(p.data) > 0 && p.seq != f.expected:
		if f.answer != nil {
			t.send(k, &packet{flags: flagAck, seq: f.next - uint32(len(f.answer)), ack: f.expected, data: f.answer})
		}
	case len(p.data) > 0:
		f.expected += uint32(len(p.data))
		f.answer = nil
		t.run(k, f, string(p.data))
	case p.is(flagFin):
		if !f.finished {
			f.finished = true
			f.expected = p.seq + 1
			t.send(k, &packet{flags: flagAck | flagFin, seq: f.next, ack: f.expected})
			f.next++
			return
		}
		t.send(k, &packet{flags: flagAck, seq: f.next, ack: f.expected})
	}
}

// run works on a request, or queues it while all slots are taken.
func (t *target) run(k key, f *served, id string) {
	start := func() {
		t.running++
		t.runs[id]++
		t.record.log("run %s at %s", id, t.id)
		time.AfterFunc(t.work, func() {
			t.mu.Lock()
			defer t.mu.Unlock()
			t.running--
			if len(t.waiting) > 0 {
				next := t.waiting[0]
				t.waiting = t.waiting[1:]
				next()
			}
			if t.ended {
				return
			}
			f.answer = []byte(id + " ok")
			t.send(k, &packet{flags: flagAck, seq: f.next, ack: f.expected, data: f.answer})
			f.next += uint32(len(f.answer))
		})
	}
	if t.running >= t.slots {
		t.waiting = append(t.waiting, start)
		return
	}
	start()
}

func (t *target) send(k key, p *packet) {
	p.src, p.dst = k.route, k.client
	t.write(encode(p))
}

func (t *target) bounce(p *packet) {
	raw := append([]byte(nil), p.raw...)
	raw[30] |= flagBounced
	t.write(raw)
}

func (t *target) write(raw []byte) {
	_, _ = t.conn.WriteToUDPAddrPort(raw, t.vm.at(outboundPort))
}

// hasOpen reports whether the target holds a flow that is open, and since when.
func (t *target) hasOpen(k key) (time.Time, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	f := t.flows[k]
	if t.ended || f == nil || f.open.IsZero() || f.finished {
		return time.Time{}, false
	}
	return f.open, true
}

func (t *target) sentReset(k key) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.resets[k]
}

func newID() string { return fmt.Sprintf("i-%08x", rand.Uint32()) }
