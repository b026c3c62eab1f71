package main

import (
	"fmt"
	"net"
	"net/netip"
	"time"
)

// bounds of the deployment, as its page gives them.
const (
	configApply = 3000 * time.Millisecond
)

// oneWay has packets pass one way only between one zone and the others, while configurations
// come that add and drop routes. Clients send flows on dropped routes directly to each front.
func oneWay(f *fleet, trouble bool) (int, error) {
	const (
		windows  = 11
		cutFor   = 5500 * time.Millisecond
		period   = 8000 * time.Millisecond
		gap      = 330 * time.Millisecond
		changes  = 12
		zone     = "a"
		probeGap = 60 * time.Millisecond
	)
	cfg := newConfiguration(20, "core", "files")
	cfg.addRoute(0, "core")
	services := []string{"core", "files"}
	number := 0
	for range 4 {
		number++
		cfg.addRoute(number, services[number%2])
	}
	f.proxied = true
	d, err := serve(f, cfg, [4]int{3, 3, 2, 2}, 11)
	if err != nil {
		return 0, err
	}

	type drop struct {
		route   int
		version int
		acked   time.Time
	}
	var drops []drop
	change := func() {
		// Each version drops the oldest added route and adds another.
		oldest := cfg.Routes[1]
		cfg.Routes = append(cfg.Routes[:1:1], cfg.Routes[2:]...)
		number++
		cfg.addRoute(number, services[number%2])
		f.put(cfg)
		var dropped int
		_, _ = fmt.Sscanf(oldest.Name, "route-%d", &dropped)
		drops = append(drops, drop{dropped, cfg.Version, time.Now()})
	}

	conns := map[*vm]*net.UDPConn{}
	for i, v := range f.fronts {
		conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(f.ip(4, i), datagramPort)))
		if err != nil {
			return 0, err
		}
		conns[v] = conn
	}
	var late []string
	probes := 0
	sent := map[key]string{}
	at := map[key]time.Time{}
	port := uint16(20000)
	probe := func() {
		now := time.Now()
		for _, v := range f.fronts {
			found := 0 // the latest dropped route of each service is enough
			for i := len(drops) - 1; i >= 0 && found < len(services); i-- {
				age := now.Sub(drops[i].acked)
				if age <= configApply {
					continue
				}
				if age > 6*time.Second {
					break
				}
				port++
				k := key{end{conns[v].LocalAddr().(*net.UDPAddr).AddrPort().Addr().As4(), port}, endOf(route(drops[i].route))}
				sent[k] = fmt.Sprintf("sent to %s %d ms after version %d, which drops the route, was acknowledged", v.name, age.Milliseconds(), drops[i].version)
				at[k] = now
				_, _ = conns[v].WriteToUDPAddrPort(encode(&packet{src: k.client, dst: k.route, flags: flagSyn, seq: uint32(port) << 8}), v.at(datagramPort))
				probes++
				found++
			}
		}
	}
	run := func(until time.Time) {
		for time.Now().Before(until) {
			probe()
			time.Sleep(probeGap)
		}
	}
	for w := range windows {
		began := time.Now()
		if trouble {
			for _, other := range []string{"b", "c", "d"} {
				f.network.set(zone, other, true)
			}
			f.record.log("window %d: nothing passes from zone %s to the others", w+1, zone)
		}
		for range changes {
			change()
			run(time.Now().Add(gap))
		}
		run(began.Add(cutFor))
		for _, other := range []string{"b", "c", "d"} {
			f.network.set(zone, other, false)
		}
		f.record.log("window %d: the links are whole", w+1)
		run(began.Add(period))
	}
	time.Sleep(500 * time.Millisecond)
	for _, t := range d.all() {
		t.mu.Lock()
		for k, s := range t.flows {
			if text, ok := sent[k]; ok {
				line := fmt.Sprintf("target %s on %s took the opening packet of %s, %s, %d ms later", t.id, t.vm.name, k, text, s.taken.Sub(at[k]).Milliseconds())
				f.record.log("LATE %s", line)
				late = append(late, line)
			}
		}
		t.mu.Unlock()
	}
	for _, v := range f.machines() {
		if n := countLogs([]*vm{v}, "cannot fetch configuration"); n > 0 {
			f.record.log("%s could not fetch the configuration from a peer %d times", v.name, n)
		}
	}
	f.record.log("%d datagrams were dropped and %d connections held at cut links", f.network.dropped.Load(), f.network.held.Load())
	if probes == 0 {
		return 0, fmt.Errorf("nothing was sent")
	}
	return f.verdict(len(late) > 0, "%d of %d flows on routes that a version acknowledged more than %v before had dropped were taken by a target", len(late), probes, configApply), nil
}
