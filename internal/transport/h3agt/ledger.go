package h3agt

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/coriandershift/coriandershift/internal/coordination/claim"
	"github.com/coriandershift/coriandershift/internal/state/dedup"
	"github.com/coriandershift/coriandershift/internal/state/roster"
)

// ledger is this agent's table of idempotency keys, as a guard of some and a
// caller's agent for others. It is safe for concurrent use.
type ledger struct {
	mu    sync.Mutex
	table *dedup.Table
}

func newLedger() *ledger {
	return &ledger{table: dedup.New()}
}

func (l *ledger) begin(now time.Time, key string) (dedup.KeyStatus, *dedup.Answer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.table.Begin(now, key)
}

func (l *ledger) settle(now time.Time, key string, status dedup.KeyStatus, answer *dedup.Answer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if status == dedup.NotSeen {
		l.table.Release(key)
		return
	}
	l.table.End(now, key, status, answer)
}

// guard claims keys at this agent and at those that guard them.
type guard struct {
	self   netip.AddrPort
	ledger *ledger
	peers  func() []roster.Member
	client *peerClient
}

// grant is a key that may run, with the guards that know of it.
type grant struct {
	key    string
	guards []netip.AddrPort
}

// claim asks for a key: each guard in the same order at every agent, so that of
// two claims at once one is granted, and then this agent. A guard that does not
// answer is passed over. Unless the status is dedup.NotSeen, the request must not run.
func (g *guard) claim(ctx context.Context, key string) (*grant, dedup.KeyStatus, *dedup.Answer) {
	granted := &grant{key: key}
	for _, m := range claim.GuardsOf(key, g.peers()) {
		if m.Address == g.self {
			status, answer := g.ledger.begin(time.Now(), key)
			if status != dedup.NotSeen {
				g.settle(granted, dedup.NotSeen, nil)
				return nil, status, answer
			}
			granted.guards = append(granted.guards, netip.AddrPort{})
			continue
		}

		answer, err := g.client.claim(ctx, m.Admin, key)
		if err != nil {
			continue
		}
		if answer.Status != dedup.NotSeen {
			g.settle(granted, dedup.NotSeen, nil)
			return nil, answer.Status, answer.Answer
		}
		granted.guards = append(granted.guards, m.Admin)
	}
	return g.claimHere(granted)
}

// claimHere also keeps the key at this agent, for a caller that asks again on the same flow.
func (g *guard) claimHere(granted *grant) (*grant, dedup.KeyStatus, *dedup.Answer) {
	for _, address := range granted.guards {
		if !address.IsValid() {
			return granted, dedup.NotSeen, nil
		}
	}

	status, answer := g.ledger.begin(time.Now(), granted.key)
	if status != dedup.NotSeen {
		g.settle(granted, dedup.NotSeen, nil)
		return nil, status, answer
	}
	granted.guards = append(granted.guards, netip.AddrPort{})
	return granted, dedup.NotSeen, nil
}

// settle tells all guards of a granted key how its request ended. It returns
// once this agent knows; the others are told in the background.
func (g *guard) settle(granted *grant, status dedup.KeyStatus, answer *dedup.Answer) {
	if granted == nil {
		return
	}
	for _, address := range granted.guards {
		if !address.IsValid() {
			g.ledger.settle(time.Now(), granted.key, status, answer)
			continue
		}
		go func() {
			// A guard that misses this keeps the key as running, and so refuses it: that is safe.
			request := claimRequest{Key: granted.key, Status: status, Answer: answer}
			_ = g.client.settle(context.Background(), address, request)
		}()
	}
}
