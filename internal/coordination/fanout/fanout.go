// Package fanout asks agents about flows on behalf of balancers, whose links are slower
// than those of agents: a balancer sends one message to an agent, its delegate, which
// asks the others and answers with their combined replies. The package does no I/O.
package fanout

import (
	"maps"
	"slices"
	"time"

	"github.com/coriandershift/coriandershift/internal/protocol/fwdmsg"
	"github.com/coriandershift/coriandershift/internal/state/flow"
)

const (
	// Deadline is the time after which a delegation is answered with the replies that
	// have arrived. Agents reply within a few milliseconds, or after the repeat.
	Deadline = 200 * time.Millisecond

	// resendDelay is the time after which a question is repeated to the agents that have
	// not replied.
	resendDelay = 100 * time.Millisecond

	// maxDelegations limits the delegations in progress, of up to 4 KB each. Each sends
	// up to 100 queries of up to 600 bytes, so that 64 within the Deadline, all repeated,
	// take less than a third of a link of 1,000 Mbit/s.
	maxDelegations = 64
)

// Message is a message to send.
type Message struct {
	To       flow.Endpoint
	Envelope fwdmsg.Envelope
	Payload  []byte

	// Silent are, in a DelegatedReply, the agents that had not replied by the Deadline.
	Silent []flow.Endpoint
}

// Collector asks agents for balancers and collects their replies. It is not safe for
// concurrent use.
type Collector struct {
	self        flow.Endpoint
	delegations map[uint16]*delegation // by the QueryID of the queries to the agents
	lastQueryID uint16
	messages    []Message
}

// New returns a Collector for the agent at the address self, started at now.
func New(self flow.Endpoint, now time.Time) *Collector {
	return &Collector{
		self:        self,
		delegations: map[uint16]*delegation{},
		// Late replies to queries of an earlier process must not fit those of this one.
		lastQueryID: uint16(now.UnixMilli()),
	}
}

// Start asks the agents of a balancer's DelegatedQuery. It returns false if too many
// delegations are in progress, and no messages if this one already is. The messages are
// valid until the next call.
func (c *Collector) Start(now time.Time, e *fwdmsg.Envelope, asked fwdmsg.Delegation) ([]Message, bool) {
	c.messages = c.messages[:0]
	for _, d := range c.delegations {
		if d.envelope.Balancer == e.Balancer && d.envelope.QueryID == e.QueryID {
			return nil, true
		}
	}
	if len(c.delegations) >= maxDelegations {
		return nil, false
	}

	d := newDelegation(now, e, &asked)
	id := c.nextQueryID()
	c.delegations[id] = d
	c.ask(id, d)
	return c.messages, true
}

// HandleReply handles a QueryReply of an agent. The messages are valid until the next call.
func (c *Collector) HandleReply(e *fwdmsg.Envelope, statuses []byte) []Message {
	c.messages = c.messages[:0]
	d := c.delegations[e.QueryID]
	if d == nil || len(statuses) != len(d.replies.Holders) {
		return nil
	}
	d.recordReply(e.Agent, statuses)
	if d.pending == 0 || d.allFound() {
		c.finish(e.QueryID, d)
	}
	return c.messages
}

// NextTick returns when Tick is due, and false if no delegation is in progress.
func (c *Collector) NextTick() (time.Time, bool) {
	var next time.Time
	for _, d := range c.delegations {
		if due := d.due(); next.IsZero() || due.Before(next) {
			next = due
		}
	}
	return next, !next.IsZero()
}

// Tick repeats questions to agents that have not replied, and answers delegations that
// have reached their Deadline. The messages are valid until the next call.
func (c *Collector) Tick(now time.Time) []Message {
	c.messages = c.messages[:0]
	for _, id := range slices.Sorted(maps.Keys(c.delegations)) {
		d := c.delegations[id]
		if now.Before(d.due()) {
			continue
		}
		if now.Sub(d.startedAt) >= Deadline {
			c.finish(id, d)
			continue
		}
		d.resent = true
		c.ask(id, d)
	}
	return c.messages
}

func (c *Collector) nextQueryID() uint16 {
	c.lastQueryID++
	for c.delegations[c.lastQueryID] != nil {
		c.lastQueryID++
	}
	return c.lastQueryID
}

// ask sends the questions to the agents that have not replied.
func (c *Collector) ask(id uint16, d *delegation) {
	e := fwdmsg.Envelope{Kind: fwdmsg.Query, QueryID: id, Balancer: c.self, Revision: d.envelope.Revision}
	for _, agent := range d.silent() {
		c.messages = append(c.messages, Message{To: agent, Envelope: e, Payload: d.questions})
	}
}

// finish sends the balancer the replies that have arrived and ends the delegation.
func (c *Collector) finish(id uint16, d *delegation) {
	delete(c.delegations, id)
	reply := Message{
		To:       d.envelope.Balancer,
		Envelope: fwdmsg.Envelope{Kind: fwdmsg.DelegatedReply, QueryID: d.envelope.QueryID, Balancer: d.envelope.Balancer, Agent: c.self, Revision: d.envelope.Revision},
		Payload:  d.replies.Append(nil),
	}
	if !d.allFound() {
		reply.Silent = d.silent()
	}
	c.messages = append(c.messages, reply)
}
