package model_test

import (
	"testing"
	"time"

	"github.com/coriandershift/coriandershift/internal/coordination/fanout"
	"github.com/coriandershift/coriandershift/internal/protocol/fwdmsg"
	"github.com/coriandershift/coriandershift/internal/standin/envint"
)

// delegatingLink is a rate in bytes per second whose budget never covers a question to
// all agents, so that it is delegated.
const delegatingLink = 10_000

// deliverQuery delivers a query, a delegated one, or the reply to a delegate's query.
func (fs *faultSim) deliverQuery(a *agent, e fwdmsg.Envelope, payload []byte) {
	switch e.Kind {
	case fwdmsg.Query:
		questions, err := fwdmsg.ParseQuestions(payload)
		if err != nil {
			fs.fatalf("unreadable query: %v", err)
		}
		fs.runAgentActions(a, a.core.HandleQuery(fs.now, &e, questions))
	case fwdmsg.DelegatedQuery:
		asked, err := fwdmsg.ParseDelegation(payload)
		if err != nil {
			fs.fatalf("unreadable delegated query: %v", err)
		}
		fs.delegated++
		messages, _ := a.collector.Start(fs.now, &e, asked)
		fs.sendForBalancer(a, messages)
	case fwdmsg.QueryReply:
		fs.sendForBalancer(a, a.collector.HandleReply(&e, payload))
	}
}

// sendForBalancer sends what a delegate decided. A reply to the agent itself or to another
// delegate is delivered like a query.
func (fs *faultSim) sendForBalancer(a *agent, messages []fanout.Message) {
	for _, m := range messages {
		e, payload := clone(m.Envelope, m.Payload)
		to := m.To
		fs.transmit(func() {
			fs.deliverToAgent(to, e, payload)
			fs.deliverToBalancer(to, e, payload)
		})
	}
}

// TestModelOnNarrowLinks is TestModel with balancers that have agents ask others.
func TestModelOnNarrowLinks(t *testing.T) {
	first, seeds, minutes := envint.Get(t, "MODEL_FIRST", 1), envint.Get(t, "MODEL_SEEDS", 3), envint.Get(t, "MODEL_MINUTES", 2)
	for seed := first; seed < first+seeds; seed++ {
		sim := newFaultSimOnLinks(t, uint64(seed), delegatingLink)
		sim.run(5 * time.Second)
		for range minutes * 60 * 10 {
			for range 4 {
				sim.openFlow()
			}
			if sim.random.IntN(25) == 0 {
				sim.injectFault()
			}
			sim.run(100 * time.Millisecond)
			sim.dropFinishedFlows()
		}
		if sim.delegated == 0 {
			sim.fatalf("nothing was delegated")
		}
		t.Logf("seed %d: %d packets delivered, %d answers, %d resets, %d delegated queries", sim.seed, sim.delivered, sim.answers, sim.resets, sim.delegated)
	}
}
