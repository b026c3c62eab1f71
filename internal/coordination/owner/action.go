package owner

import (
	"time"

	"github.com/coriandershift/coriandershift/internal/protocol/fwdmsg"
	"github.com/coriandershift/coriandershift/internal/state/config"
	"github.com/coriandershift/coriandershift/internal/state/flow"
)

// Verb is what becomes of a packet.
type Verb uint8

// The verbs.
const (
	// Drop throws the packet away.
	Drop Verb = iota
	// Deliver gives it to the upstream.
	Deliver
	// Answer sends the upstream's packet to the caller.
	Answer
	// Forward hands it to another agent, or back to the balancer.
	Forward
	// Tell sends a note to the balancer.
	Tell
	// Reset tells the caller that the flow does not exist.
	Reset
	// Hold keeps an opening packet until the upstream has room.
	Hold
)

// Action is a decision. Reason is empty for packets of known flows.
type Action struct {
	Verb     Verb
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
	Opened       Reason = "opened"
	Offered      Reason = "offered"
	Found        Reason = "found"
	NotHeld      Reason = "notHeld"
	NoUpstream   Reason = "noUpstream"
	Silent       Reason = "upstreamSilent"
	WrongService Reason = "wrongService"
	RouteDropped Reason = "routeDropped"
	DomainOut    Reason = "domainOut"
	Leaving      Reason = "upstreamDraining"
	Stopping     Reason = "agentStopping"
	Cold         Reason = "coldLimit"
	Full         Reason = "full"
	Queued       Reason = "queued"
	Expired      Reason = "expired"
	Evicted      Reason = "evictedForYounger"
	Overloaded   Reason = "overloaded"
	Bounced      Reason = "bounced"
	NoAnswer     Reason = "noAnswer"
	Gone         Reason = "upstreamGone"
	TableFull    Reason = "tableFull"
	Unconfigured Reason = "unconfigured"
)

// Completion is the end of one request, seen from its packets.
type Completion struct {
	Key     flow.Key
	Kind    config.Kind
	Took    time.Duration
	Outcome Outcome
}
