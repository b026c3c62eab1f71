package main

import (
	"errors"
	"sync"
	"time"

	"github.com/coriandershift/coriandershift/platform/standin"
)

const (
	evacuateBound = 5 * time.Second        // evacuateMs of the sheets
	contactTime   = 4 * time.Second        // contactMs of the sheets
	copyAge       = 2 * time.Second        // of the copy when the zone is evacuated
	awayTime      = 300 * time.Millisecond // for which the store is away
	rewriteTime   = 7 * time.Second        // from the store's return until the operator has written again
)

// playDrill has the store come back from a copy that was made before a zone was evacuated.
func playDrill(log *record, trouble bool) (int, error) {
	f, err := newFleet(log)
	if err != nil {
		return 0, err
	}
	defer f.close()
	for _, zone := range []string{"a", "a", "b", "b"} {
		f.addFront(zone)
	}
	for i := range 6 {
		f.addSide([]string{"a", "b"}[i%2], "forms")
	}
	config := `{"version":7,"routes":[{"name":"r-1","hostname":"198.18.0.1","prefix":"/443/","type":"safe","timeoutMs":2500,"targetLatencyMs":150,"priority":1,"service":"forms","attempts":2}],
		"services":[{"name":"forms","healthPath":"/health","maxConns":2000,"protocol":"h1","tls":false,"warmupS":2.0,"warmupPerS":0.0}],"limits":{"idleTimeoutMs":15000}}`
	f.store.Put("op/config", config)
	seen := &openings{sent: map[flowKey]time.Time{}, byServer: map[string]map[flowKey]opening{}}
	ready, err := f.startAll(5, func(s *server) { s.observe = seen.observe })
	if err != nil || !ready {
		return 0, errors.Join(err, errNotReady)
	}
	stop := make(chan struct{})
	var running sync.WaitGroup
	running.Add(1)
	go func() {
		defer running.Done()
		f.load(100, seen, stop, &running)
	}()

	time.Sleep(time.Second)
	copied := f.store.Copy()
	log.printf("the copy of the store is made")
	time.Sleep(copyAge)
	f.store.Put("op/evacuate/b", "{}")
	log.printf("evacuation of zone b is acknowledged")
	from := time.Now().Add(evacuateBound)
	time.Sleep(evacuateBound + time.Second)
	if trouble {
		log.printf("the store is away")
		f.store.SetFault(standin.Resetting)
		time.Sleep(awayTime)
		f.store.Restore(copied)
		f.store.SetFault(standin.Healthy)
		log.printf("the store is back from the copy")
		from = time.Now().Add(contactTime)
	}
	time.Sleep(rewriteTime)
	to := time.Now()
	if trouble {
		f.store.Put("op/config", config)
		f.store.Put("op/evacuate/b", "{}")
		log.printf("the operator has written again what it wrote")
	}
	time.Sleep(4 * time.Second)
	close(stop)
	running.Wait()

	seen.mu.Lock()
	defer seen.mu.Unlock()
	broken := 0
	for _, m := range f.ofClass("side") {
		late := 0
		for _, op := range seen.byServer[m.server.name] {
			if m.zone == "b" && op.sent.After(from) && op.arrived.Before(to) {
				late++
			}
		}
		if m.zone == "b" {
			log.printf("%s took %d requests from %.3f to %.3f, while zone b was evacuated", m.server.name, late, from.Sub(log.start).Seconds(), to.Sub(log.start).Seconds())
		}
		if late > 0 {
			broken++
			log.printf("EVAC: %d requests reached %s", late, m.server.name)
		}
	}
	return broken, nil
}
