package main

import (
	"fmt"
	"sync"
	"time"
)

// flowReport counts what the clients of open flows saw.
type flowReport struct {
	mu                            sync.Mutex
	opened, refused, requests, ok int
	resets                        []string // on open flows whose target lives and sent none
}

// judgeReset records a reset of an open flow, if its target holds the flow and sent no reset.
func (w *flowReport) judgeReset(f *fleet, fl *flow, targets []*target) {
	for _, t := range targets {
		since, open := t.hasOpen(fl.key)
		if !open || t.sentReset(fl.key) {
			continue
		}
		text := fmt.Sprintf("flow %s, open at target %s for %d ms, was reset by the system", fl.key, t.id, time.Since(since).Milliseconds())
		f.record.log("RESET %s", text)
		w.mu.Lock()
		w.resets = append(w.resets, text)
		w.mu.Unlock()
		return
	}
	f.record.log("reset of flow %s, which is open at no target", fl.key)
}

// useFlow opens a flow to a route, with up to two further tries on new flows, and sends
// requests on it until a time, with pauses between.
func (w *flowReport) useFlow(f *fleet, c *client, number int, name string, until time.Time, pause time.Duration, targets func() []*target) {
	for range 3 {
		fl := c.newFlow(route(number))
		if err := fl.open(); err != nil {
			w.mu.Lock()
			w.refused++
			w.mu.Unlock()
			time.Sleep(20 * time.Millisecond)
			continue
		}
		w.mu.Lock()
		w.opened++
		w.mu.Unlock()
		for i := 0; time.Now().Before(until); i++ {
			err := fl.request(fmt.Sprintf("%s/%d", name, i), 2500*time.Millisecond)
			w.mu.Lock()
			w.requests++
			if err == nil {
				w.ok++
			}
			w.mu.Unlock()
			if err == nil {
				err = fl.idle(pause)
			}
			if err == errReset {
				w.judgeReset(f, fl, targets())
				fl.forget()
				return
			}
			if err != nil {
				break
			}
		}
		fl.close()
		return
	}
}

// storm plays series of configurations in quick succession, each of which adds a route,
// while clients use each route as soon as it is acknowledged.
func storm(f *fleet, trouble bool) (int, error) {
	const (
		storms      = 4
		changes     = 12
		gap         = 330 * time.Millisecond
		flowsEach   = 24
		stormPeriod = 12 * time.Second
		flowLife    = 1500 * time.Millisecond
	)
	cfg := newConfiguration(20, "core", "files")
	cfg.addRoute(0, "core")
	if !trouble {
		for n := 1; n <= storms*changes; n++ {
			cfg.addRoute(n, "core")
		}
	}
	d, err := serve(f, cfg, [4]int{6, 6, 5, 5}, 22)
	if err != nil {
		return 0, err
	}
	report := d.report
	var wait sync.WaitGroup
	use := func(number, count int, until time.Time) {
		for i := range count {
			wait.Add(1)
			go func() {
				defer wait.Done()
				time.Sleep(time.Duration(i) * 8 * time.Millisecond)
				report.useFlow(f, d.clients[i%len(d.clients)], number, fmt.Sprintf("r%d.%d", number, i), until, 400*time.Millisecond, d.all)
			}()
		}
	}
	number := 0
	for s := range storms {
		began := time.Now()
		f.record.log("storm %d of %d, %d changes, one each %v", s+1, storms, changes, gap)
		for range changes {
			number++
			if trouble {
				cfg.addRoute(number, "core")
				f.put(cfg)
			}
			use(number, flowsEach, time.Now().Add(flowLife))
			time.Sleep(gap)
		}
		time.Sleep(time.Until(began.Add(stormPeriod)))
	}
	wait.Wait()
	d.attribute()
	return d.judge()
}
