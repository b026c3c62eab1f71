package steer_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/coriandershift/coriandershift/internal/coordination/fanout"
	"github.com/coriandershift/coriandershift/internal/protocol/fwdmsg"
	"github.com/coriandershift/coriandershift/internal/state/flow"
	"github.com/coriandershift/coriandershift/internal/state/roster"
)

const (
	faultBalancers = 3
	faultAgents    = 60
	faultFlows     = 30 // at each balancer, every third one of which is gone
	faultSeeds     = 40

	// faultLink is a rate in bytes per second whose budget of a second covers a question
	// about a few flows to 60 agents, but not one about 30.
	faultLink = 100_000
)

// faultFlow returns the port of a balancer's flow.
func faultFlow(balancer, i int) uint16 {
	return uint16(1000*(balancer+1) + i)
}

func isGoneFlow(i int) bool { return i%3 == 0 }

// loseFlows gives each flow to an agent, unless it is gone, and its packet to a balancer.
func loseFlows(fs *findSim) {
	for n, b := range fs.balancers {
		for i := range faultFlows {
			port := faultFlow(n, i)
			if !isGoneFlow(i) {
				fs.agents[fleetAgent(fs.random.IntN(faultAgents))].holds[data(port).KeyFromCaller()] = true
			}
			fs.lost(b, port)
		}
	}
}

// repeatPackets gives the balancers the callers' copies of packets of flows that they
// have neither found nor declared gone.
func repeatPackets(fs *findSim) {
	for n, b := range fs.balancers {
		for i := range faultFlows {
			key := data(faultFlow(n, i)).KeyFromCaller()
			if b.found[key].IsZero() && b.gone[key].IsZero() {
				fs.lost(b, faultFlow(n, i))
			}
		}
	}
}

// hearFromAll gives the balancers a notice of each agent that runs.
func hearFromAll(fs *findSim) {
	var members []roster.Member
	for _, m := range fleetMembers(0, faultAgents) {
		if !fs.agents[flow.EndpointOf(m.Address)].down {
			members = append(members, m)
		}
	}
	for _, b := range fs.balancers {
		hearFrom(b.router, fs.now, members)
	}
}

// checkFlows checks that no flow that an agent holds was declared gone, and that all
// others were found or declared gone.
func checkFlows(fs *findSim) {
	fs.t.Helper()
	for n, b := range fs.balancers {
		for i := range faultFlows {
			key := data(faultFlow(n, i)).KeyFromCaller()
			switch {
			case !isGoneFlow(i) && !b.gone[key].IsZero():
				fs.t.Errorf("balancer %d declared flow %d gone, which an agent holds", n, i)
			case b.found[key].IsZero() && b.gone[key].IsZero():
				fs.t.Errorf("balancer %d did not end its search for flow %d; sent by kind: %v", n, i, b.sent)
			}
		}
	}
}

// The load is the move of all flows by the fabric while delegates fail halfway: each first
// delegate ends after it has asked some of the agents.
func TestADelegateThatFailsHalfwayOnlyDelaysSearches(t *testing.T) {
	for seed := range uint64(faultSeeds) {
		fs := newFindSim(t, faultBalancers, faultAgents, faultLink)
		fs.random = rand.New(rand.NewPCG(seed, 1))
		sent := map[flow.Endpoint]int{} // by the first delegates
		limit := fs.random.IntN(faultAgents)
		fs.lose = func(from, to flow.Endpoint, kind fwdmsg.Kind) bool {
			if kind == fwdmsg.DelegatedQuery && len(sent) < faultBalancers {
				sent[to] = 0
			}
			a := fs.agents[from]
			if _, isDelegate := sent[from]; !isDelegate || a.down {
				return a != nil && a.down
			}
			if sent[from]++; sent[from] == limit+1 {
				a.down = true
				fs.schedule(fs.now.Add(time.Second), func() { fs.restart(a) })
			}
			return a.down
		}
		loseFlows(fs)
		for range 10 {
			fs.run(500 * time.Millisecond)
			repeatPackets(fs)
			hearFromAll(fs)
		}
		checkFlows(fs)
		if len(sent) == 0 {
			t.Fatal("nothing was delegated")
		}
	}
}

// restart starts an agent's process again; its upstream has kept its flows, about which
// the agent cannot tell for a while. The balancers learn of the restart at once.
func (fs *findSim) restart(a *simAgent) {
	a.down, a.uncertain = false, true
	fs.schedule(fs.now.Add(300*time.Millisecond), func() { a.uncertain = false })
	a.collector = fanout.New(a.self, fs.now)
	for _, b := range fs.balancers {
		m := agent(1, "svc")
		m.Address, m.Incarnation = a.self.AddrPort(), uint64(fs.now.UnixMilli())
		b.router.UpdateMembers(fs.now, []roster.Member{m})
	}
}

// The load is the move of all flows by the fabric on links that lose and delay messages,
// while agents freeze, end and restart, so that some cannot tell which flows they have.
func TestNoOpenFlowIsDeclaredGoneWhileAgentsFail(t *testing.T) {
	for seed := range uint64(faultSeeds) {
		fs := newFindSim(t, faultBalancers, faultAgents, faultLink)
		fs.random = rand.New(rand.NewPCG(seed, 1))
		fs.lose = func(flow.Endpoint, flow.Endpoint, fwdmsg.Kind) bool { return fs.random.IntN(20) == 0 }
		fs.maxJitter = 150 * time.Millisecond
		loseFlows(fs)
		for range 20 {
			a := fs.agents[fleetAgent(fs.random.IntN(faultAgents))]
			pause := time.Duration(fs.random.IntN(800)) * time.Millisecond
			switch fs.random.IntN(3) {
			case 0:
				a.down = true
				fs.schedule(fs.now.Add(pause), func() { fs.restart(a) })
			case 1:
				a.frozen = fs.now.Add(pause)
			}
			fs.run(time.Duration(50+fs.random.IntN(100)) * time.Millisecond)
			repeatPackets(fs)
			hearFromAll(fs)
		}
		fs.lose, fs.maxJitter = nil, 0
		for range 8 {
			fs.run(500 * time.Millisecond)
			repeatPackets(fs)
			hearFromAll(fs)
		}
		checkFlows(fs)
	}
}
