package main

import (
	"sync"
	"time"
)

// deployment is a small deployment in service: its targets, routers and clients.
type deployment struct {
	fleet   *fleet
	targets []*target
	clients []*client
	report  *flowReport

	mu sync.Mutex
}

// serve starts a deployment with some fronts in each of four zones, seven of eleven targets of
// the service core and the others of files, and waits until it has settled.
func serve(f *fleet, cfg *configuration, fronts [4]int, sides int) (*deployment, error) {
	zones := []string{"a", "b", "c", "d"}
	for i, count := range fronts {
		for range count {
			f.addFront(zones[i])
		}
	}
	for i := range sides {
		service := "core"
		if 11*i >= 7*sides {
			service = "files"
		}
		f.addSide(zones[i%4], service)
	}
	if f.proxied {
		var err error
		if f.network, err = newNetwork(f); err != nil {
			return nil, err
		}
	}
	f.put(cfg)
	if err := f.startAll(); err != nil {
		return nil, err
	}
	time.Sleep(time.Second)
	d := &deployment{fleet: f, report: &flowReport{}}
	for _, v := range f.sides {
		if _, err := d.startTarget(v); err != nil {
			return nil, err
		}
	}
	router := newRouter(f.fronts)
	for i, zone := range zones {
		c, err := startClient(f.record, router, f.ip(3, i), zone)
		if err != nil {
			return nil, err
		}
		d.clients = append(d.clients, c)
	}
	time.Sleep(7 * time.Second)
	return d, nil
}

// startTarget starts a target of five slots beside a machine's agent.
func (d *deployment) startTarget(v *vm) (*target, error) {
	t, err := startTarget(d.fleet.record, v, newID(), time.Now().UnixMilli(), 5, 20*time.Millisecond, 0)
	if err == nil {
		d.mu.Lock()
		d.targets = append(d.targets, t)
		d.mu.Unlock()
	}
	return t, err
}

// all returns all targets that were started.
func (d *deployment) all() []*target {
	d.mu.Lock()
	defer d.mu.Unlock()
	return append([]*target(nil), d.targets...)
}
