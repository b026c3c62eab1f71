// Package fabric simulates a network that delivers every packet to a random
// balancer. It rewrites addresses, because on one machine the balancers cannot
// share the services' addresses.
package fabric

import (
	"bytes"
	"context"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

const (
	maxDatagram       = 2048    // bytes
	socketBuffer      = 4 << 20 // bytes
	callerIdleTimeout = 2 * time.Minute
	checkInterval     = 150 * time.Millisecond
	checkTimeout      = 100 * time.Millisecond
)

// Balancer is a balancer that receives traffic from the fabric.
type Balancer struct {
	// Frontend is the IP address that receives the services' datagrams.
	Frontend netip.Addr

	// HealthURL is a URL that answers with status 200 while the balancer accepts traffic.
	HealthURL string
}

// Faults are the network faults applied to datagrams in both directions.
type Faults struct {
	// Loss and Duplicate are the shares of datagrams that are lost or duplicated, 0 to 1.
	Loss      float64
	Duplicate float64

	// Delay is the maximum delay; each datagram is delayed by a random part of it.
	Delay time.Duration
}

// Fabric forwards each datagram to a random healthy balancer.
type Fabric struct {
	log       *slog.Logger
	balancers []*target
	faults    Faults

	mu       sync.Mutex
	services []*service
}

type target struct {
	Balancer

	// up is the result of the last health check.
	up atomic.Bool
}

// New returns a Fabric in front of the balancers.
func New(log *slog.Logger, balancers []Balancer, faults Faults) *Fabric {
	f := &Fabric{log: log, faults: faults}
	for _, b := range balancers {
		f.balancers = append(f.balancers, &target{Balancer: b})
	}
	return f
}

// Serve forwards the datagrams that reach the services' addresses until the context
// ends. It fails if it cannot listen on one of them.
func (f *Fabric) Serve(ctx context.Context, services []netip.AddrPort) error {
	for _, b := range f.balancers {
		go f.check(ctx, b)
	}

	for _, address := range services {
		conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
		if err != nil {
			return errors.Wrapf(err, "listen on %s", address)
		}
		_ = conn.SetReadBuffer(socketBuffer)
		s := &service{fabric: f, address: address, conn: conn, callers: map[netip.AddrPort]*net.UDPConn{}}
		f.mu.Lock()
		f.services = append(f.services, s)
		f.mu.Unlock()
		go s.run()
		go func() {
			<-ctx.Done()
			conn.Close()
		}()
	}

	<-ctx.Done()
	return nil
}

// Rebind gives every caller a new source address towards the balancers, like a NAT
// that loses its mappings.
func (f *Fabric) Rebind() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, s := range f.services {
		s.mu.Lock()
		for caller, conn := range s.callers {
			conn.Close()
			delete(s.callers, caller)
		}
		s.mu.Unlock()
	}
}

// send sends a datagram, subject to the faults.
func (f *Fabric) send(conn *net.UDPConn, datagram []byte, to netip.AddrPort) {
	copies := 1
	if rand.Float64() < f.faults.Duplicate {
		copies = 2
	}
	for range copies {
		if rand.Float64() < f.faults.Loss {
			continue
		}
		if f.faults.Delay == 0 {
			_, _ = conn.WriteToUDPAddrPort(datagram, to) // a failed send counts as loss
			continue
		}
		copied := bytes.Clone(datagram)
		time.AfterFunc(time.Duration(rand.Int64N(int64(f.faults.Delay))), func() {
			_, _ = conn.WriteToUDPAddrPort(copied, to)
		})
	}
}

// choose returns a random balancer that is up, or nil if none is.
func (f *Fabric) choose() *target {
	up := make([]*target, 0, len(f.balancers))
	for _, b := range f.balancers {
		if b.up.Load() {
			up = append(up, b)
		}
	}
	if len(up) == 0 {
		return nil
	}
	return up[rand.IntN(len(up))]
}

// check polls a balancer's health until the context ends.
func (f *Fabric) check(ctx context.Context, b *target) {
	client := &http.Client{Timeout: checkTimeout}
	for ctx.Err() == nil {
		up := false
		response, err := client.Get(b.HealthURL)
		if err == nil {
			up = response.StatusCode == http.StatusOK
			response.Body.Close()
		}
		if b.up.Swap(up) != up {
			f.log.Info("balancer", "frontend", b.Frontend, "up", up)
		}
		time.Sleep(checkInterval)
	}
}

// service is a service address with its socket.
type service struct {
	fabric  *Fabric
	address netip.AddrPort
	conn    *net.UDPConn

	mu sync.Mutex

	// callers holds the socket that represents each caller towards the balancers.
	callers map[netip.AddrPort]*net.UDPConn
}

func (s *service) run() {
	buffer := make([]byte, maxDatagram)
	for {
		length, caller, err := s.conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}

		b := s.fabric.choose()
		conn := s.callerConn(caller)
		if b == nil || conn == nil {
			continue
		}
		to := netip.AddrPortFrom(b.Frontend, s.address.Port())
		s.fabric.send(conn, buffer[:length], to)
	}
}

// callerConn returns the socket that represents a caller towards the balancers, or
// nil if it cannot be opened.
func (s *service) callerConn(caller netip.AddrPort) *net.UDPConn {
	s.mu.Lock()
	defer s.mu.Unlock()

	if conn, ok := s.callers[caller]; ok {
		return conn
	}
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		s.fabric.log.Error("cannot open socket for caller", "error", err)
		return nil
	}
	_ = conn.SetReadBuffer(socketBuffer)
	s.callers[caller] = conn
	go s.relayAnswers(caller, conn)
	return conn
}

// relayAnswers forwards the balancers' datagrams to a caller until its socket is
// closed or has received nothing for callerIdleTimeout.
func (s *service) relayAnswers(caller netip.AddrPort, conn *net.UDPConn) {
	defer func() {
		s.mu.Lock()
		if s.callers[caller] == conn {
			delete(s.callers, caller)
		}
		s.mu.Unlock()
		conn.Close()
	}()

	buffer := make([]byte, maxDatagram)
	for {
		_ = conn.SetReadDeadline(time.Now().Add(callerIdleTimeout))
		length, _, err := conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		s.fabric.send(s.conn, buffer[:length], caller)
	}
}
