package main

import (
	"fmt"
	"sync"
	"time"
)

// skip moves routes to another service and back in quick succession, and later stops a
// front, so that the rotation changes.
func skip(f *fleet, trouble bool) (int, error) {
	const (
		uptime   = 63 * time.Second
		series   = 2
		pairs    = 10 // of changes, in each series
		gap      = 80 * time.Millisecond
		perEach  = 30
		together = 4
	)
	cfg := newConfiguration(20, "core", "files")
	for n := range series*pairs + 1 {
		cfg.addRoute(n, "core")
	}
	d, err := serve(f, cfg, [4]int{6, 6, 5, 5}, 22)
	if err != nil {
		return 0, err
	}
	time.Sleep(uptime)
	until := time.Now().Add(28 * time.Second)
	var wait sync.WaitGroup
	for n := 1; n <= series*pairs; n++ {
		if n == pairs+1 {
			time.Sleep(2 * time.Second)
		}
		if trouble {
			cfg.Routes[n].Service = "files"
			cfg.Version += 2
			f.put(cfg)
		}
		for i := range perEach {
			wait.Add(1)
			go func() {
				defer wait.Done()
				time.Sleep(time.Duration(i) * 5 * time.Millisecond)
				d.report.useFlow(f, d.clients[i%len(d.clients)], n, fmt.Sprintf("r%d.%d", n, i), until, 400*time.Millisecond, d.all)
			}()
		}
		time.Sleep(gap)
		if trouble {
			cfg.Routes[n].Service = "core"
			cfg.Version++
			f.put(cfg)
		}
		time.Sleep(4 * gap)
	}
	if trouble {
		for batch := range 3 {
			var rolled sync.WaitGroup
			for i := range together {
				rolled.Add(1)
				go func() {
					defer rolled.Done()
					_ = f.roll(f.fronts[5*(batch*together+i)%len(f.fronts)])
				}()
			}
			rolled.Wait()
			time.Sleep(1300 * time.Millisecond)
		}
	}
	wait.Wait()
	onFiles := 0
	for _, t := range d.all() {
		if t.service == "files" {
			onFiles += len(t.opened)
		}
	}
	f.record.log("%d flows were opened at targets of files", onFiles)
	d.attribute()
	return d.judge()
}
