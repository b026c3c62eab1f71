package main

import (
	"errors"
	"fmt"
	"sync"
	"time"
)

const (
	configBound = 3 * time.Second // configApplyMs of the sheets
	cutTime     = 6 * time.Second
)

// cutConfig has two services and a route that leads to the service given.
func cutConfig(version int, service string) string {
	return fmt.Sprintf(`{"version":%d,"routes":[{"name":"r-1","hostname":"198.18.0.1","prefix":"/443/","type":"safe","timeoutMs":2500,"targetLatencyMs":150,"priority":1,"service":%q,"attempts":2}],
		"services":[{"name":"service-1","healthPath":"/health","maxConns":2000,"protocol":"h1","tls":false,"warmupS":2.0,"warmupPerS":0.0},
		{"name":"service-2","healthPath":"/health","maxConns":2000,"protocol":"h1","tls":false,"warmupS":2.0,"warmupPerS":0.0}],"limits":{"idleTimeoutMs":15000}}`, version, service)
}

// playCut changes the configuration while the two fronts that wait for changes are
// partitioned from the store.
func playCut(log *record, trouble bool) (int, error) {
	f, err := newFleet(log)
	if err != nil {
		return 0, err
	}
	defer f.close()
	for range 5 {
		f.addFront("a")
	}
	for i := range 6 {
		f.addSide("a", []string{"service-1", "service-2"}[i/3])
	}
	for _, m := range f.machines {
		if m.path, err = startProxy(f.store.Address()); err != nil {
			return 0, err
		}
		defer m.path.listener.Close()
	}
	f.store.Put("op/config", cutConfig(7, "service-1"))
	seen := &openings{sent: map[flowKey]time.Time{}, byServer: map[string]map[flowKey]opening{}, through: map[flowKey]string{}}
	ready, err := f.startAll(10, func(s *server) { s.observe = seen.observe })
	if err != nil || !ready {
		return 0, errors.Join(err, errNotReady)
	}
	time.Sleep(contactTime)
	stop := make(chan struct{})
	var running sync.WaitGroup
	running.Add(1)
	go func() {
		defer running.Done()
		f.load(200, seen, stop, &running)
	}()
	time.Sleep(2 * time.Second)

	cut := map[string]bool{}
	if trouble {
		for _, m := range f.ofClass("front") {
			if m.path.watches() {
				m.path.cut()
				cut[m.at(datagramPort).String()] = true
				log.printf("%s is partitioned from the store", m.name)
			}
		}
		if len(cut) != 2 {
			return 0, fmt.Errorf("%d fronts wait for changes at the store", len(cut))
		}
	}
	time.Sleep(300 * time.Millisecond)
	f.store.Put("op/config", cutConfig(9, "service-2"))
	acknowledged := time.Now()
	log.printf("version 9 is acknowledged: the route leads to service-2 instead of service-1")
	time.Sleep(cutTime - 300*time.Millisecond)
	if trouble {
		for _, m := range f.ofClass("front") {
			if cut[m.at(datagramPort).String()] {
				m.path.heal()
			}
		}
		log.printf("the cut is over")
	}
	time.Sleep(4 * time.Second)
	close(stop)
	running.Wait()

	seen.mu.Lock()
	defer seen.mu.Unlock()
	late, latest := 0, time.Duration(0)
	for _, m := range f.ofClass("side") {
		if m.service != "service-1" {
			continue
		}
		for key, op := range seen.byServer[m.server.name] {
			if cut[seen.through[key]] {
				continue // taken by a front that is not in touch
			}
			age := op.sent.Sub(acknowledged)
			latest = max(latest, age)
			if age > configBound {
				late++
				log.at(op.sent, "flow %v, sent %v after the acknowledgement through %s, is taken by %s of service-1", key, age.Round(time.Millisecond), seen.through[key], m.server.name)
			}
		}
	}
	log.printf("the last request that the old service took through another front was sent %v after the acknowledgement", latest.Round(time.Millisecond))
	if late > 0 {
		log.printf("CONFIG: %d requests sent later than %v after the acknowledgement were run by the old service", late, configBound)
	}
	return late, nil
}
