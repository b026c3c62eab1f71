package h3agt

import (
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
	"github.com/pkg/errors"

	"github.com/coriandershift/coriandershift/internal/coordination/accept"
	"github.com/coriandershift/coriandershift/internal/protocol/encap"
	"github.com/coriandershift/coriandershift/internal/protocol/header"
	"github.com/coriandershift/coriandershift/internal/state/connid"
	"github.com/coriandershift/coriandershift/internal/transport/metric"
)

const (
	maxDatagram   = 2048 // bytes
	addrCacheSize = 8192 // callerAddr values kept, so that most datagrams need not allocate one
)

var errNoBalancer = errors.New("no datagram has come from any balancer")

// callerAddr is the net.Addr of a caller, with the index of the service's
// address that the caller uses.
type callerAddr struct {
	caller       netip.AddrPort
	addressIndex uint8
	text         string // caller as a string
}

// Network returns "udp".
func (a *callerAddr) Network() string { return "udp" }

// String returns the caller's IP address and port.
func (a *callerAddr) String() string { return a.text }

type addrKey struct {
	caller       netip.AddrPort
	addressIndex uint8
}

// packetConn is the net.PacketConn below QUIC. Callers' datagrams arrive
// encapsulated from balancers, and answers return through balancers. ReadFrom
// must be called from one goroutine only.
type packetConn struct {
	socket        *net.UDPConn
	codec         *encap.Codec
	connectionIDs *connid.Codec
	metrics       *metric.Set
	returnPaths   *returnPaths

	handleControl func(datagram []byte)

	// acceptsFlows reports whether the agent takes a new flow now.
	acceptsFlows func() bool

	// serviceNumber returns the number of the agent's service, 0 if it is not configured.
	serviceNumber func() uint32

	// decisions holds for each first connection ID, the one that the caller chose,
	// whether this agent takes the flow.
	decisions    *accept.Table
	addrCache    *simplelru.LRU[addrKey, *callerAddr]
	readBuffer   [maxDatagram]byte
	writeBuffers sync.Pool
}

var _ net.PacketConn = (*packetConn)(nil)

// newPacketConn makes the caches and buffers of c, whose other fields are set, and returns c.
func newPacketConn(c *packetConn) *packetConn {
	addrs, err := simplelru.NewLRU[addrKey, *callerAddr](addrCacheSize, nil)
	if err != nil {
		panic(err) // only a size below 1 fails
	}
	c.returnPaths = newReturnPaths()
	c.decisions = accept.New()
	c.addrCache = addrs
	c.writeBuffers.New = func() any {
		buffer := make([]byte, 0, maxDatagram)
		return &buffer
	}
	return c
}

// ReadFrom returns the payload of the next datagram for QUIC. It handles
// control datagrams and passes on flows that this agent does not take.
func (c *packetConn) ReadFrom(p []byte) (int, net.Addr, error) {
	for {
		length, from, err := c.socket.ReadFromUDPAddrPort(c.readBuffer[:])
		if err != nil {
			return 0, nil, err
		}

		datagram := c.readBuffer[:length]
		if length > 0 && encap.Kind(datagram[0]) == encap.Control {
			c.handleControl(datagram)
			continue
		}

		payload, addr := c.receive(from, datagram)
		if payload != nil {
			return copy(p, payload), addr, nil
		}
	}
}

// WriteTo sends a datagram to a caller through a balancer. It returns
// errNoBalancer if none is known. A datagram that the socket refuses counts as
// lost and gives no error.
func (c *packetConn) WriteTo(p []byte, to net.Addr) (int, error) {
	addr, ok := to.(*callerAddr)
	if !ok {
		return 0, errors.Errorf("address %s is not that of a caller", to)
	}

	balancer, ok := c.returnPaths.choose(addr.caller, time.Now())
	if !ok {
		return 0, errNoBalancer
	}

	e := encap.Envelope{Kind: encap.Answer, ServiceNumber: c.serviceNumber(), AddressIndex: addr.addressIndex, Caller: addr.caller}
	buffer := c.writeBuffers.Get().(*[]byte)
	defer c.writeBuffers.Put(buffer)
	*buffer = c.codec.Append((*buffer)[:0], &e, p)
	if _, err := c.socket.WriteToUDPAddrPort(*buffer, balancer); err != nil {
		c.countDrop("answerNotSent")
	}
	return len(p), nil
}

