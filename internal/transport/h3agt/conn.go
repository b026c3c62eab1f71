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
	maxDatagram = 2048 // bytes
	knownAddrs  = 8192 // addresses kept to avoid making them anew
)

var errNoBalancer = errors.New("no balancer has been heard")

// callerAddr is a caller's address together with the service's address that it uses.
type callerAddr struct {
	caller  netip.AddrPort
	address uint8
	text    string
}

// Network returns "udp".
func (a *callerAddr) Network() string { return "udp" }

// String returns the caller's IP address and port.
func (a *callerAddr) String() string { return a.text }

type addrKey struct {
	caller  netip.AddrPort
	address uint8
}

// packetConn is the net.PacketConn under QUIC: callers' datagrams arrive
// through balancers and answers leave through them. ReadFrom must be called
// from one goroutine only.
type packetConn struct {
	socket  *net.UDPConn
	codec   *encap.Codec
	ids     *connid.Codec
	metrics *metric.Set
	paths   *paths

	// control handles control datagrams.
	control func(datagram []byte)

	// mayTake reports whether a new flow would be taken; service is the number of the agent's own service, 0 if not yet known.
	mayTake func() bool
	service func() uint32

	flights *accept.Table
	addrs   *simplelru.LRU[addrKey, *callerAddr]
	buffer  [maxDatagram]byte
	writes  sync.Pool
}

var _ net.PacketConn = (*packetConn)(nil)

func newPacketConn(c *packetConn) *packetConn {
	addrs, err := simplelru.NewLRU[addrKey, *callerAddr](knownAddrs, nil)
	if err != nil {
		panic(err) // only a size below 1 fails
	}
	c.paths = newPaths()
	c.flights = accept.New()
	c.addrs = addrs
	c.writes.New = func() any {
		buffer := make([]byte, 0, maxDatagram)
		return &buffer
	}
	return c
}

// ReadFrom returns the next datagram of a flow that this agent takes.
func (c *packetConn) ReadFrom(p []byte) (int, net.Addr, error) {
	for {
		length, from, err := c.socket.ReadFromUDPAddrPort(c.buffer[:])
		if err != nil {
			return 0, nil, err
		}

		datagram := c.buffer[:length]
		if length > 0 && encap.Kind(datagram[0]) == encap.Control {
			c.control(datagram)
			continue
		}

		payload, addr := c.accept(from, datagram)
		if payload != nil {
			return copy(p, payload), addr, nil
		}
	}
}

// WriteTo sends a datagram to a caller through a balancer.
func (c *packetConn) WriteTo(p []byte, to net.Addr) (int, error) {
	addr, ok := to.(*callerAddr)
	if !ok {
		return 0, errors.Errorf("address %s is not a caller's", to)
	}

	balancer, ok := c.paths.choose(addr.caller, time.Now())
	if !ok {
		return 0, errNoBalancer
	}

	e := encap.Envelope{Kind: encap.Answer, ServiceNumber: c.service(), AddressIndex: addr.address, Caller: addr.caller}
	buffer := c.writes.Get().(*[]byte)
	defer c.writes.Put(buffer)
	*buffer = c.codec.Append((*buffer)[:0], &e, p)
	if _, err := c.socket.WriteToUDPAddrPort(*buffer, balancer); err != nil {
		c.drop("answerNotSent")
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

// SetReadBuffer sets the size of the kernel's buffer, in bytes.
func (c *packetConn) SetReadBuffer(bytes int) error { return c.socket.SetReadBuffer(bytes) }

// SetWriteBuffer sets the size of the kernel's buffer, in bytes.
func (c *packetConn) SetWriteBuffer(bytes int) error { return c.socket.SetWriteBuffer(bytes) }

// accept returns the payload of a datagram for QUIC, or nil if there is none.
func (c *packetConn) accept(from netip.AddrPort, datagram []byte) ([]byte, *callerAddr) {
	e, payload, err := c.codec.Open(datagram)
	if err != nil || e.Kind == encap.Answer {
		c.drop(encap.RefusalReason(err))
		return nil, nil
	}

	if own := c.service(); own == 0 || e.ServiceNumber != own {
		c.drop("wrongService")
		return nil, nil
	}

	packet, err := header.Parse(payload)
	if err != nil {
		c.drop(header.RefusalReason(err))
		return nil, nil
	}

	if e.Kind == encap.Forward {
		e.Balancer = netip.AddrPortFrom(from.Addr().Unmap(), from.Port())
	}
	c.paths.note(e.Balancer, time.Now())
	if packet.MayOpenFlow && c.handsOn(&e, packet, payload) {
		return nil, nil
	}
	return payload, c.addrOf(&e)
}

// handsOn hands a first datagram to the next agent if this one may not take its flow.
func (c *packetConn) handsOn(e *encap.Envelope, packet header.Packet, payload []byte) bool {
	if _, err := c.ids.Open(packet.DestinationID); err == nil {
		return false // the handshake has gone on with our own connection ID
	}

	d := c.flights.Decide(time.Now(), packet.DestinationID, e.Ranks[:e.RankCount], c.mayTake())
	if d.Accept {
		return false
	}

	next := *e
	next.Kind = encap.HandedOn
	next.RankCount = copy(next.Ranks[:], e.Ranks[min(1, e.RankCount):e.RankCount])
	if _, err := c.socket.WriteToUDPAddrPort(c.codec.Append(nil, &next, payload), d.NextAgent); err != nil {
		c.drop("handOnNotSent")
		return true
	}
	c.metrics.Datagrams.WithLabelValues("handedOn").Inc()
	return true
}

func (c *packetConn) addrOf(e *encap.Envelope) *callerAddr {
	key := addrKey{caller: e.Caller, address: e.AddressIndex}
	if addr, ok := c.addrs.Get(key); ok {
		return addr
	}
	addr := &callerAddr{caller: e.Caller, address: e.AddressIndex, text: e.Caller.String()}
	c.addrs.Add(key, addr)
	return addr
}

func (c *packetConn) drop(reason string) {
	c.metrics.DroppedDatagrams.WithLabelValues(reason).Inc()
}
