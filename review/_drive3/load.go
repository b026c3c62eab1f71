package main

import (
	"fmt"
	"sync"
	"time"
)

// load sends requests with a flow each at a rate until stop is closed.
func (f *fleet) load(perSecond int, seen *openings, stop chan struct{}, running *sync.WaitGroup) {
	ticker := time.NewTicker(time.Second / time.Duration(perSecond))
	defer ticker.Stop()
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-ticker.C:
		}
		running.Add(1)
		go func() {
			defer running.Done()
			sent := time.Now()
			outcome := useOnce(f.clients[i%len(f.clients)], i, seen)
			f.log.at(sent, "request %s: %s", fmt.Sprintf("r-%d", i), outcome)
		}()
	}
}
