package roster

import (
	"net/netip"
	"time"
)

// Suspicion tells how sure the death of a member is.
type Suspicion uint8

// The kinds of suspicion.
const (
	// None is that of a member that is not dead, or whose death is confirmed.
	None Suspicion = 0
	// Unconfirmed deaths may still be refuted.
	Unconfirmed Suspicion = 1
	// Stale deaths are claimed by news that is older than it should be.
	Stale Suspicion = 2
)

type suspicion struct {
	kind  Suspicion
	until time.Time
}

// Suspect leaves the death of a member open until a time.
func (r *Roster) Suspect(address netip.AddrPort, kind Suspicion, until time.Time) {
	r.suspicions[address] = suspicion{kind: kind, until: until}
	r.note(address)
}

// Confirm ends the suspicions whose time is over.
func (r *Roster) Confirm(now time.Time) {
	for address, d := range r.suspicions {
		if now.Before(d.until) {
			continue
		}
		delete(r.suspicions, address)
		r.note(address)
	}
}

// Suspicion returns how sure the death of a member is.
func (r *Roster) Suspicion(address netip.AddrPort) Suspicion {
	return r.suspicions[address].kind
}
