package ctrl

import (
	"net"
	"net/netip"

	"github.com/pkg/errors"

	"github.com/coriandershift/coriandershift/internal/protocol/encap"
)

// MaxDatagram holds the longest packet of a flow in its longest envelope, in bytes.
const MaxDatagram = 2048

// ReadDatagrams reads the socket until it fails. Control datagrams are handled, all others
// go to handle, which must not keep them.
func (l *Plane) ReadDatagrams(handle func(datagram []byte)) error {
	buffer := make([]byte, MaxDatagram)
	for {
		count, _, err := l.conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return errors.Wrap(err, "read from the other processes")
		}
		if count > 0 && buffer[0] == byte(encap.Control) {
			l.HandleControl(buffer[:count])
			continue
		}
		handle(buffer[:count])
	}
}

// WriteDatagram sends a datagram from a socket, the link's own or another of the process.
// One that cannot be sent is counted, as the network might have lost it too.
func (l *Plane) WriteDatagram(conn *net.UDPConn, datagram []byte, to netip.AddrPort) {
	if _, err := conn.WriteToUDPAddrPort(datagram, to); err != nil {
		l.metrics.DroppedDatagrams.WithLabelValues("writeFailed").Inc()
		l.log.Debug("datagram not sent", "to", to, "error", err)
	}
}
