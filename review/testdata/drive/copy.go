package main

import (
	"errors"
	"fmt"
	"sync"
	"syscall"
	"time"
)

// lateCopy pauses an agent, so that flows which it should have opened are opened elsewhere,
// and restarts the agent beside the target of some of them. The paused agent passes their
// opening packets on when it goes on.
func lateCopy(trouble bool) int {
	const (
		settle = 6 * time.Second
		count  = 120
		down   = 750 * time.Millisecond  // of the restarted agent
		pause  = 4 * time.Second         // the longest node_freeze of the site file
		rest   = 2200 * time.Millisecond // from the end of the pause to the next requests
	)
	f, err := newFleet()
	if err != nil {
		note("%v", err)
		return couldNot
	}
	defer f.close()
	f.configure(7, 2, 0, feedRoute, submitRoute, packRoute)
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
	c, err := startClient(f.ip(3, 0), fronts["poa-a"])
	if err != nil {
		note("%v", err)
		return couldNot
	}
	defer c.close()
	if !waitReady(c, 2, 10*time.Second) {
		note("the balancers are not ready")
		return couldNot
	}
	time.Sleep(settle)

	paused := targets[0].vm
	pausedAt := time.Now()
	if trouble {
		note("%s stands still", paused.name)
		_ = paused.process.Process.Signal(syscall.SIGSTOP)
	}
	type opened struct {
		flow *clientFlow
		took time.Duration
	}
	var mu sync.Mutex
	var flows []opened
	var all sync.WaitGroup
	for i := range count {
		flow := c.newFlow(feedRoute.address())
		all.Add(1)
		go func() {
			defer all.Done()
			begun := time.Now()
			err := flow.connect()
			took := time.Since(begun)
			if err == nil {
				err = flow.request(fmt.Sprintf("first-%d", i), 2500*time.Millisecond)
			}
			mu.Lock()
			defer mu.Unlock()
			if err == nil {
				flows = append(flows, opened{flow, took})
			}
		}()
		time.Sleep(3 * time.Millisecond)
	}
	all.Wait()
	second := map[string]int{} // flows by target that were slow to open, as another agent was tried first
	for _, o := range flows {
		if o.took > 50*time.Millisecond || !trouble {
			second[o.flow.target]++
		}
	}
	var restarted *target
	for _, t := range targets {
		if t.vm != paused && (restarted == nil || second[t.id] > second[restarted.id]) {
			restarted = t
		}
	}
	note("%d flows opened and served; %d at target %s, beside %s, opened late", len(flows), second[restarted.id], restarted.id, restarted.vm.name)
	if second[restarted.id] == 0 {
		return couldNot
	}

	note("SIGTERM to %s", restarted.vm.name)
	f.end(restarted.vm, syscall.SIGTERM)
	time.Sleep(down)
	if err := f.run(restarted.vm); err != nil {
		note("%v", err)
		return couldNot
	}
	startedAgain := time.Now()
	note("%s is started again", restarted.vm.name)
	time.Sleep(pause - time.Since(pausedAt))
	if trouble {
		_ = paused.process.Process.Signal(syscall.SIGCONT)
		note("%s goes on after %.1f s", paused.name, time.Since(pausedAt).Seconds())
	}
	time.Sleep(rest)
	note("the next requests, %.1f s after %s was started again", time.Since(startedAgain).Seconds(), restarted.vm.name)

	type result struct {
		flow *clientFlow
		was  string
		err  error
	}
	results := make(chan result)
	asked := 0
	for i, o := range flows {
		if was := o.flow.target; was == restarted.id {
			asked++
			go func() {
				results <- result{o.flow, was, o.flow.request(fmt.Sprintf("second-%d", i), 2500*time.Millisecond)}
			}()
		}
	}
	resets, served, other := 0, 0, 0
	for range asked {
		r := <-results
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
	note("second requests at target %s: %d served, %d flows reset, %d other; the target lives", restarted.id, served, resets, other)
	if resets > 0 {
		return broken
	}
	if other > 0 {
		return couldNot
	}
	return held
}
