// Package ports allocates loopback ports for tests. They lie below the kernel's
// ephemeral port range, so that no socket bound to port 0 takes one before the
// test uses it.
package ports

import (
	"net"
	"net/netip"
	"os"
	"sync/atomic"

	"github.com/pkg/errors"
)

const (
	firstPort       = 20000
	portsPerProcess = 200
	portRanges      = 60 // the process ID selects one, so that concurrent processes rarely share ports

	maxTries = portsPerProcess
)

var lastOffset atomic.Uint32

// FreeUDP returns a free UDP port of 127.0.0.1. It goes through the process's ports
// in turn, and fails if none of them is free.
func FreeUDP() (netip.AddrPort, error) {
	base := firstPort + os.Getpid()%portRanges*portsPerProcess
	for range maxTries {
		port := base + int(lastOffset.Add(1))%portsPerProcess
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(port))
		conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
		if err != nil {
			continue
		}
		conn.Close()
		return address, nil
	}
	return netip.AddrPort{}, errors.Errorf("no free UDP port from %d", base)
}
