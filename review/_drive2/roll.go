package main

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"time"
)

// rollStorm stops and starts fronts, four at a time, while configurations that add routes
// come in quick succession and clients use each route as soon as it is acknowledged.
func rollStorm(f *fleet, trouble bool) (int, error) {
	const (
		changes   = 180
		gap       = 330 * time.Millisecond
		flowsEach = 16
		together  = 4
		rollGap   = 1300 * time.Millisecond
	)
	cfg := newConfiguration(20, "core", "files")
	cfg.addRoute(0, "core")
	if !trouble {
		for n := 1; n <= changes; n++ {
			cfg.addRoute(n, "core")
		}
	}
	d, err := serve(f, cfg, [4]int{6, 6, 5, 5}, 22)
	if err != nil {
		return 0, err
	}
	stop := make(chan struct{})
	rolled := make(chan struct{})
	go func() {
		defer close(rolled)
		for next := 0; ; next += together {
			select {
			case <-stop:
				return
			default:
			}
			var batch sync.WaitGroup
			for i := range together {
				batch.Add(1)
				go func() {
					defer batch.Done()
					_ = f.roll(f.fronts[5*(next+i)%len(f.fronts)])
				}()
			}
			batch.Wait()
			time.Sleep(rollGap)
		}
	}()
	var wait sync.WaitGroup
	for n := 1; n <= changes; n++ {
		if trouble {
			cfg.addRoute(n, "core")
			f.put(cfg)
		}
		for i := range flowsEach {
			wait.Add(1)
			go func() {
				defer wait.Done()
				time.Sleep(time.Duration(i) * 5 * time.Millisecond)
				d.report.useFlow(f, d.clients[i%len(d.clients)], n, fmt.Sprintf("r%d.%d", n, i), time.Now().Add(700*time.Millisecond), 60*time.Millisecond, d.all)
			}()
		}
		time.Sleep(gap)
	}
	close(stop)
	<-rolled
	wait.Wait()
	d.attribute()
	return d.judge()
}

// attribute records which processes sent the resets of open flows, as their logs say.
func (d *deployment) attribute() {
	time.Sleep(1500 * time.Millisecond) // logs are written late
	f := d.fleet
	counts := map[string]int{}
	for _, v := range f.machines() {
		data, _ := os.ReadFile(v.logs)
		for _, line := range strings.Split(string(data), "\n") {
			byAgent := strings.Contains(line, `msg="caller reset"`)
			if !byAgent && !strings.Contains(line, "reset=true") {
				continue
			}
			for _, r := range d.report.resets {
				if flow, _, _ := strings.Cut(strings.TrimPrefix(r, "flow "), ","); strings.Contains(line, "flow="+flow+" ") {
					f.record.log("log of %s: %s", v.name, line)
					counts[v.role]++
				}
			}
		}
	}
	f.record.log("resets of these flows by the logs: %d by balancers, %d by agents", counts["balancer"], counts["agent"])
}
