// Package accept decides at an agent what becomes of the first datagrams of a
// flow: whether to take the flow or hand it on to the next agent. All
// datagrams of one first connection ID get the same answer, in memory that
// does not grow.
package accept

import (
	"net/netip"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

const (
	// MaxRemembered is the number of first connection IDs remembered.
	MaxRemembered = 8192

	// RememberFor is how long a first connection ID is remembered.
	RememberFor = 10 * time.Second
)

// Decision says what becomes of a datagram.
type Decision struct {
	// Accept says that the agent keeps the flow.
	Accept bool

	// NextAgent is the agent to hand the flow to, if it is not taken.
	NextAgent netip.AddrPort
}

// Table remembers decisions. It is not safe for concurrent use.
type Table struct {
	known *simplelru.LRU[string, memory]
}

type memory struct {
	decision Decision
	until    time.Time
}

// New returns an empty Table.
func New() *Table {
	known, err := simplelru.NewLRU[string, memory](MaxRemembered, nil)
	if err != nil {
		panic(err) // only a size below 1 fails
	}
	return &Table{known: known}
}

// Decide returns what becomes of a datagram with a first connection ID. The
// ranks are the agents to try next. An agent that may not take the flow keeps
// it all the same when no rank is left, so that the caller gets an answer.
func (t *Table) Decide(now time.Time, id []byte, ranks []netip.AddrPort, mayTake bool) Decision {
	key := string(id)
	if m, ok := t.known.Get(key); ok && now.Before(m.until) {
		return m.decision
	}

	d := Decision{Accept: mayTake || len(ranks) == 0}
	if !d.Accept {
		d.NextAgent = ranks[0]
	}
	t.known.Add(key, memory{decision: d, until: now.Add(RememberFor)})
	return d
}

// Len returns how many first connection IDs are remembered.
func (t *Table) Len() int {
	return t.known.Len()
}
