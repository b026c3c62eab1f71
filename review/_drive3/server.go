package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"time"
)

// heartbeatInterval is heartbeatMs of the settings in DEPLOY.md.
const heartbeatInterval = 770 * time.Millisecond

// server stands in for a target beside a node. A request is the data of one packet; the
// answer is the same with the server's name.
type server struct {
	name, service, zone    string
	app, outbound, control netip.AddrPort
	work                   time.Duration
	slots                  int
	born                   time.Time

	conn   *net.UDPConn
	health *http.Server
	done   chan struct{}

	mu        sync.Mutex
	coldUntil time.Time
	sequence  int
	flows     map[flowKey]*serverFlow

	// observe is called with each packet of a client that arrives, taken if the flow is held
	// here or opened by it.
	observe func(at time.Time, s *server, key flowKey, p *packet, taken bool)
}

// serverFlow is the server's end of a flow.
type serverFlow struct {
	clientSeq uint32 // of the SYN
	start     uint32 // the own sequence number of the SYN+ACK
	next      uint32 // next byte of the client's stream
	sent      uint32 // next byte of the own stream
	answer    *packet
	ended     bool
}

func startServer(s *server) error {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(s.app))
	if err != nil {
		return err
	}
	listener, err := net.Listen("tcp4", s.app.String())
	if err != nil {
		conn.Close()
		return err
	}
	s.conn, s.born, s.done, s.flows = conn, time.Now(), make(chan struct{}), map[flowKey]*serverFlow{}
	s.health = &http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})}
	go s.health.Serve(listener)
	go receive(conn, s.handle)
	go s.beat()
	return nil
}

func (s *server) stop() {
	close(s.done)
	s.conn.Close()
	s.health.Close()
}

// turnCold makes the server cold for a time from now on. Its next heartbeats say so.
func (s *server) turnCold(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.coldUntil = time.Now().Add(d)
}

// beat sends a heartbeat about every heartbeatInterval.
func (s *server) beat() {
	client := http.Client{Timeout: time.Second}
	for {
		s.mu.Lock()
		s.sequence++
		left := max(0, time.Until(s.coldUntil).Milliseconds())
		body := fmt.Sprintf(`{"service":%q,"address":%q,"zone":%q,"version":"v1","slots":%d,"state":"ready","warmupLeftMs":%d,"seq":%d,"born":%d}`,
			s.service, s.app, s.zone, s.slots, left, s.sequence, s.born.UnixMilli())
		s.mu.Unlock()
		request, _ := http.NewRequest(http.MethodPut, fmt.Sprintf("http://%s/coriandershift/instances/%s", s.control, s.name), strings.NewReader(body))
		request.Header.Set("Content-Type", "application/json")
		if response, err := client.Do(request); err == nil {
			response.Body.Close()
		}
		select {
		case <-s.done:
			return
		case <-time.After(heartbeatInterval):
		}
	}
}

func (s *server) send(p *packet) {
	_, _ = s.conn.WriteToUDPAddrPort(p.encode(), s.outbound) // ends repeat what is lost
}

func (s *server) handle(raw []byte) {
	p, ok := decode(raw)
	if !ok || (p.has(flagOpen) && p.has(flagAck)) {
		return
	}
	now := time.Now()
	key := flowKey{p.src, p.dst}
	s.mu.Lock()
	defer s.mu.Unlock()
	f := s.flows[key]
	if p.opens() {
		if f == nil || f.clientSeq != p.seq {
			f = &serverFlow{clientSeq: p.seq, start: rand.Uint32(), next: p.seq + 1}
			f.sent = f.start + 1
			s.flows[key] = f
		}
		s.observe(now, s, key, &p, true)
		s.send(&packet{src: key.service, dst: key.client, flags: flagOpen | flagAck, seq: f.start, ack: p.seq + 1})
		return
	}
	if f == nil {
		s.observe(now, s, key, &p, false)
		raw[30] |= flagBounced
		_, _ = s.conn.WriteToUDPAddrPort(raw, s.outbound)
		return
	}
	if p.has(flagAck) && p.ack-f.start > f.sent-f.start {
		return // acknowledges what this server has not sent
	}
	s.observe(now, s, key, &p, true)
	switch {
	case f.ended && p.has(flagFinish):
		s.send(&packet{src: key.service, dst: key.client, flags: flagAck, seq: f.sent, ack: p.seq + uint32(len(p.data)) + 1})
	case f.ended && len(p.data) > 0:
		s.send(&packet{src: key.service, dst: key.client, flags: flagReset, seq: f.sent, ack: p.seq})
	case p.has(flagReset):
		f.ended = true
	case len(p.data) > 0 && p.seq == f.next:
		f.next += uint32(len(p.data))
		request := string(p.data)
		time.AfterFunc(s.work, func() { s.respond(key, f, request) })
	case len(p.data) > 0 && f.answer != nil:
		s.send(f.answer) // the request was repeated
	case p.has(flagFinish):
		f.ended = true
		s.send(&packet{src: key.service, dst: key.client, flags: flagAck | flagFinish, seq: f.sent, ack: p.seq + 1})
	}
}

// respond sends the answer to a request.
func (s *server) respond(key flowKey, f *serverFlow, request string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f.answer = &packet{src: key.service, dst: key.client, flags: flagAck, seq: f.sent, ack: f.next, data: []byte(request + " " + s.name)}
	f.sent += uint32(len(f.answer.data))
	s.send(f.answer)
}
