package main

import (
	"bytes"
	"net"
	"net/netip"
	"sync"
	"time"
)

// proxy is the path of one machine to the store.
type proxy struct {
	listener net.Listener
	target   netip.AddrPort

	mu        sync.Mutex
	healed    chan struct{} // closed unless the path is cut
	watchedAt time.Time     // when the machine last began to wait for changes
}

func startProxy(target netip.AddrPort) (*proxy, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: listener, target: target, healed: make(chan struct{})}
	close(p.healed)
	go p.serve()
	return p, nil
}

func (p *proxy) address() netip.AddrPort {
	return netip.MustParseAddrPort(p.listener.Addr().String())
}

// cut holds all bytes back, in silence, until heal is called.
func (p *proxy) cut() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.healed = make(chan struct{})
}

func (p *proxy) heal() {
	p.mu.Lock()
	defer p.mu.Unlock()
	close(p.healed)
}

// waitHealed waits until the path is not cut.
func (p *proxy) waitHealed() {
	p.mu.Lock()
	healed := p.healed
	p.mu.Unlock()
	<-healed
}

// watches reports whether the machine waits for changes at the store.
func (p *proxy) watches() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Since(p.watchedAt) < 3*time.Second
}

func (p *proxy) serve() {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return
		}
		go func() {
			defer client.Close()
			p.waitHealed()
			server, err := net.Dial("tcp4", p.target.String())
			if err != nil {
				return
			}
			defer server.Close()
			go func() {
				p.forward(server, client)
				server.(*net.TCPConn).CloseWrite()
			}()
			p.forward(client, server)
		}()
	}
}

func (p *proxy) forward(to, from net.Conn) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if bytes.HasPrefix(buffer[:n], []byte("GET /coriandershift/kv-watch")) {
			p.mu.Lock()
			p.watchedAt = time.Now()
			p.mu.Unlock()
		}
		p.waitHealed()
		if _, failed := to.Write(buffer[:n]); err != nil || failed != nil {
			return
		}
	}
}
