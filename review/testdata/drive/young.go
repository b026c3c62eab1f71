package main

import (
	"errors"
	"fmt"
	"syscall"
	"time"
)

// youngTarget restarts the agent beside a target that has just started, and lets the
// clients of its open flows send their next request when all has been calm for longer than
// contactMs.
func youngTarget(trouble bool) int {
	const (
		settle  = 6 * time.Second        // after the start of everything
		openFor = 200 * time.Millisecond // for which flows are opened after the new target's first heartbeat
		down    = 750 * time.Millisecond // from the end of the agent to its next start
		calm    = 6 * time.Second        // contactMs is 4 s, idleTimeoutMs 15 s
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

	note("release: a new machine with its agent, and then its target")
	v := f.add("agent", "poa-a", "core")
	v.seeds = f.vms[0].seeds
	if err := f.run(v); err != nil {
		note("%v", err)
		return couldNot
	}
	time.Sleep(time.Second)
	young, err := startTarget(v, 30*time.Millisecond, 2*time.Second)
	if err != nil {
		note("%v", err)
		return couldNot
	}
	targets = append(targets, young)
	<-young.firstAcked
	note("target %s: first heartbeat acknowledged", young.id)

	type result struct {
		flow *clientFlow
		err  error
	}
	results := make(chan result)
	count := 0
	for end := time.Now().Add(openFor); time.Now().Before(end); time.Sleep(4 * time.Millisecond) {
		flow, id := c.newFlow(feedRoute.address()), fmt.Sprintf("first-%d", count)
		count++
		go func() {
			err := flow.connect()
			if err == nil {
				err = flow.request(id, 2500*time.Millisecond)
			}
			results <- result{flow, err}
		}()
	}
	var flows []*clientFlow
	young1 := 0
	for range count {
		r := <-results
		if r.err != nil {
			note("a first request: %v", r.err)
			continue
		}
		flows = append(flows, r.flow)
		if r.flow.target == young.id {
			young1++
		}
	}
	note("%d flows opened and served, %d of them at target %s", len(flows), young1, young.id)
	if young1 == 0 {
		note("no flow is open at the new target")
		return couldNot
	}

	if trouble {
		note("SIGTERM to the agent beside target %s", young.id)
		f.end(v, syscall.SIGTERM)
		note("the agent has ended")
		time.Sleep(down)
		if err := f.run(v); err != nil {
			note("%v", err)
			return couldNot
		}
		note("the agent is started again")
	}
	time.Sleep(calm)
	young.mu.Lock()
	note("target %s lives; last heartbeat acknowledged: %d, flows held: %d", young.id, young.lastBeatSeq, len(young.flows))
	young.mu.Unlock()

	type second struct {
		flow *clientFlow
		was  string
		err  error
	}
	seconds := make(chan second)
	for i, flow := range flows {
		was := flow.target
		go func() { seconds <- second{flow, was, flow.request(fmt.Sprintf("second-%d", i), 2500*time.Millisecond)} }()
		time.Sleep(5 * time.Millisecond)
	}
	resets, served, other := 0, 0, 0
	for range flows {
		r := <-seconds
		switch {
		case errors.Is(r.err, errReset) && r.was == young.id:
			resets++
			note("flow from port %d, open at target %s: reset by the system, seq %d, the client's last ack %d", r.flow.self.port, r.was, r.flow.lastResetSeq, r.flow.ack)
		case r.err == nil && r.flow.target == r.was:
			served++
		default:
			other++
			note("flow from port %d, open at target %s: %v", r.flow.self.port, r.was, r.err)
		}
	}
	note("second requests: %d served, %d flows of the new target reset, %d other", served, resets, other)
	if resets > 0 {
		return broken
	}
	if other > 0 {
		return couldNot
	}
	return held
}
