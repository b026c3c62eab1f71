package fwbal

import (
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/coriandershift/coriandershift"
	"github.com/coriandershift/coriandershift/internal/state/flow"
	"github.com/coriandershift/coriandershift/internal/transport/ctrl"
)

// censusRetryDelay is the delay after a failed attempt to read the census.
const censusRetryDelay = time.Second

// loadCensus tells the router which members were known before this process started.
// Without the census it takes the router much longer to regard its list of agents as
// complete, so loadCensus retries until the store answers.
func (b *Balancer) loadCensus(ctx context.Context) {
	for ctx.Err() == nil {
		census, err := b.control.ReadCensus(ctx)
		if err == nil {
			b.applyCensus(&census)
			return
		}
		b.log.Info("no census", "error", err)
		if errors.Is(err, coriandershift.ErrNotFound) {
			return
		}
		select {
		case <-ctx.Done():
		case <-time.After(censusRetryDelay):
		}
	}
}

func (b *Balancer) applyCensus(census *ctrl.Census) {
	var endpoints []flow.Endpoint
	for _, address := range slices.Concat(census.Balancers, census.Agents) {
		endpoints = append(endpoints, flow.EndpointOf(address))
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.router.ExpectMembers(endpoints)
	b.log.Info("census read", "members", len(endpoints))
}
