package steer

import (
	"time"

	"github.com/coriandershift/coriandershift/internal/protocol/fwdmsg"
	"github.com/coriandershift/coriandershift/internal/state/flow"
)

// ActionKind says what to do with a packet.
type ActionKind uint8

const (
	// Drop discards the packet.
	Drop ActionKind = iota
	// Send sends Packet in Envelope to the agent To.
	Send
	// Reset tells the flow's caller that the flow does not exist.
	Reset
	// Hold needs nothing done: the Router keeps a copy of the packet until it can be routed.
	Hold
)

// Action is a decision on one packet, or a query to an agent. Reason is empty for
// packets of cached flows and for queries.
type Action struct {
	Kind   ActionKind
	Reason Reason
	Key    flow.Key

	// To is the receiving agent of a Send; with NotFoundAgentSilent it is an agent
	// that did not answer. Envelope and Packet are set for a Send.
	To       flow.Endpoint
	Envelope fwdmsg.Envelope
	Packet   []byte

	// Sequence is the sequence number of the reset packet to send.
	Sequence uint32

	// SearchTime is the time since the search for an unknown flow began, set when it ends
	// with Found, FlowGone or one of the reasons that begin with NotFound.
	SearchTime time.Duration

	// Load is the expected number of requests per slot at the agent chosen for a new
	// flow. LoadAge is the age of the report behind it, 0 if there was none.
	Load    float64
	LoadAge time.Duration

	// Priority is the priority of the flow's route; set with LinkBusy.
	Priority int
}

// Reason says why a packet was routed, held, dropped or reset. It appears in logs and metrics.
type Reason string

const (
	Starting               Reason = "starting"               // the balancer does not know enough agents yet
	Placed                 Reason = "placed"                 // new flow
	PlacedAllFull          Reason = "placedAllFull"          // new flow; all candidate agents are full
	PlacedNextAfterSilence Reason = "placedNextAfterSilence" // new flow; the agent tried before sent no notice in time
	Lookup                 Reason = "lookup"                 // unknown flow; sent along its highest ranked agents
	Offered                Reason = "offered"                // unknown flow; sent to an agent that cannot tell whether it has the flow
	Found                  Reason = "found"                  // an agent answered a query that it has the flow
	FlowGone               Reason = "flowGone"               // no agent has the flow
	RouteUnknown           Reason = "routeUnknown"           // new flow; waits for a configuration that has its route
	NoRoute                Reason = "noRoute"                // new flow; no route for the destination address
	NoUpstream             Reason = "noUpstream"             // no agent to send the packet to

	// A flow that no agent reports may still exist if an agent could not tell, if one
	// died shortly before, if this balancer does not know all agents yet, or if an
	// agent did not answer. Its caller gets no reset then. NotFoundAgentUncertain also
	// covers agents that changed during the search, and too many agents or searches.
	NotFoundAgentUncertain Reason = "notFoundAgentUnsure"
	NotFoundAgentDied      Reason = "notFoundAgentDied"
	NotFoundAgentsUnknown  Reason = "notFoundAgentsUnknown"
	NotFoundAgentSilent    Reason = "notFoundAgentSilent"

	LinkQueued    Reason = "linkQueued"    // new flow; waits until the link can carry it
	LinkBusy      Reason = "linkBusy"      // new flow; the link cannot carry it in time
	LinkBusyAgain Reason = "linkBusyAgain" // copy of the opening packet of a flow that was refused with LinkBusy
	LinkLate      Reason = "linkLate"      // new flow; the link cannot carry it in time, and another balancer may have placed it

	Resuming  Reason = "resuming"  // opening packet that may have waited while this process was paused
	Malformed Reason = "malformed" // the packet could not be parsed
)
