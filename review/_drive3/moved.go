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
	// flowSlack is flowSlackMs of the sheets.
	flowSlack = 2 * time.Second

	// idleTime is the pause between two requests of a long flow.
	idleTime = 300 * time.Millisecond

	requestTimeout = 5 * time.Second
)

var errNotReady = errors.New("the fronts did not become ready")

// arrival is a packet of a flow at a server.
type arrival struct {
	at  time.Time
	own bool // at the server that has the flow
}

// arrivals records where the packets of the watched flows arrive.
type arrivals struct {
	log *record

	mu     sync.Mutex
	owners map[flowKey]string
	byFlow map[flowKey][]arrival
}

func (a *arrivals) observe(at time.Time, s *server, key flowKey, p *packet, taken bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	owner, watched := a.owners[key]
	if !watched {
		return
	}
	a.byFlow[key] = append(a.byFlow[key], arrival{at, owner == s.name})
	if owner != s.name {
		a.log.at(at, "packet of flow %v seq %d (%d bytes) of %s reaches %s, which does not hold it", key, p.seq, len(p.data), owner, s.name)
	}
}

// strayed returns for how long, at most, three packets or more of a flow reached other
// servers and none its own, and how many they were.
func strayed(list []arrival) (longest time.Duration, packets int) {
	var first time.Time
	count := 0
	for _, a := range list {
		if a.own {
			count = 0
			continue
		}
		if count++; count == 1 {
			first = a.at
		}
		if d := a.at.Sub(first); count >= 3 && d > longest {
			longest, packets = d, count
		}
	}
	return longest, packets
}

// movedConfig has nine services with a route each. The first route leads to the service given.
func movedConfig(version int, first string) string {
	var routes, services []string
	for i := range 9 {
		service := fmt.Sprintf("service-%d", i+1)
		to := service
		if i == 0 {
			to = first
		}
		routes = append(routes, fmt.Sprintf(`{"name":"r-%d","hostname":"198.18.0.1","prefix":"/%d/","type":"safe","timeoutMs":5000,"targetLatencyMs":200,"priority":1,"service":%q,"attempts":2}`, i+1, 8001+i, to))
		services = append(services, fmt.Sprintf(`{"name":%q,"healthPath":"/health","maxConns":2000,"protocol":"h1","tls":false,"warmupS":2.0,"warmupPerS":0.0}`, service))
	}
	return fmt.Sprintf(`{"version":%d,"routes":[%s],"services":[%s],"limits":{"idleTimeoutMs":15000}}`, version, strings.Join(routes, ","), strings.Join(services, ","))
}

// playMoved restarts all nodes in turn, the ones beside the servers first, after a route was
// led to another service while flows are open.
func playMoved(log *record, trouble bool) (int, error) {
	f, err := newFleet(log)
	if err != nil {
		return 0, err
	}
	defer f.close()
	for _, zone := range []string{"a", "a", "b", "b"} {
		f.addFront(zone)
	}
	for i := range 9 {
		f.addSide([]string{"a", "b"}[i%2], fmt.Sprintf("service-%d", i+1))
	}
	f.addSide("b", "service-1")
	f.addSide("a", "service-2")
	f.store.Put("op/config", movedConfig(7, "service-1"))
	seen := &arrivals{log: log, owners: map[flowKey]string{}, byFlow: map[flowKey][]arrival{}}
	ready, err := f.startAll(2, func(s *server) { s.observe = seen.observe })
	if err != nil || !ready {
		return 0, errors.Join(err, errNotReady)
	}

	if trouble {
		log.printf("the nodes beside servers are stopped and started in turn")
		if err := f.rollTerm(f.ofClass("side"), 1200*time.Millisecond); err != nil {
			return 0, err
		}
	}
	route := netip.MustParseAddrPort("198.18.0.1:8001")
	stop := make(chan struct{})
	var running sync.WaitGroup
	for _, c := range f.clients {
		for n := range 5 {
			flow, ok := c.open(route)
			if !ok {
				return 0, errors.New("a flow was not opened before the disruption")
			}
			answer, failure := flow.request(fmt.Sprintf("first-%d-%d", c.ip.As4()[3], n), requestTimeout)
			if failure != "" {
				return 0, errors.New("a request failed before the disruption: " + failure)
			}
			_, flow.server, _ = strings.Cut(answer, " ")
			seen.mu.Lock()
			seen.owners[flow.key] = flow.server
			seen.mu.Unlock()
			log.printf("flow %v is open at %s", flow.key, flow.server)
			running.Add(1)
			go func() {
				defer running.Done()
				useFlow(log, flow, n, stop)
			}()
		}
	}

	time.Sleep(500 * time.Millisecond)
	f.store.Put("op/config", movedConfig(9, "service-2"))
	log.printf("version 9 is acknowledged: new flows of the route go to service-2")
	time.Sleep(5 * time.Second)
	if trouble {
		log.printf("the fronts are stopped and started in turn")
		if err := f.rollTerm(f.ofClass("front"), 2*time.Second); err != nil {
			return 0, err
		}
	}
	time.Sleep(5 * time.Second)
	close(stop)
	running.Wait()

	seen.mu.Lock()
	defer seen.mu.Unlock()
	broken := 0
	for key, list := range seen.byFlow {
		if d, n := strayed(list); d >= flowSlack {
			broken++
			log.printf("FLOW: for at least %v %d packets of the open flow %v of %s reached other servers and none its own", d.Round(time.Millisecond), n, key, seen.owners[key])
		}
	}
	return broken, nil
}

// useFlow sends requests on a flow until one fails, and returns how, or "" if none does
// until stop is closed.
func useFlow(log *record, flow *clientFlow, n int, stop chan struct{}) string {
	for i := 0; ; i++ {
		select {
		case <-stop:
			flow.finish()
			return ""
		case <-time.After(idleTime):
		}
		id := fmt.Sprintf("r-%d-%d-%d", flow.c.ip.As4()[3], n, i)
		sent := time.Now()
		answer, failure := flow.request(id, requestTimeout)
		if failure != "" {
			log.at(sent, "request %s on flow %v, open for %v: %s", id, flow.key, sent.Sub(flow.opened).Round(time.Millisecond), failure)
			flow.forget()
			return failure
		}
		if answer != id+" "+flow.server {
			log.at(sent, "request %s on flow %v got %q", id, flow.key, answer)
			continue
		}
		log.at(sent, "request %s on flow %v is answered by %s", id, flow.key, flow.server)
	}
}
