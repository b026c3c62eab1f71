package roster

import (
	"net/netip"
	"time"
)

// Suspicion tells whether and why the death of a member is still in doubt.
type Suspicion uint8

// The kinds of suspicion.
const (
	// NoSuspicion is for a member that is not dead or whose death is confirmed.
	NoSuspicion Suspicion = 0
	// UnconfirmedDeath is for a death that may still be refuted.
	UnconfirmedDeath Suspicion = 1
	// StaleDeath is for a death that may still be refuted and that was claimed by
	// an outdated record.
	StaleDeath Suspicion = 2
)

type suspicion struct {
	kind Suspicion

	// until is the time at which the death counts as confirmed.
	until time.Time
}

// SetSuspicion marks the death of a member as unconfirmed until a time.
func (r *Roster) SetSuspicion(address netip.AddrPort, kind Suspicion, until time.Time) {
	r.suspicions[address] = suspicion{kind: kind, until: until}
	r.markChanged(address)
}

// ConfirmDeaths removes the suspicions whose time has passed.
func (r *Roster) ConfirmDeaths(now time.Time) {
	for address, s := range r.suspicions {
		if now.Before(s.until) {
			continue
		}
		delete(r.suspicions, address)
		r.markChanged(address)
	}
}

// Suspicion returns the suspicion set for the member at an address.
func (r *Roster) Suspicion(address netip.AddrPort) Suspicion {
	return r.suspicions[address].kind
}
