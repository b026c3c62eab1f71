// Package accept decides whether an agent accepts a new flow or passes it on to
// the next agent. All datagrams with the same first connection ID, the one that the
// caller chose, get the same decision. Memory is bounded.
package accept

import (
	"net/netip"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

const (
	// MaxRemembered is the largest number of first connection IDs remembered.
	MaxRemembered = 8192

	// RememberFor is how long a first connection ID is remembered: long enough for a
	// handshake.
	RememberFor = 10 * time.Second
)

// Decision says what an agent does with a datagram.
type Decision struct {
	// Accept reports whether the agent keeps the flow.
	Accept bool

	// NextAgent is the agent to pass the flow on to, if Accept is false.
	NextAgent netip.AddrPort
}

// Table remembers decisions. It is not safe for concurrent use.
type Table struct {
	entries *simplelru.LRU[string, entry]
}

type entry struct {
	decision  Decision
	expiresAt time.Time
}

// New returns an empty Table.
func New() *Table {
	entries, err := simplelru.NewLRU[string, entry](MaxRemembered, nil)
	if err != nil {
		panic(err) // only a size below 1 fails
	}
	return &Table{entries: entries}
}

// Decide returns the decision on a datagram with a first connection ID. The ranks
// are the agents to try next, in order. When no rank is left, an agent accepts the
// flow even if mayAccept is false, so that the caller gets an answer.
func (t *Table) Decide(now time.Time, id []byte, ranks []netip.AddrPort, mayAccept bool) Decision {
	key := string(id)
	if e, ok := t.entries.Get(key); ok && now.Before(e.expiresAt) {
		return e.decision
	}

	d := Decision{Accept: mayAccept || len(ranks) == 0}
	if !d.Accept {
		d.NextAgent = ranks[0]
	}
	t.entries.Add(key, entry{decision: d, expiresAt: now.Add(RememberFor)})
	return d
}

// Len returns how many first connection IDs are remembered.
func (t *Table) Len() int {
	return t.entries.Len()
}
