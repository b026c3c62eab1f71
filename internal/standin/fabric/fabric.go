// Package fabric is a small stand-in for the network that hands every packet
// to any balancer. It rewrites addresses, since on one machine the balancers
// cannot share the services' own.
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
	maxDatagram  = 2048    // bytes
	socketBuffer = 4 << 20 // bytes
	callerIdle   = 2 * time.Minute
	checkEvery   = 150 * time.Millisecond
	checkTimeout = 100 * time.Millisecond
)

// Balancer is one balancer as the fabric sees it.
type Balancer struct {
	// Frontend is the IP address that takes the services' datagrams.
	Frontend netip.Addr

	// HealthURL is the URL that tells whether the balancer takes traffic.
	HealthURL string
}

// Faults are what the network does to datagrams on the way in and out.
type Faults struct {
	// Loss and Duplicate are the shares of datagrams that are lost or doubled, 0 to 1.
	Loss      float64
	Duplicate float64

	// Delay is the longest time that a datagram is held back; each waits for a random part of it.
	Delay time.Duration
}

// Fabric hands packets to balancers at random.
type Fabric struct {
	log       *slog.Logger
	balancers []*target
	faults    Faults

	mu       sync.Mutex
	services []*service
}

type target struct {
	Balancer
	up atomic.Bool
}

// New returns a Fabric before some balancers.
func New(log *slog.Logger, balancers []Balancer, faults Faults) *Fabric {
	f := &Fabric{log: log, faults: faults}
	for _, b := range balancers {
		f.balancers = append(f.balancers, &target{Balancer: b})
	}
	return f
}

// Serve hands on the datagrams of services' addresses until the context ends.
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

// Rebind gives every caller a new address towards the balancers, as a network
// does that forgets its translations.
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

// send writes a datagram as the faults have it.
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
			_, _ = conn.WriteToUDPAddrPort(datagram, to) // lost, as on a network
			continue
		}
		kept := bytes.Clone(datagram)
		time.AfterFunc(time.Duration(rand.Int64N(int64(f.faults.Delay))), func() {
			_, _ = conn.WriteToUDPAddrPort(kept, to)
		})
	}
}

// choose returns a balancer that is up, at random.
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

// check asks a balancer again and again whether it takes traffic.
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
		time.Sleep(checkEvery)
	}
}

// service is one address of a service.
type service struct {
	fabric  *Fabric
	address netip.AddrPort
	conn    *net.UDPConn

	mu      sync.Mutex
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

// callerConn returns the socket that stands for a caller towards the balancers.
func (s *service) callerConn(caller netip.AddrPort) *net.UDPConn {
	s.mu.Lock()
	defer s.mu.Unlock()

	if conn, ok := s.callers[caller]; ok {
		return conn
	}
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		s.fabric.log.Error("no socket for caller", "error", err)
		return nil
	}
	_ = conn.SetReadBuffer(socketBuffer)
	s.callers[caller] = conn
	go s.answer(caller, conn)
	return conn
}

func (s *service) answer(caller netip.AddrPort, conn *net.UDPConn) {
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
		_ = conn.SetReadDeadline(time.Now().Add(callerIdle))
		length, _, err := conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		s.fabric.send(s.conn, buffer[:length], caller)
	}
}
