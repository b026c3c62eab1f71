package owner

import (
	"time"

	"github.com/coriandershift/coriandershift/internal/protocol/fwdmsg"
	"github.com/coriandershift/coriandershift/internal/state/config"
	"github.com/coriandershift/coriandershift/internal/state/flow"
)

// ActionKind is what becomes of a packet.
type ActionKind uint8

// The kinds of action.
const (
	// Drop throws the packet away.
	Drop ActionKind = iota
	// Deliver gives it to the upstream.
	Deliver
	// Answer sends the upstream's packet to the caller.
	Answer
	// Forward hands it to another agent, or back to the balancer.
	Forward
	// Notify sends a note to the balancer.
	Notify
	// Reset tells the caller that the flow does not exist.
	Reset
	// Hold keeps an opening packet until the upstream has room.
	Hold
)

// Action is a decision. Reason is empty for packets of known flows.
type Action struct {
	Kind     ActionKind
	Reason   Reason
	Key      flow.Key
	To       flow.Endpoint
	Envelope fwdmsg.Envelope
	Packet   []byte

	// Tag is what to mark a delivered packet with.
	Tag uint32

	// Sequence is that of a reset.
	Sequence uint32

	// Load is the number of requests at the upstream.
	Load int
}

// Reason says why a packet went where it did.
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
	EvictedForYounger Reason = "evictedForYounger"
	Overloaded        Reason = "overloaded"
	Bounced           Reason = "bounced"
	NoAnswer          Reason = "noAnswer"
	UpstreamGone      Reason = "upstreamGone"
	TableFull         Reason = "tableFull"
	Unconfigured      Reason = "unconfigured"
)

// Completion is the end of one request, seen from its packets.
type Completion struct {
	Key      flow.Key
	Kind     config.Kind
	Duration time.Duration
	Outcome  Outcome
}
