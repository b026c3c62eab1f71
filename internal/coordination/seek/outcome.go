package seek

import (
	"time"

	"github.com/coriandershift/coriandershift/internal/protocol/fwdmsg"
	"github.com/coriandershift/coriandershift/internal/state/flow"
)

// Kind says what to do for a search, or how it ended.
type Kind uint8

const (
	// Ask sends the message Packet of the kind Message to the agent To.
	Ask Kind = iota
	// Pass sends the caller's Packet to the agent To and, if it does not have the flow, along
	// Next.
	Pass
	// Offer sends the caller's Packet to the agent To, which cannot tell whether its upstream
	// has the flow.
	Offer
	// Found ends a search: the agent To has the flow and is to get Packet.
	Found
	// Gone ends a search: no agent has the flow.
	Gone
	// Unresolved ends a search for now: Cause says why it is not known where the flow is.
	Unresolved
)

// Cause says why a search did not find out whether a flow exists.
type Cause uint8

const (
	// AgentUncertain: an agent could not tell, or appeared or restarted during the search,
	// or there are too many agents or searches.
	AgentUncertain Cause = iota
	// AgentDied: an agent that may have had the flow died shortly before.
	AgentDied
	// AgentsUnknown: this balancer does not know all agents yet, or not to which services the
	// flow's route led.
	AgentsUnknown
	// AgentSilent: an agent did not answer.
	AgentSilent
	// NoUpstream: there is no agent that may have the flow.
	NoUpstream
)

// Outcome is a message to send for a search, or its end.
type Outcome struct {
	Kind  Kind
	Cause Cause // of Unresolved
	Key   flow.Key

	// To is the receiving agent; of Unresolved with AgentSilent, one that did not answer.
	To flow.Endpoint

	// Next are the agents that get the packet of a Pass after To, in turn, and WantNotice
	// says that the agent that has the flow is to report it.
	Next       []flow.Endpoint
	WantNotice bool

	// Message and QueryID are the kind of message of an Ask and its ID.
	Message fwdmsg.Kind
	QueryID uint16

	// Packet is what to send. It is valid until the next call of the Seeker.
	Packet []byte

	// Acknowledged is the acknowledgement number of the caller's latest packet; set with Gone.
	Acknowledged uint32

	// SearchTime is the time since the search began, once it ends.
	SearchTime time.Duration
}
