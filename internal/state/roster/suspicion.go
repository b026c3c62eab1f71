package roster

import (
	"net/netip"
	"time"
)

// Suspicion tells how sure the death of a member is.
type Suspicion uint8

// The kinds of suspicion.
const (
	// NoSuspicion is that of a member that is not dead, or whose death is confirmed.
	NoSuspicion Suspicion = 0
	// UnconfirmedDeath deaths may still be refuted.
	UnconfirmedDeath Suspicion = 1
	// StaleDeath deaths are claimed by news that is older than it should be.
	StaleDeath Suspicion = 2
)

type suspicion struct {
	kind  Suspicion
	until time.Time
}

// SetSuspicion leaves the death of a member open until a time.
func (r *Roster) SetSuspicion(address netip.AddrPort, kind Suspicion, until time.Time) {
	r.suspicions[address] = suspicion{kind: kind, until: until}
	r.note(address)
}

// ConfirmDeaths ends the suspicions whose time is over.
func (r *Roster) ConfirmDeaths(now time.Time) {
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
