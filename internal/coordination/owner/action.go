package owner

import (
	"time"

	"github.com/coriandershift/coriandershift/internal/protocol/fwdmsg"
	"github.com/coriandershift/coriandershift/internal/state/config"
	"github.com/coriandershift/coriandershift/internal/state/flow"
)

// ActionKind says what the agent does with a packet.
type ActionKind uint8

// The kinds of action.
const (
	// Drop discards the packet.
	Drop ActionKind = iota
	// Deliver sends it to the upstream.
	Deliver
	// Answer sends a packet of the upstream to the caller.
	Answer
	// Forward sends it to another agent, or back to the balancer.
	Forward
	// Notify sends a notice or a query reply to the balancer.
	Notify
	// Reset tells the caller that the flow does not exist.
	Reset
	// Hold needs nothing done: the Owner keeps a copy of the opening packet until the
	// upstream can take it.
	Hold
)

// Action is one step for the transport to carry out.
type Action struct {
	Kind ActionKind

	// Reason is empty for packets of known flows, packets of the upstream and notices.
	Reason Reason

	Key flow.Key

	// To and Envelope are set for Forward and Notify.
	To       flow.Endpoint
	Envelope fwdmsg.Envelope

	// Packet is the datagram to send, or the payload of a query reply.
	Packet []byte

	// Tag marks a delivered packet, so that its bounce can be recognized; 0 is no tag.
	Tag uint32

	// Sequence is the sequence number of a reset.
	Sequence uint32

	// Load is the number of requests at the upstream by which flows are admitted.
	Load int
}

// Reason says why an action was taken. The values appear in logs and metrics.
type Reason string

// The reasons.
const (
	Opened            Reason = "opened"
	Offered           Reason = "offered"
	Found             Reason = "found"
	NotHeld           Reason = "notHeld"
	NoUpstream        Reason = "noUpstream"
	UpstreamSilent    Reason = "upstreamSilent"
	WrongService      Reason = "wrongService"
	RouteDropped      Reason = "routeDropped"
	DomainOut         Reason = "domainOut"
	UpstreamDraining  Reason = "upstreamDraining"
	AgentStopping     Reason = "agentStopping"
	ColdLimit         Reason = "coldLimit"
	Full              Reason = "full"
	Queued            Reason = "queued"
	Expired           Reason = "expired"
	EvictedForYounger Reason = "evictedForYounger" // it would have been late
	EvictedForOthers  Reason = "evictedForOthers"  // its caller had more waiting flows than others
	Overloaded        Reason = "overloaded"
	Bounced           Reason = "bounced"
	NoAnswer          Reason = "noAnswer"
	UpstreamGone      Reason = "upstreamGone"
	TableFull         Reason = "tableFull"
	Unconfigured      Reason = "unconfigured"
	Resuming          Reason = "resuming" // the process was paused until a moment ago
)

// Completion describes a request that ended, as seen from its packets.
type Completion struct {
	Key  flow.Key
	Kind config.Kind

	// Arrival is the time from the first to the last data of the request, Duration that
	// from its last data to its end.
	Arrival, Duration time.Duration

	Outcome Outcome
}
