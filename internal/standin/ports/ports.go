// Package ports hands out loopback ports to tests, below the range from which
// the kernel gives ports to sockets that ask for none, so that no other socket
// of the test takes one before it is used.
package ports

import (
	"net"
	"net/netip"
	"os"
	"sync/atomic"

	"github.com/pkg/errors"
)

const (
	first     = 20000
	ofProcess = 200 // ports of one process
	processes = 60  // that can run at once without meeting

	tries = ofProcess
)

var next atomic.Uint32

// FreeUDP returns a free UDP port of 127.0.0.1 that was not handed out before.
func FreeUDP() (netip.AddrPort, error) {
	base := first + os.Getpid()%processes*ofProcess
	for range tries {
		port := base + int(next.Add(1))%ofProcess
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
