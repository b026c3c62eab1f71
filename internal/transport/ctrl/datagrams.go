package ctrl

import (
	"net"
	"net/netip"

	"github.com/pkg/errors"

	"github.com/coriandershift/coriandershift/internal/protocol/encap"
)

// MaxDatagram is the size in bytes of a buffer that holds the longest packet of a flow
// in its longest envelope.
const MaxDatagram = 2048

// ObserveDatagrams has observe called with the length of each control datagram that is
// sent or received, the latter after it was read. It must be called before Run and
// ReadDatagrams.
func (p *Plane) ObserveDatagrams(observe func(sent bool, length int)) {
	p.observeDatagram = observe
}

// ReadDatagrams reads datagrams from the socket until that fails. It handles control
// datagrams itself and passes the others to handle, which must not retain them.
func (p *Plane) ReadDatagrams(handle func(datagram []byte)) error {
	buffer := make([]byte, MaxDatagram)
	for {
		count, _, err := p.conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return errors.Wrap(err, "read from the internal socket")
		}
		if count > 0 && buffer[0] == byte(encap.Control) {
			p.HandleControl(buffer[:count])
			continue
		}
		handle(buffer[:count])
	}
}

// WriteDatagram sends a datagram from conn, which may be any socket of the process. A
// failure is only counted and logged, since the network may lose datagrams as well.
func (p *Plane) WriteDatagram(conn *net.UDPConn, datagram []byte, to netip.AddrPort) {
	if _, err := conn.WriteToUDPAddrPort(datagram, to); err != nil {
		p.metrics.DroppedDatagrams.WithLabelValues("writeFailed").Inc()
		p.log.Debug("datagram not sent", "to", to, "error", err)
	}
}
