package steer

import (
	"time"

	"github.com/coriandershift/coriandershift/internal/protocol/fwdmsg"
	"github.com/coriandershift/coriandershift/internal/state/flow"
)

// ActionKind is what becomes of a packet.
type ActionKind uint8

// The kinds of action.
const (
	// Drop throws the packet away.
	Drop ActionKind = iota
	// Send forwards it in an envelope.
	Send
	// Reset tells the caller that the flow does not exist.
	Reset
	// Hold keeps the packet until it can be routed.
	Hold
)

// Action is a decision on one packet. Reason is empty for packets of known flows.
type Action struct {
	Kind   ActionKind
	Reason Reason
	Key    flow.Key

	// To is the agent that gets the packet, or one that did not answer.
	To       flow.Endpoint
	Envelope fwdmsg.Envelope
	Packet   []byte

	// Sequence is that of a reset.
	Sequence uint32

	// Load is what is known of the chosen agent's load, and LoadAge its age.
	Load    float64
	LoadAge time.Duration
}

// Reason says why a packet went where it did.
type Reason string

// The reasons.
const (
	Starting               Reason = "starting"
	Placed                 Reason = "placed"
	PlacedAllFull          Reason = "placedAllFull"
	PlacedNextAfterSilence Reason = "placedNextAfterSilence"
	Lookup                 Reason = "lookup"
	Offered                Reason = "offered"
	Found                  Reason = "found"
	FlowGone               Reason = "flowGone"
	NoRoute                Reason = "noRoute"
	NoUpstream             Reason = "noUpstream"

	// A flow that no agent has may exist if an agent could not tell, if one died a
	// moment ago, or if this balancer does not know all agents yet.
	NotFoundAgentUncertain Reason = "notFoundAgentUnsure"
	NotFoundAgentDied      Reason = "notFoundAgentDied"
	NotFoundAgentsUnknown  Reason = "notFoundAgentsUnknown"
	NotFoundAgentSilent    Reason = "notFoundAgentSilent"
	Malformed              Reason = "malformed"
)
