package main

import (
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"time"
)

// The figures of the case, as a small deployment has them.
const (
	warmupPerS     = 8
	warmupOverage  = 1.5
	warmupSlack    = 5
	warmupTime     = 2 * time.Second
	evacuationTime = 8 * time.Second
	coldBefore     = 100 * time.Millisecond // the time from which servers are cold until the zone is taken back
	flowsPerSecond = 400
)

// opening is a SYN that a server took.
type opening struct{ sent, arrived time.Time }

// openings records the flows that servers took.
type openings struct {
	mu       sync.Mutex
	sent     map[flowKey]time.Time
	byServer map[string]map[flowKey]opening
	through  map[flowKey]string // the front that took the first packet, if it is recorded
}

func (o *openings) observe(at time.Time, s *server, key flowKey, p *packet, taken bool) {
	if !p.opens() {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.byServer[s.name] == nil {
		o.byServer[s.name] = map[flowKey]opening{}
	}
	if _, again := o.byServer[s.name][key]; !again {
		o.byServer[s.name][key] = opening{o.sent[key], at}
	}
}

// mostPerSecond returns the most requests that were sent and arrived within one second
// between two times, and the start of that second.
func mostPerSecond(list map[flowKey]opening, from, to time.Time) (most int, start time.Time) {
	var all []opening
	for _, op := range list {
		if !op.sent.Before(from) && !op.arrived.After(to) {
			all = append(all, op)
		}
	}
	slices.SortFunc(all, func(a, b opening) int { return a.sent.Compare(b.sent) })
	for i := range all {
		end, n := all[i].sent.Add(time.Second), 0
		for _, op := range all[i:] {
			if op.arrived.Before(end) {
				n++
			}
		}
		if n > most {
			most, start = n, all[i].sent
		}
	}
	return most, start
}

// playCold takes a zone back whose servers have become cold just before.
func playCold(log *record, trouble bool) (int, error) {
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
	f.store.Put("op/config", fmt.Sprintf(`{"version":7,"routes":[{"name":"r-1","hostname":"198.18.0.1","prefix":"/443/","type":"safe","timeoutMs":2500,"targetLatencyMs":150,"priority":1,"service":"forms","attempts":2}],
		"services":[{"name":"forms","healthPath":"/health","maxConns":2000,"protocol":"h1","tls":false,"warmupS":%v,"warmupPerS":%d}],"limits":{"idleTimeoutMs":15000}}`, warmupTime.Seconds(), warmupPerS))
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
		f.load(flowsPerSecond, seen, stop, &running)
	}()

	time.Sleep(3 * time.Second)
	if trouble {
		f.store.Put("op/evacuate/b", "{}")
		log.printf("evacuation of zone b is acknowledged")
	}
	time.Sleep(evacuationTime - coldBefore)
	cold := time.Now()
	if trouble {
		for _, m := range f.ofClass("side") {
			if m.zone == "b" {
				m.server.turnCold(warmupTime)
				log.printf("%s is cold for %v", m.server.name, warmupTime)
			}
		}
	}
	time.Sleep(coldBefore)
	if trouble {
		f.store.Remove("op/evacuate/b")
		log.printf("zone b is taken back")
	}
	time.Sleep(4 * time.Second)
	close(stop)
	running.Wait()

	seen.mu.Lock()
	defer seen.mu.Unlock()
	limit := warmupPerS*warmupOverage + warmupSlack
	broken := 0
	for _, m := range f.ofClass("side") {
		if m.zone != "b" || !trouble {
			continue
		}
		most, start := mostPerSecond(seen.byServer[m.server.name], cold, cold.Add(warmupTime))
		log.at(start, "%s took %d requests in the second from here while cold; the limit is %v", m.server.name, most, limit)
		if float64(most) > limit {
			broken++
			log.printf("FAILBACK: %s got %d requests in one second", m.server.name, most)
		}
	}
	return broken, nil
}

// useOnce opens a flow for one request and returns how that went.
func useOnce(c *client, i int, seen *openings) string {
	flow, ok := c.openObserved(netip.MustParseAddrPort("198.18.0.1:443"), func(key flowKey) {
		seen.mu.Lock()
		defer seen.mu.Unlock()
		seen.sent[key] = time.Now()
		if seen.through != nil {
			seen.through[key] = c.routers.pick(c.zone, key).String()
		}
	})
	if !ok {
		return "not opened"
	}
	defer flow.finish()
	answer, failure := flow.request(fmt.Sprintf("r-%d", i), 2500*time.Millisecond)
	if failure != "" {
		return failure
	}
	_, server, _ := strings.Cut(answer, " ")
	return "answered by " + server
}
