package model_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/coriandershift/coriandershift/internal/standin/envint"
	"github.com/coriandershift/coriandershift/internal/state/config"
	"github.com/coriandershift/coriandershift/internal/state/flow"
)

const (
	versionAddresses = 4

	// maxChangeDelay is the longest time until a configuration reaches a process, and
	// changeInForceWithin the platform's limit for that.
	maxChangeDelay      = 2500 * time.Millisecond
	changeInForceWithin = 3 * time.Second
)

// versions holds what the simulation of configurations in quick succession counts and checks.
type versions struct {
	services []string
	history  []*config.Config
	ackedAt  []time.Time // when each of history was written

	// olderSteps are the configurations without a flow's route that an agent with the flow
	// adopted before the one under which the flow was opened. unknownRoutes are packets of
	// open flows at balancers without the route, unexpectedServices those at balancers whose
	// route does not lead to the flow's service.
	olderSteps, unknownRoutes, unexpectedServices int
}

func versionAddress(number int) flow.Endpoint {
	return flow.Endpoint{IP: [4]byte{198, 18, 0, 2}, Port: uint16(number + 1)}
}

// newVersionSim returns a deployment of a number of services, each with two agents or more.
func newVersionSim(t *testing.T, seed uint64, services int) *faultSim {
	fs := newFaultWorld(t, seed, 0)
	fs.versions = &versions{services: []string{"svc"}}
	for len(fs.versions.services) < services {
		name := fmt.Sprint("svc-", len(fs.versions.services))
		fs.versions.services = append(fs.versions.services, name)
		fs.cfg.Services = append(fs.cfg.Services, config.Service{Name: name, Limits: fs.cfg.Services[0].Limits})
	}
	fs.cfg.FormerFrom = fs.cfg.Revision
	for len(fs.agents) < 2*services {
		fs.agents = append(fs.agents, &agent{endpoint: flow.Endpoint{IP: [4]byte{10, 0, 2, byte(len(fs.agents))}, Port: 7000}})
	}
	for i, a := range fs.agents {
		a.service = fs.versions.services[i%services]
	}
	fs.recordVersion()
	fs.start()
	return fs
}

func (fs *faultSim) recordVersion() {
	fs.versions.history = append(fs.versions.history, fs.cfg)
	fs.versions.ackedAt = append(fs.versions.ackedAt, fs.now)
}

// routeOf returns the route of an address, nil if a configuration has none.
func routeOf(c *config.Config, address flow.Endpoint) *config.Route {
	i := slices.IndexFunc(c.Routes, func(r config.Route) bool { return flow.EndpointOf(r.Address) == address })
	if i < 0 {
		return nil
	}
	return &c.Routes[i]
}

// changeRoute writes a configuration in which the route of one address is added, dropped or
// moved, and gives it to each process late; it may skip some.
func (fs *faultSim) changeRoute() {
	to := versionAddress(fs.random.IntN(versionAddresses))
	next := fs.cfg.Clone()
	next.Revision++
	next.Operators = next.Revision
	previous := routeOf(next, to)
	next.Routes = slices.DeleteFunc(next.Routes, func(r config.Route) bool { return flow.EndpointOf(r.Address) == to })
	if previous == nil || fs.random.IntN(3) > 0 {
		service := fs.versions.services[fs.random.IntN(len(fs.versions.services))]
		next.Routes = append(next.Routes, config.Route{
			Name: fmt.Sprint(to), Address: to.AddrPort(), Kind: config.Idempotent, Objective: 200,
			Shares: []config.Share{{Service: service, Weight: 1}},
		})
	}
	next.RecordFormer(fs.cfg)
	fs.cfg = next
	fs.recordVersion()
	for _, b := range fs.balancers {
		fs.spread(func(c *config.Config) { fs.configureBalancer(b, c) }, next, func() *config.Config { return b.cfg })
	}
	for _, a := range fs.agents {
		fs.spread(func(c *config.Config) { fs.countOlderStep(a, c); fs.configureAgent(a, c) }, next, func() *config.Config { return a.cfg })
	}
}

// spread gives a configuration to a process after a random delay, one in three after
// maxChangeDelay. A process skips it if it has a later one by then. One in ten comes as a
// whole, without the configurations in between.
func (fs *faultSim) spread(apply func(*config.Config), next *config.Config, inForce func() *config.Config) {
	delay := maxChangeDelay
	if fs.random.IntN(3) > 0 {
		delay = time.Duration(fs.random.Int64N(int64(maxChangeDelay)))
	}
	whole := fs.random.IntN(10) == 0
	fs.schedule(delay, func() {
		c := next
		if whole {
			c = next.Clone()
			c.RecordFormerAcrossGap(inForce())
		}
		apply(c)
	})
}

// countOlderStep counts the flows at an agent that are younger than a configuration which
// lacks their route.
func (fs *faultSim) countOlderStep(a *agent, c *config.Config) {
	if c.Revision <= a.cfg.Revision {
		return
	}
	for key, f := range fs.callerFlows {
		if f.agent == a && !f.done && f.revision > c.Revision && routeOf(c, key.Service) == nil {
			fs.versions.olderSteps++
		}
	}
}

