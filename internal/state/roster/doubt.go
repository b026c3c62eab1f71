package roster

import (
	"net/netip"
	"time"
)

// Doubt tells how sure a death is.
type Doubt uint8

// The doubts.
const (
	// None is that of a member that is not dead, or whose death is confirmed.
	None Doubt = 0
	// Unconfirmed deaths may still be refuted.
	Unconfirmed Doubt = 1
	// Stale deaths are claimed by news that is older than it should be.
	Stale Doubt = 2
)

type doubt struct {
	kind  Doubt
	until time.Time
}

// Suspend puts the death of a member in doubt until a time.
func (r *Roster) Suspend(address netip.AddrPort, kind Doubt, until time.Time) {
	r.doubtful[address] = doubt{kind: kind, until: until}
	r.note(address)
}

// Confirm ends the doubts whose time is over.
func (r *Roster) Confirm(now time.Time) {
	for address, d := range r.doubtful {
		if now.Before(d.until) {
			continue
		}
		delete(r.doubtful, address)
		r.note(address)
	}
}

// Doubt returns how sure the death of a member is.
func (r *Roster) Doubt(address netip.AddrPort) Doubt {
	return r.doubtful[address].kind
}
