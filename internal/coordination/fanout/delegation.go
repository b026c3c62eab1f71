package fanout

import (
	"bytes"
	"time"

	"github.com/coriandershift/coriandershift/internal/protocol/fwdmsg"
	"github.com/coriandershift/coriandershift/internal/state/flow"
)

// delegation is a balancer's DelegatedQuery that is not answered yet.
type delegation struct {
	startedAt time.Time
	resent    bool
	envelope  fwdmsg.Envelope // of the DelegatedQuery
	questions []byte          // the payload of the queries
	agents    []flow.Endpoint
	replies   fwdmsg.DelegatedReplies
	pending   int // agents that have not replied
}

func newDelegation(now time.Time, e *fwdmsg.Envelope, asked *fwdmsg.Delegation) *delegation {
	return &delegation{
		startedAt: now,
		envelope:  *e,
		questions: fwdmsg.AppendQuestions(nil, asked.Questions),
		agents:    asked.Agents,
		pending:   len(asked.Agents),
		replies: fwdmsg.DelegatedReplies{
			Answered:  make([]bool, len(asked.Agents)),
			Uncertain: make([]bool, len(asked.Agents)),
			Holders:   bytes.Repeat([]byte{fwdmsg.NoHolder}, len(asked.Questions)),
		},
	}
}

// due returns when the questions are to be repeated, or after that the deadline.
func (d *delegation) due() time.Time {
	if d.resent {
		return d.startedAt.Add(Deadline)
	}
	return d.startedAt.Add(resendDelay)
}

// recordReply records the first reply of an agent, one HeldStatus byte for each question.
func (d *delegation) recordReply(agent flow.Endpoint, statuses []byte) {
	for i, asked := range d.agents {
		if asked != agent || d.replies.Answered[i] {
			continue
		}
		d.replies.Answered[i] = true
		d.pending--
		for j, status := range statuses {
			switch fwdmsg.HeldStatus(status) {
			case fwdmsg.Held:
				d.recordHolder(j, i)
			case fwdmsg.Uncertain:
				d.replies.Uncertain[i] = true
			}
		}
	}
}

// recordHolder records the first agent that reports to have a flow.
func (d *delegation) recordHolder(question, agent int) {
	if d.replies.Holders[question] == fwdmsg.NoHolder {
		d.replies.Holders[question] = byte(agent)
	}
}

// allFound reports whether every flow has a holder.
func (d *delegation) allFound() bool {
	return !bytes.Contains(d.replies.Holders, []byte{fwdmsg.NoHolder})
}

// silent returns the agents that have not replied.
func (d *delegation) silent() []flow.Endpoint {
	var agents []flow.Endpoint
	for i, agent := range d.agents {
		if !d.replies.Answered[i] {
			agents = append(agents, agent)
		}
	}
	return agents
}
