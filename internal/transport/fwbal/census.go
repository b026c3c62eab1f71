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

// censusPause is the time between two attempts to read the census.
const censusPause = time.Second

// expect learns which members were known before this process started. Without
// that it takes long until it is sure of its agents, so it asks until the store answers.
func (n *Balancer) expect(ctx context.Context) {
	for ctx.Err() == nil {
		members, err := n.link.ReadCensus(ctx)
		if err == nil {
			n.expected(&members)
			return
		}
		n.log.Info("no census", "error", err)
		if errors.Is(err, coriandershift.ErrNotFound) {
			return
		}
		select {
		case <-ctx.Done():
		case <-time.After(censusPause):
		}
	}
}

func (n *Balancer) expected(members *ctrl.Census) {
	var endpoints []flow.Endpoint
	for _, a := range slices.Concat(members.Balancers, members.Agents) {
		endpoints = append(endpoints, flow.EndpointOf(a))
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.core.ExpectMembers(endpoints)
	n.log.Info("census read", "members", len(endpoints))
}
