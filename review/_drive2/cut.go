package main

import (
	"fmt"
	"io"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// network is the links between the machines of a fleet: what a machine sends to another
// one's advertised address passes through a proxy that may drop it. Addresses of group 1
// and 2 are the machines' own, those of group 5 and 6 the advertised ones.
type network struct {
	fleet *fleet
	zones map[netip.Addr]string // by own address

	// cut has the pairs of zones from which and to which nothing passes.
	mu  sync.Mutex
	cut map[[2]string]bool

	dropped, held atomic.Int64
}

func (n *network) passes(from, to string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return !n.cut[[2]string{from, to}]
}

func (n *network) set(from, to string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[[2]string{from, to}] = cut
}

// newNetwork starts the proxies of all machines of a fleet.
func newNetwork(f *fleet) (*network, error) {
	n := &network{fleet: f, zones: map[netip.Addr]string{}, cut: map[[2]string]bool{}}
	for _, v := range f.machines() {
		n.zones[v.ip] = v.zone
	}
	for _, v := range f.machines() {
		address := netip.AddrPortFrom(v.advertised, internalPort)
		conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
		if err != nil {
			return nil, err
		}
		_ = conn.SetReadBuffer(1 << 20)
		listener, err := net.Listen("tcp4", address.String())
		if err != nil {
			return nil, err
		}
		go n.forward(conn, v)
		go n.accept(listener, v)
	}
	return n, nil
}

func (n *network) forward(conn *net.UDPConn, to *vm) {
	buffer := make([]byte, 4096)
	for {
		count, from, err := conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		if !n.passes(n.zones[from.Addr()], to.zone) {
			n.dropped.Add(1)
			continue
		}
		_, _ = conn.WriteToUDPAddrPort(buffer[:count], to.at(internalPort))
	}
}

func (n *network) accept(listener net.Listener, to *vm) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go n.relay(conn, to)
	}
}

// relay passes a connection on, or leaves it without an answer while the link is cut.
func (n *network) relay(conn net.Conn, to *vm) {
	defer conn.Close()
	from := n.ownerOf(conn.RemoteAddr().(*net.TCPAddr).Port)
	if from == nil {
		n.fleet.record.log("a connection to %s has an unknown sender", to.name)
	}
	if from != nil && !n.passes(from.zone, to.zone) {
		n.held.Add(1)
		n.fleet.record.log("%s connects to %s over the cut link", from.name, to.name)
		_, _ = io.Copy(io.Discard, conn) // until the sender gives up
		return
	}
	back, err := net.DialTimeout("tcp4", to.at(internalPort).String(), time.Second)
	if err != nil {
		return
	}
	defer back.Close()
	go func() {
		_, _ = io.Copy(back, conn)
		_ = back.(*net.TCPConn).CloseWrite()
	}()
	_, _ = io.Copy(conn, back)
}

// ownerOf returns the machine whose process has a connection with a local port, nil if
// that is not found. Connections over the loopback interface do not tell their sender.
func (n *network) ownerOf(port int) *vm {
	table, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return nil
	}
	suffix := fmt.Sprintf(":%04X", port)
	inodes := map[string]bool{}
	for _, line := range strings.Split(string(table), "\n") {
		fields := strings.Fields(line)
		if len(fields) > 9 && strings.HasSuffix(fields[1], suffix) && fields[9] != "0" {
			inodes["socket:["+fields[9]+"]"] = true
		}
	}
	for _, v := range n.fleet.machines() {
		if v.command == nil {
			continue
		}
		folder := fmt.Sprintf("/proc/%d/fd", v.command.Process.Pid)
		entries, _ := os.ReadDir(folder)
		for _, e := range entries {
			if link, err := os.Readlink(filepath.Join(folder, e.Name())); err == nil && inodes[link] {
				return v
			}
		}
	}
	return nil
}
