package steer

import (
	"time"

	"github.com/coriandershift/coriandershift/internal/protocol/fwdmsg"
	"github.com/coriandershift/coriandershift/internal/state/flow"
)

// Verb is what becomes of a packet.
type Verb uint8

// The verbs.
const (
	// Drop throws the packet away.
	Drop Verb = iota
	// Send forwards it in an envelope.
	Send
	// Reset tells the caller that the flow does not exist.
	Reset
	// Hold keeps the packet until it can be routed.
	Hold
)

// Action is a decision on one packet. Reason is empty for packets of known flows.
type Action struct {
	Verb   Verb
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
	Starting   Reason = "starting"
	Placed     Reason = "placed"
	PlacedFull Reason = "placedAllFull"
	PlacedNext Reason = "placedNextAfterSilence"
	Lookup     Reason = "lookup"
	Offered    Reason = "offered"
	Found      Reason = "found"
	Gone       Reason = "flowGone"
	NoRoute    Reason = "noRoute"
	NoUpstream Reason = "noUpstream"

	// A flow that no agent has may exist if an agent could not tell, if one died a
	// moment ago, or if this balancer does not know all agents yet.
	NotFoundUnsure    Reason = "notFoundAgentUnsure"
	NotFoundDead      Reason = "notFoundAgentDied"
	NotFoundUnsettled Reason = "notFoundAgentsUnknown"
	NotFoundSilent    Reason = "notFoundAgentSilent"
	Malformed         Reason = "malformed"
)
