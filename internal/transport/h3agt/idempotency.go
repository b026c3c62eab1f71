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

// keyTable remembers idempotency keys at this agent: those that it guards (see
// claim.GuardsOf) and those of its own callers' requests. It is safe for concurrent use.
type keyTable struct {
	mu    sync.Mutex
	table *dedup.Table
}

func newKeyTable() *keyTable {
	return &keyTable{table: dedup.New()}
}

// begin claims a key, see dedup.Table.Begin.
func (t *keyTable) begin(now time.Time, key string) (dedup.KeyStatus, *dedup.Answer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.table.Begin(now, key)
}

// settle records how the request with a key ended; dedup.NotSeen releases the key.
func (t *keyTable) settle(now time.Time, key string, status dedup.KeyStatus, answer *dedup.Answer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if status == dedup.NotSeen {
		t.table.Release(key)
		return
	}
	t.table.End(now, key, status, answer)
}

// keyClaimer claims idempotency keys at this agent and at the agents that guard them.
type keyClaimer struct {
	self   netip.AddrPort
	keys   *keyTable
	peers  func() []roster.Member
	client *peerClient
}

// keyGrant is a claimed key, whose request may run.
type keyGrant struct {
	key    string
	guards []netip.AddrPort // peer addresses of the agents that hold the claim; the zero value is this agent
}

// claim claims a key at its guards and then at this agent. Every agent asks the
// guards in the same order, so that of two concurrent claims one is granted rather
// than both refused. Guards that do not answer are skipped. Unless the status is
// dedup.NotSeen, the grant is nil and the request must not run.
func (c *keyClaimer) claim(ctx context.Context, key string) (*keyGrant, dedup.KeyStatus, *dedup.Answer) {
	grant := &keyGrant{key: key}
	for _, m := range claim.GuardsOf(key, c.peers()) {
		if m.Address == c.self {
			status, answer := c.keys.begin(time.Now(), key)
			if status != dedup.NotSeen {
				c.settle(grant, dedup.NotSeen, nil)
				return nil, status, answer
			}
			grant.guards = append(grant.guards, netip.AddrPort{})
			continue
		}

		answer, err := c.client.claim(ctx, m.Admin, key)
		if err != nil {
			continue
		}
		if answer.Status != dedup.NotSeen {
			c.settle(grant, dedup.NotSeen, nil)
			return nil, answer.Status, answer.Answer
		}
		grant.guards = append(grant.guards, m.Admin)
	}
	return c.claimLocally(grant)
}

// claimLocally claims the key at this agent too, unless it is one of the guards,
// so that a repeat on the same flow is recognized here.
func (c *keyClaimer) claimLocally(grant *keyGrant) (*keyGrant, dedup.KeyStatus, *dedup.Answer) {
	for _, address := range grant.guards {
		if !address.IsValid() {
			return grant, dedup.NotSeen, nil
		}
	}

	status, answer := c.keys.begin(time.Now(), grant.key)
	if status != dedup.NotSeen {
		c.settle(grant, dedup.NotSeen, nil)
		return nil, status, answer
	}
	grant.guards = append(grant.guards, netip.AddrPort{})
	return grant, dedup.NotSeen, nil
}

// settle records at all agents that hold a claim how its request ended;
// dedup.NotSeen releases the key. It returns once this agent has recorded it and
// notifies the others in the background. A nil grant is ignored.
func (c *keyClaimer) settle(grant *keyGrant, status dedup.KeyStatus, answer *dedup.Answer) {
	if grant == nil {
		return
	}
	for _, address := range grant.guards {
		if !address.IsValid() {
			c.keys.settle(time.Now(), grant.key, status, answer)
			continue
		}
		go func() {
			// A guard that misses this keeps the key as running and refuses repeats,
			// which is safe.
			request := claimRequest{Key: grant.key, Status: status, Answer: answer}
			_ = c.client.settle(context.Background(), address, request)
		}()
	}
}
