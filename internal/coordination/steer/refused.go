package steer

import (
	"time"

	"github.com/coriandershift/coriandershift/internal/state/flow"
)

// maxRefused limits the remembered refusals, of about 100 bytes each. A link that carries
// one flow per millisecond has fewer within callerOpenTimeout.
const maxRefused = 4096

// refusal is a new flow that was refused or dropped for the link.
type refusal struct {
	at       time.Time
	sequence uint32 // of the opening packet
	dropped  bool   // the caller was not told

	// seen is the SinceFirstSent of the latest copy of the opening packet that came here.
	seen time.Duration
}

// refuseForLink tells the caller of a new flow that the flow is placed nowhere, and
// remembers it.
func (r *Router) refuseForLink(now time.Time, key flow.Key, p *flow.Packet, priority int) {
	r.refused.Add(key, refusal{at: now, sequence: p.Sequence})
	r.actions = append(r.actions, Action{Kind: Reset, Reason: LinkBusy, Key: key, Priority: priority})
}

// dropForLink drops the opening packet of a new flow that the link cannot carry and that
// may be open through another balancer.
func (r *Router) dropForLink(now time.Time, key flow.Key, p *flow.Packet) {
	r.refused.Add(key, refusal{at: now, sequence: p.Sequence, dropped: true})
	r.actions = append(r.actions, Action{Kind: Drop, Reason: LinkLate, Key: key})
}

// wasDropped reports whether an opening packet is a copy of one that dropForLink dropped.
func (r *Router) wasDropped(now time.Time, key flow.Key, p *flow.Packet) bool {
	known, found := r.refused.Peek(key)
	return found && known.dropped && known.sequence == p.Sequence && now.Sub(known.at) < callerOpenTimeout
}

// refuseAgain handles a copy of the opening packet of a refused flow, and reports whether
// the packet is one. It is answered with another reset, unless the copy before did not come
// here: that may have opened the flow through another balancer.
func (r *Router) refuseAgain(now time.Time, key flow.Key, p *flow.Packet) bool {
	known, found := r.refused.Peek(key)
	if !found || known.dropped || known.sequence != p.Sequence || now.Sub(known.at) >= callerOpenTimeout {
		return false
	}
	kind := Reset
	if p.SinceFirstSent > firstCopyDelay && known.seen < firstCopyDelay {
		kind = Drop
	}
	known.seen = max(known.seen, p.SinceFirstSent)
	r.refused.Add(key, known)
	r.actions = append(r.actions, Action{Kind: kind, Reason: LinkBusyAgain, Key: key})
	return true
}
