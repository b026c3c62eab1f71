package main

import (
	"fmt"
	"maps"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// keepFlows opens flows to the route of core and sends requests on them with pauses.
func (d *deployment) keepFlows(wait *sync.WaitGroup, count int, until time.Time, pause time.Duration) {
	for i := range count {
		wait.Add(1)
		go func() {
			defer wait.Done()
			time.Sleep(time.Duration(i) * 20 * time.Millisecond)
			d.report.useFlow(d.fleet, d.clients[i%len(d.clients)], 0, fmt.Sprintf("f%d", i), until, pause, d.all)
		}()
	}
}

func (d *deployment) judge() (int, error) {
	r := d.report
	if r.opened == 0 || r.ok == 0 {
		return 0, fmt.Errorf("no flow was served")
	}
	return d.fleet.verdict(len(r.resets) > 0, "%d flows opened, %d openings failed, %d of %d requests answered, %d open flows reset though their targets live and no configuration drops a route",
		r.opened, r.refused, r.ok, r.requests, len(r.resets)), nil
}

// stray sends heartbeats of another writer that lack a field, or have one of another type,
// to agents whose targets have open flows.
func stray(f *fleet, trouble bool) (int, error) {
	cfg := newConfiguration(20, "core", "files")
	cfg.addRoute(0, "core")
	d, err := serve(f, cfg, [4]int{2, 2, 1, 1}, 11)
	if err != nil {
		return 0, err
	}
	var wait sync.WaitGroup
	d.keepFlows(&wait, 42, time.Now().Add(22*time.Second), 500*time.Millisecond)
	time.Sleep(6 * time.Second)

	client := &http.Client{Timeout: time.Second}
	broken := []struct {
		what   string
		change func(body map[string]any)
	}{
		{"slots is missing", func(b map[string]any) { delete(b, "slots") }},
		{"state is not one that is named", func(b map[string]any) { b["state"] = "waiting" }},
		{"seq is of another type", func(b map[string]any) { b["seq"] = "one" }},
		{"zone and version are missing", func(b map[string]any) { delete(b, "zone"); delete(b, "version") }},
		{"zone is missing", func(b map[string]any) { delete(b, "zone") }},
		{"version is missing", func(b map[string]any) { delete(b, "version") }},
	}
	for i, s := range broken {
		if trouble {
			v := f.sides[i]
			body := map[string]any{
				"service": v.service, "address": v.at(appPort).String(), "zone": v.zone, "version": "v1", "slots": 5, "state": "ready",
				"warmupLeftMs": 0, "seq": 1, "born": time.Now().UnixMilli(),
			}
			body = maps.Clone(body)
			s.change(body)
			err := putBeat(client, v, "i-other", body)
			f.record.log("a heartbeat of another writer goes to %s: %s; result %v", v.name, s.what, err)
		}
		time.Sleep(2 * time.Second)
	}
	wait.Wait()
	d.attribute()
	return d.judge()
}

// late has a heartbeat of a crashed target arrive after its agent was restarted, seconds
// after the next incarnation registered at the same address.
func late(f *fleet, trouble bool) (int, error) {
	cfg := newConfiguration(20, "core", "files")
	cfg.addRoute(0, "core")
	d, err := serve(f, cfg, [4]int{2, 2, 1, 1}, 11)
	if err != nil {
		return 0, err
	}
	side := f.sides[0]
	first := d.targets[0]
	held := first.body() // on its way when the partition begins
	time.Sleep(200 * time.Millisecond)
	first.crash()
	time.Sleep(500 * time.Millisecond)
	second, err := d.startTarget(side)
	if err != nil {
		return 0, err
	}
	time.Sleep(2 * time.Second)

	var wait sync.WaitGroup
	d.keepFlows(&wait, 70, time.Now().Add(22*time.Second), 2500*time.Millisecond)
	time.Sleep(8 * time.Second)

	arrived := make(chan struct{})
	f.signal(side, syscall.SIGTERM)
	<-side.exited
	f.record.log("%s has ended", side.name)
	time.Sleep(300 * time.Millisecond)
	if trouble {
		go func() {
			defer close(arrived)
			client := &http.Client{Timeout: time.Second}
			for range 500 {
				if err := putBeat(client, side, first.id, held); err == nil {
					f.record.log("the late heartbeat of %s, number %v, arrives", first.id, held["seq"])
					return
				}
				time.Sleep(10 * time.Millisecond)
			}
		}()
	} else {
		close(arrived)
	}
	if err := f.start(side); err != nil {
		return 0, err
	}
	<-arrived
	wait.Wait()
	f.record.log("target %s has run for %.1f s without a disruption", second.id, time.Since(second.started).Seconds())
	d.attribute()
	return d.judge()
}