// Close closes the socket.
func (c *packetConn) Close() error { return c.socket.Close() }

// LocalAddr returns the address of the socket.
func (c *packetConn) LocalAddr() net.Addr { return c.socket.LocalAddr() }

// SetDeadline sets the deadline of reads and writes.
func (c *packetConn) SetDeadline(t time.Time) error { return c.socket.SetDeadline(t) }

// SetReadDeadline sets the deadline of reads.
func (c *packetConn) SetReadDeadline(t time.Time) error { return c.socket.SetReadDeadline(t) }

// SetWriteDeadline sets the deadline of writes.
func (c *packetConn) SetWriteDeadline(t time.Time) error { return c.socket.SetWriteDeadline(t) }

// SetReadBuffer sets the size of the kernel's receive buffer, in bytes.
func (c *packetConn) SetReadBuffer(bytes int) error { return c.socket.SetReadBuffer(bytes) }

// SetWriteBuffer sets the size of the kernel's send buffer, in bytes.
func (c *packetConn) SetWriteBuffer(bytes int) error { return c.socket.SetWriteBuffer(bytes) }

// receive decapsulates a datagram from a balancer or another agent. It returns
// a nil payload if the datagram is dropped or passed on.
func (c *packetConn) receive(from netip.AddrPort, datagram []byte) ([]byte, *callerAddr) {
	e, payload, err := c.codec.Open(datagram)
	if err != nil || e.Kind == encap.Answer {
		c.countDrop(encap.RefusalReason(err))
		return nil, nil
	}

	if own := c.serviceNumber(); own == 0 || e.ServiceNumber != own {
		c.countDrop("wrongService")
		return nil, nil
	}

	packet, err := header.Parse(payload)
	if err != nil {
		c.countDrop(header.RefusalReason(err))
		return nil, nil
	}

	if e.Kind == encap.Forward {
		e.Balancer = netip.AddrPortFrom(from.Addr().Unmap(), from.Port())
	}
	c.returnPaths.record(e.Balancer, time.Now())
	if packet.MayOpenFlow && c.passFlowOn(&e, packet, payload) {
		return nil, nil
	}
	return payload, c.callerAddr(&e)
}

// passFlowOn sends a datagram that may open a flow to the next agent in its
// ranks, or returns false if this agent takes the flow. A datagram that cannot
// be sent counts as dropped.
func (c *packetConn) passFlowOn(e *encap.Envelope, packet header.Packet, payload []byte) bool {
	if _, err := c.connectionIDs.Open(packet.DestinationID); err == nil {
		return false // an agent issued this ID: the flow has been taken and its handshake goes on
	}

	decision := c.decisions.Decide(time.Now(), packet.DestinationID, e.Ranks[:e.RankCount], c.acceptsFlows())
	if decision.Accept {
		return false
	}

	next := *e
	next.Kind = encap.PassedOn
	next.RankCount = copy(next.Ranks[:], e.Ranks[min(1, e.RankCount):e.RankCount])
	if _, err := c.socket.WriteToUDPAddrPort(c.codec.Append(nil, &next, payload), decision.NextAgent); err != nil {
		c.countDrop("handOnNotSent")
		return true
	}
	c.metrics.Datagrams.WithLabelValues("handedOn").Inc()
	return true
}

// callerAddr returns the cached address of the envelope's caller, or a new one.
func (c *packetConn) callerAddr(e *encap.Envelope) *callerAddr {
	key := addrKey{caller: e.Caller, addressIndex: e.AddressIndex}
	if addr, ok := c.addrCache.Get(key); ok {
		return addr
	}
	addr := &callerAddr{caller: e.Caller, addressIndex: e.AddressIndex, text: e.Caller.String()}
	c.addrCache.Add(key, addr)
	return addr
}

func (c *packetConn) countDrop(reason string) {
	c.metrics.DroppedDatagrams.WithLabelValues(reason).Inc()
}
