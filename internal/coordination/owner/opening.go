package owner

import (
	"slices"
	"time"

	"github.com/coriandershift/coriandershift/internal/protocol/fwdmsg"
	"github.com/coriandershift/coriandershift/internal/state/flow"
)

// attemptPeriod is the time after which a caller ends an attempt whose flow has not opened.
const attemptPeriod = 1400 * time.Millisecond

// handleOpening opens, queues, forwards or refuses a new flow. A copy of an opening
// packet is delivered again while the caller may wait for the upstream's answer, and only
// confirmed to the balancer if its flow waits or is open. Copies can be seconds late: from
// the sockets of processes that were paused, or from full links.
func (o *Owner) handleOpening(now time.Time, key flow.Key, e *fwdmsg.Envelope, p *flow.Packet) {
	if known := o.flows[key]; known != nil {
		if known.callerStart == p.Sequence && !known.closed() {
			if !known.open && now.Sub(known.openedAt) < attemptPeriod {
				o.deliver(key, p.Raw, 0, "")
			}
			o.notifyBalancer(now, key, e, false)
			return
		}
		o.removeFlow(key, known) // the caller has reused its port
	}

	if o.backlog.Contains(key, p.Sequence) {
		o.notifyBalancer(now, key, e, false)
		return
	}

	o.backlog.RecordAsked(now, key.Caller.IP)
	reason := o.checkAdmission(now, key, e)
	switch reason {
	case "":
		o.deliverOpening(now, key, p.Sequence, p.Raw, e)
		o.notifyBalancer(now, key, e, false)
	case Full:
		o.handleFull(now, key, e, p)
	case Unconfigured:
		o.enqueue(now, key, e, p)
	case Resuming:
		// The packet may have waited here for seconds while others opened the flow. Callers and
		// balancers repeat one that is still wanted.
		o.actions = append(o.actions, Action{Kind: Drop, Reason: reason, Key: key, Load: o.load()})
	default:
		o.forwardOrRefuse(now, key, e, p.Raw, reason)
	}
}

// deliverOpening adds a flow and delivers its opening packet to the upstream.
func (o *Owner) deliverOpening(now time.Time, key flow.Key, sequence uint32, packet []byte, e *fwdmsg.Envelope) {
	if earlier := o.flows[key]; earlier != nil {
		o.removeFlow(key, earlier) // the upstream sent packets of it while the new flow waited
	}
	known := &entry{
		openedAt: now, lastPacketAt: now, callerStart: sequence, packet: slices.Clone(packet), envelope: *e,
		mayPredate: !o.knowsAllFlows(now),
		stream:     stream{start: sequence + 1, next: sequence + 1, end: sequence + 1, known: true},
	}
	if !known.mayPredate {
		known.revision = max(e.Revision, o.cfg.Revision)
	}
	o.addFlow(key, known)
	o.handshakes[key] = known
	o.countOpening(key, known)
	o.backlog.RecordOpened(now, key.Caller.IP)
	o.deliver(key, packet, 0, Opened)
}

// checkAdmission returns why a new flow may not be opened here now, or "" if it may.
func (o *Owner) checkAdmission(now time.Time, key flow.Key, e *fwdmsg.Envelope) Reason {
	if reason := o.checkEligible(key, e); reason != "" {
		return reason
	}
	if o.pause.Resuming(now) {
		return Resuming
	}
	if len(o.flows) >= maxFlows || (o.limits.Connections > 0 && o.connections >= o.limits.Connections) {
		return TableFull
	}
	if o.failedOpenings >= silentThreshold {
		return UpstreamSilent
	}
	if o.load() >= o.admissionLimit(e) || o.backlog.Len() > 0 || o.hadShare(now, key) {
		return Full
	}
	if !now.Before(o.coldUntil) {
		return ""
	}
	if o.cfg.Revision == 0 {
		return Unconfigured // the limits of a cold upstream are not known yet
	}
	if !o.ramp.admit(now) {
		return ColdLimit
	}
	return ""
}

// checkEligible returns why the upstream may get no new flow of a key whatever its
// load, or "" if it may.
func (o *Owner) checkEligible(key flow.Key, e *fwdmsg.Envelope) Reason {
	switch {
	case o.upstream == nil:
		return NoUpstream
	case o.upstream.State != flow.Serving:
		return UpstreamDraining
	case o.stopping:
		return AgentStopping
	case o.domainOut:
		return DomainOut
	case e.ServiceHash != o.serviceHash:
		return WrongService
	}

	// A balancer with a newer configuration knows the route better than this agent.
	if e.Revision > o.cfg.Revision {
		return ""
	}
	route := o.routes[key.Service]
	if route == nil {
		return RouteDropped
	}
	if !route.Serves(o.settings.Service) {
		return WrongService
	}
	return ""
}

// forwardOrRefuse forwards an opening packet to the next agent. If there is none, it
// resets the caller, which thus learns at once that its request did not run. It drops
// the packet instead if another agent may have it, or if a retry may succeed.
func (o *Owner) forwardOrRefuse(now time.Time, key flow.Key, e *fwdmsg.Envelope, packet []byte, reason Reason) {
	if next, ok := e.PopRank(); ok {
		o.actions = append(o.actions, Action{
			Kind: Forward, Reason: reason, Key: key, To: next, Envelope: *e, Packet: packet, Load: o.load(),
		})
		return
	}

	if e.MaybeDuplicate || o.callerShouldRetry(now, reason) {
		o.actions = append(o.actions, Action{Kind: Drop, Reason: reason, Key: key, Load: o.load()})
		if reason == Overloaded {
			o.notifyBalancer(now, key, e, true) // keeps the balancer from trying further agents, which would add load
		}
		return
	}
	o.resetCaller(key, 0, reason)
	o.notifyBalancer(now, key, e, true)
}

// startupGrace is the time after an agent's start in which it may not yet have heard
// from its upstream.
const startupGrace = 2 * time.Second

// callerShouldRetry reports whether a caller that is refused for reason should repeat
// its opening packet rather than be reset.
func (o *Owner) callerShouldRetry(now time.Time, reason Reason) bool {
	switch reason {
	case NoUpstream, NoAnswer, UpstreamSilent, WrongService, RouteDropped:
		return true
	case Overloaded:
		return false
	}
	return now.Sub(o.startedAt) < startupGrace
}