// countUnexpected counts the packets of open flows that reach a balancer which does not
// expect them.
func (fs *faultSim) countUnexpected(c *callerFlow, b *balancer) {
	if fs.versions == nil || c.upstream == nil {
		return
	}
	switch route := routeOf(b.cfg, c.key.Service); {
	case route == nil:
		fs.versions.unknownRoutes++
	case !route.Serves(c.agent.service):
		fs.versions.unexpectedServices++
	}
}

// wasDropped reports whether the route of a flow was missing in any configuration since
// shortly before the caller opened it.
func (fs *faultSim) wasDropped(c *callerFlow) bool {
	if fs.versions == nil {
		return false
	}
	for _, cfg := range fs.versions.history {
		if cfg.Revision >= c.revision && routeOf(cfg, c.key.Service) == nil {
			return true
		}
	}
	return false
}

// checkRoute checks that a new flow goes to a service to which its route led within the time
// in which changes must be in force.
func (fs *faultSim) checkRoute(a *agent, p *flow.Packet) {
	c := fs.callerFlows[p.KeyFromCaller()]
	if fs.versions == nil || c == nil || !p.IsOpening() || c.upstream != nil {
		return
	}
	for i, cfg := range fs.versions.history {
		replacedAt := fs.now
		if i+1 < len(fs.versions.ackedAt) {
			replacedAt = fs.versions.ackedAt[i+1]
		}
		route := routeOf(cfg, c.key.Service)
		if c.started.Sub(replacedAt) < changeInForceWithin && route != nil && route.Serves(a.service) {
			return
		}
	}
	fs.fatalf("%v opened flow %v at a service that its route does not lead to for over %v", a.endpoint, c.key, changeInForceWithin)
}

// openRouted opens a flow to an address that has a route in the latest configuration.
func (fs *faultSim) openRouted() {
	if len(fs.cfg.Routes) > 0 {
		fs.openFlowTo(flow.EndpointOf(fs.cfg.Routes[fs.random.IntN(len(fs.cfg.Routes))].Address))
	}
}

// injectVersionFault restarts a process at times, or pauses it.
func (fs *faultSim) injectVersionFault() {
	a := fs.agents[fs.random.IntN(len(fs.agents))]
	b := fs.balancers[fs.random.IntN(len(fs.balancers))]
	switch fs.random.IntN(4) {
	case 0:
		fs.startBalancer(b)
	case 1:
		fs.restartAgent(a)
	case 2:
		a.upstream = nil
		a.faultAt = fs.now
		fs.schedule(time.Duration(fs.random.IntN(500))*time.Millisecond, func() { fs.startUpstream(a) })
	case 3:
		fs.pauseBalancer(b)
	}
}

// TestNoOpenFlowIsResetWhileConfigurationsFollowEachOther simulates configurations in quick
// succession that add, drop, add again and move routes, of which each process gets some, late.
// Flows are opened as soon as their route is written and any packet goes to any balancer. No
// flow of a living upstream may be reset unless a configuration dropped its route after it was
// opened (second review, cases 6, 7 and 9). VERSIONS_FIRST and VERSIONS_SEEDS choose other
// seeds.
func TestNoOpenFlowIsResetWhileConfigurationsFollowEachOther(t *testing.T) {
	first, seeds := envint.Get(t, "VERSIONS_FIRST", 1), envint.Get(t, "VERSIONS_SEEDS", 3)
	for name, services := range map[string]int{"two services": 2, "more services than are all searched": 10} {
		t.Run(name, func(t *testing.T) {
			var total versions
			for seed := first; seed < first+seeds; seed++ {
				v := runVersions(newVersionSim(t, uint64(seed), services))
				total.olderSteps += v.olderSteps
				total.unknownRoutes += v.unknownRoutes
				total.unexpectedServices += v.unexpectedServices
			}
			if total.olderSteps < 10*seeds || total.unknownRoutes < 50*seeds || total.unexpectedServices < 50*seeds {
				t.Errorf("too few of the orders that are to be tested: %+v", total)
			}
		})
	}
}

// runVersions runs twelve series of versions and returns what it counted.
func runVersions(fs *faultSim) *versions {
	fs.run(75 * time.Second) // so that no balancer has just started
	for range 12 {
		gap := time.Duration(80+fs.random.IntN(250)) * time.Millisecond
		for range 15 {
			fs.changeRoute()
			for range 3 {
				fs.openRouted()
			}
			fs.run(gap)
			if fs.random.IntN(20) == 0 {
				fs.injectVersionFault()
			}
		}
		fs.run(time.Duration(fs.random.IntN(5000)) * time.Millisecond)
		fs.dropFinishedFlows()
	}
	fs.run(10 * time.Second)
	if fs.answers < 500 {
		fs.fatalf("%d answers", fs.answers)
	}
	v := fs.versions
	fs.t.Logf("seed %d: %d answers, %d resets; %d older steps, %d packets at balancers without the route, %d with another service",
		fs.seed, fs.answers, fs.resets, v.olderSteps, v.unknownRoutes, v.unexpectedServices)
	return v
}
