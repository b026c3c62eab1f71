package main

import (
	"io"
	"net"
	"net/netip"
	"sync"
	"time"
)

// network relays what the machines of the system send to each other. While it is cut, it
// drops what passes between the machines of a group and the others, in both directions.
type network struct {
	mu       sync.Mutex
	machines map[netip.Addr]*vm // by their own address, from which they send
	group    map[*vm]bool       // the machines that are cut off together; nil if none
	crossed  map[*vm]time.Time  // when a balancer last sent a datagram across the cut
	closers  []io.Closer
}

func newNetwork() *network {
	return &network{machines: map[netip.Addr]*vm{}, crossed: map[*vm]time.Time{}}
}

// add puts a relay in front of a machine.
func (n *network) add(v *vm) error {
	at := netip.AddrPortFrom(v.advertised, internalPort)
	udp, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(at))
	if err != nil {
		return err
	}
	tcp, err := net.Listen("tcp4", at.String())
	if err != nil {
		return err
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.machines[v.ip] = v
	n.closers = append(n.closers, udp, tcp)
	go n.relayDatagrams(v, udp)
	go n.relayConnections(v, tcp)
	return nil
}

func (n *network) close() {
	for _, c := range n.closers {
		c.Close()
	}
}

// cut cuts machines off from all others but each other; none ends the cut.
func (n *network) cut(machines ...*vm) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.group = nil
	if len(machines) > 0 {
		n.group = map[*vm]bool{}
		for _, v := range machines {
			n.group[v] = true
		}
	}
}

// lastCrossing returns when a balancer last tried to reach one on the other side.
func (n *network) lastCrossing() time.Time {
	n.mu.Lock()
	defer n.mu.Unlock()
	var last time.Time
	for _, at := range n.crossed {
		if at.After(last) {
			last = at
		}
	}
	return last
}

func (n *network) passes(from netip.Addr, to *vm) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	sender := n.machines[from]
	if n.group == nil || sender == nil || n.group[sender] == n.group[to] {
		return true
	}
	if sender.role == "balancer" && to.role == "balancer" {
		n.crossed[sender] = time.Now()
	}
	return false
}

func (n *network) relayDatagrams(v *vm, conn *net.UDPConn) {
	buffer := make([]byte, 64<<10)
	for {
		count, from, err := conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		if n.passes(from.Addr().Unmap(), v) {
			_, _ = conn.WriteToUDPAddrPort(buffer[:count], v.at(internalPort)) // the process may be down
		}
	}
}

// relayConnections relays connections to a machine that isn't cut off.
func (n *network) relayConnections(v *vm, listener net.Listener) {
	for {
		client, err := listener.Accept()
		if err != nil {
			return
		}
		n.mu.Lock()
		isCut := n.group[v]
		n.mu.Unlock()
		server, err := net.Dial("tcp4", v.at(internalPort).String())
		if err != nil || isCut {
			client.Close()
			if err == nil {
				server.Close()
			}
			continue
		}
		go pipe(server, client)
		go pipe(client, server)
	}
}

func pipe(to, from net.Conn) {
	defer to.Close()
	_, _ = io.Copy(to, from)
}
