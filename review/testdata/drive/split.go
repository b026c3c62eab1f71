package main

import (
	"errors"
	"fmt"
	"sync"
	"syscall"
	"time"
)

// splitView cuts two balancers and the agents of a zone off from all other machines, and
// ends the cut. Later than contactMs after that, the third balancer of the zone is stopped,
// so that its flows are routed to the two.
func splitView(trouble bool) int {
	const (
		settle    = 6500 * time.Millisecond
		shortest  = 9 * time.Second  // of the cut
		longest   = 12 * time.Second // the longest node_cut of the site file
		quiet     = 700 * time.Millisecond
		stopAfter = 2900 * time.Millisecond // from the end of the cut to SIGTERM
		contact   = 4 * time.Second         // contactMs
	)
	f, err := newFleet()
	if err != nil {
		note("%v", err)
		return couldNot
	}
	defer f.close()
	f.configure(7, 2, 0, feedRoute, submitRoute, packRoute)
	net := newNetwork()
	defer net.close()
	f.relays = net
	fronts, targets, err := f.small()
	defer func() {
		for _, t := range targets {
			t.close()
		}
	}()
	if err != nil {
		note("%v", err)
		return couldNot
	}
	spare := f.add("balancer", "poa-a", "")
	spare.seeds = f.vms[0].seeds
	if err := f.start(spare); err != nil {
		note("%v", err)
		return couldNot
	}
	zone := append(fronts["poa-a"], spare)
	c, err := startClient(f.ip(3, 0), zone)
	if err != nil {
		note("%v", err)
		return couldNot
	}
	defer c.close()
	if !waitReady(c, 3, 10*time.Second) {
		note("the balancers are not ready")
		return couldNot
	}
	time.Sleep(settle)

	cutOff := append([]*vm{}, fronts["poa-a"]...)
	for _, v := range f.vms {
		if v.role == "agent" && v.zone == "poa-a" {
			cutOff = append(cutOff, v)
		}
	}
	if trouble {
		note("cut: %d of %d machines, all in poa-a, from all others", len(cutOff), len(f.vms))
		net.cut(cutOff...)
	}
	cutAt := time.Now()
	for time.Since(cutAt) < longest {
		time.Sleep(20 * time.Millisecond)
		last := net.lastCrossing()
		if time.Since(cutAt) >= shortest && time.Since(last) >= quiet && time.Since(last) < 2*quiet {
			break
		}
	}
	net.cut()
	healed := time.Now()
	if trouble {
		note("the cut is over after %.1f s; a balancer last tried to cross it %.1f s before", healed.Sub(cutAt).Seconds(), healed.Sub(net.lastCrossing()).Seconds())
	}

	type opened struct {
		flow *clientFlow
		err  error
	}
	results := make(chan opened)
	const count = 60
	var all sync.WaitGroup
	for i := range count {
		flow := c.newFlow(feedRoute.address())
		all.Add(1)
		go func() {
			defer all.Done()
			err := flow.connect()
			if err == nil {
				err = flow.request(fmt.Sprintf("first-%d", i), 2500*time.Millisecond)
			}
			results <- opened{flow, err}
		}()
		time.Sleep(25 * time.Millisecond)
		if i == count-1 {
			go func() { all.Wait(); close(results) }()
		}
		select {
		case r := <-results:
			f.keep(r.flow, r.err)
		default:
		}
	}
	for r := range results {
		f.keep(r.flow, r.err)
	}
	byTarget := map[string]int{}
	var moving []*clientFlow
	for _, flow := range f.flows {
		byTarget[flow.target]++
		if flow.router() == spare {
			moving = append(moving, flow)
		}
	}
	note("%d flows opened and served at %d targets; %d of them through %s", len(f.flows), len(byTarget), len(moving), spare.name)
	if len(moving) == 0 {
		return couldNot
	}

	time.Sleep(stopAfter - time.Since(healed))
	note("SIGTERM to %s", spare.name)
	if err := spare.process.Process.Signal(syscall.SIGTERM); err != nil {
		note("%v", err)
		return couldNot
	}
	for end := time.Now().Add(3 * time.Second); time.Now().Before(end) && !c.outOfRotation(spare); {
		time.Sleep(10 * time.Millisecond)
	}
	time.Sleep(contact + 100*time.Millisecond - time.Since(healed))
	note("%s is out of rotation, %.1f s after the end of the cut or calm", spare.name, time.Since(healed).Seconds())
	type second struct {
		flow *clientFlow
		was  string
		err  error
	}
	seconds := make(chan second)
	for i, flow := range moving {
		was := flow.target
		go func() { seconds <- second{flow, was, flow.request(fmt.Sprintf("second-%d", i), 2500*time.Millisecond)} }()
	}
	resets, served, other := 0, 0, 0
	for range moving {
		r := <-seconds
		switch {
		case errors.Is(r.err, errReset):
			resets++
			note("flow from port %d, open at target %s: reset by the system, seq %d, the client's last ack %d", r.flow.self.port, r.was, r.flow.lastResetSeq, r.flow.ack)
		case r.err == nil && r.flow.target == r.was:
			served++
		default:
			other++
			note("flow from port %d, open at target %s: %v", r.flow.self.port, r.was, r.err)
		}
	}
	note("second requests: %d served, %d flows reset, %d other; all targets live", served, resets, other)
	f.end(spare, syscall.SIGKILL)
	if resets > 0 {
		return broken
	}
	return held
}
