package main

import (
	"errors"
	"fmt"
	"net/netip"
	"strings"
	"sync"
	"time"
)

const (
	startSpread = 250 * time.Millisecond // between the first and the last start; the pages allow 300 ms
	lossTime    = 150 * time.Millisecond
)

// playApart has the first datagrams of two starting fronts to a third one lost, and restarts
// one node beside a server later.
func playApart(log *record, trouble bool) (int, error) {
	f, err := newFleet(log)
	if err != nil {
		return 0, err
	}
	defer f.close()
	for i := range 6 {
		f.addFront([]string{"a", "b"}[i%2])
	}
	for i := range 6 {
		f.addSide([]string{"a", "b"}[i%2], "forms")
	}
	first, second, third := f.machines[0], f.machines[1], f.machines[2]
	first.advertised = f.ip(5, 0)
	link, err := startLossyLink(netip.AddrPortFrom(first.advertised, internalPort), first.at(internalPort))
	if err != nil {
		return 0, err
	}
	defer link.close()
	f.store.Put("op/config", `{"version":7,"routes":[{"name":"r-1","hostname":"198.18.0.1","prefix":"/443/","type":"safe","timeoutMs":3000,"targetLatencyMs":200,"priority":1,"service":"forms","attempts":2}],
		"services":[{"name":"forms","healthPath":"/health","maxConns":2000,"protocol":"h1","tls":false,"warmupS":2.0,"warmupPerS":0.0}],"limits":{"idleTimeoutMs":15000}}`)
	f.late = []*machine{third, second}
	f.beforeLate = func() {
		time.Sleep(startSpread)
		if trouble {
			link.loseFrom(lossTime, second.ip, third.ip)
		}
	}
	f.enough = 4
	ready, err := f.startAll(2, func(s *server) { s.observe = func(time.Time, *server, flowKey, *packet, bool) {} })
	if err != nil || !ready {
		return 0, errors.Join(err, errNotReady)
	}
	link.mu.Lock()
	for sender, n := range link.dropped {
		log.printf("%d datagrams of %v to %s were lost at the start", n, sender, first.name)
	}
	link.mu.Unlock()
	time.Sleep(10 * time.Second)
	log.printf("%d of 6 fronts are in rotation", f.routers.inRotation())

	route := netip.MustParseAddrPort("198.18.0.1:443")
	stop := make(chan struct{})
	var mu sync.Mutex
	resets := map[string]int{}
	var running sync.WaitGroup
	for _, c := range f.clients {
		for n := range 6 {
			flow, ok := c.open(route)
			if !ok {
				return 0, errors.New("a flow was not opened before the restart")
			}
			answer, failure := flow.request(fmt.Sprintf("first-%d-%d", c.ip.As4()[3], n), requestTimeout)
			if failure != "" {
				return 0, errors.New("a request failed before the restart: " + failure)
			}
			_, flow.server, _ = strings.Cut(answer, " ")
			log.printf("flow %v is open at %s", flow.key, flow.server)
			running.Add(1)
			go func() {
				defer running.Done()
				if useFlow(log, flow, n, stop) == "reset" {
					mu.Lock()
					defer mu.Unlock()
					resets[flow.server]++
				}
			}()
		}
	}
	time.Sleep(contactTime)
	restarted := f.ofClass("side")[0]
	if err := f.restart(restarted); err != nil {
		return 0, err
	}
	time.Sleep(8 * time.Second)
	log.printf("%d of 6 fronts are in rotation", f.routers.inRotation())
	close(stop)
	running.Wait()

	mu.Lock()
	defer mu.Unlock()
	broken := 0
	for name, n := range resets {
		log.printf("FLOW: %d open flows of %s, which lives, were reset by the system", n, name)
		broken += n
	}
	return broken, nil
}
