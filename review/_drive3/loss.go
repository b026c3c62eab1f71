package main

import (
	"net"
	"net/netip"
	"sync"
	"time"
)

// lossyLink is the way of other machines' datagrams and connections to one machine, whose
// process is reached at another address than the one it listens at.
type lossyLink struct {
	conn     *net.UDPConn
	tcp      *proxy
	listener net.Listener

	mu      sync.Mutex
	dropped map[netip.Addr]int // datagrams by sender
	from    map[netip.Addr]bool
	until   time.Time
}

// startLossyLink forwards what arrives at an address to another one.
func startLossyLink(at, to netip.AddrPort) (*lossyLink, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(at))
	if err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp4", at.String())
	if err != nil {
		conn.Close()
		return nil, err
	}
	l := &lossyLink{conn: conn, listener: listener, dropped: map[netip.Addr]int{}, from: map[netip.Addr]bool{}}
	l.tcp = &proxy{listener: listener, target: to, healed: make(chan struct{})}
	close(l.tcp.healed)
	go l.tcp.serve()
	go func() {
		buffer := make([]byte, 4096)
		for {
			n, sender, err := conn.ReadFromUDPAddrPort(buffer)
			if err != nil {
				return
			}
			if !l.loses(sender.Addr()) {
				_, _ = conn.WriteToUDPAddrPort(buffer[:n], to) // a datagram may be lost
			}
		}
	}()
	return l, nil
}

// loseFrom has datagrams of some senders lost for a time.
func (l *lossyLink) loseFrom(d time.Duration, senders ...netip.Addr) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, s := range senders {
		l.from[s] = true
	}
	l.until = time.Now().Add(d)
}

func (l *lossyLink) loses(sender netip.Addr) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.from[sender] || time.Now().After(l.until) {
		return false
	}
	l.dropped[sender]++
	return true
}

func (l *lossyLink) close() {
	l.conn.Close()
	l.listener.Close()
}
