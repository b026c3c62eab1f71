package intake

import (
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

const (
	// callerTTL is the time after its latest heavy flow, taken or refused, for which a
	// caller counts as competing for the link.
	callerTTL = 2 * time.Second

	// contentionPeriod is the time after a caller within its share had to wait or was
	// refused for which callers beyond theirs come after others. It is longer than a
	// transfer on a full link, and short beside callers' timeouts.
	contentionPeriod = 500 * time.Millisecond

	// maxCallers limits the callers that are kept per priority.
	maxCallers = 1024

	// creditTransfers is the number of transfers whose share a caller keeps while it does not use it.
	creditTransfers = 1

	// maxDebtTransfers is the number of transfers for which a caller that has had more than
	// its share comes after others.
	maxDebtTransfers = 3
)

// class is the competition of the callers of one priority.
type class struct {
	accounts *simplelru.LRU[[4]byte, *account] // the callers that asked latest are last

	// contendedAt is when a caller within its share last had to wait or was refused.
	contendedAt time.Time
}

// callers returns the number of callers that compete.
func (cl *class) callers() int {
	return cl.accounts.Len()
}

// class returns the competition of a priority.
func (c *Control) class(priority int) *class {
	cl := c.classes[priority]
	if cl == nil {
		accounts, _ := simplelru.NewLRU[[4]byte, *account](maxCallers, nil) // fails only for a size below 1
		cl = &class{accounts: accounts}
		c.classes[priority] = cl
	}
	return cl
}

// account is a caller's use of its share of the link.
type account struct {
	askedAt time.Time

	// unfinished counts the caller's unfinished transfers that were opened here.
	unfinished int

	// debt is the size of the transfers that the caller began, less what its share has
	// carried up to paidAt, in bytes. It is at least that of -creditTransfers, from which
	// it starts, and at most that of maxDebtTransfers.
	debt   float64
	paidAt time.Time
}

// account returns the account of a caller that asks for a heavy flow now, and removes the
// callers that do not compete any more.
func (cl *class) account(now time.Time, caller [4]byte) *account {
	a, found := cl.accounts.Get(caller)
	if !found {
		a = &account{}
		cl.accounts.Add(caller, a)
	}
	a.askedAt = now
	for {
		_, oldest, _ := cl.accounts.GetOldest() // there is one at least: this caller
		if now.Sub(oldest.askedAt) < callerTTL {
			return a
		}
		cl.accounts.RemoveOldest()
	}
}

// pay lowers the debt by what a share in bytes per second has carried until now. size is
// the expected size of a transfer in bytes.
func (a *account) pay(now time.Time, share, size float64) {
	if a.paidAt.IsZero() {
		a.debt = -creditTransfers * size
	}
	a.debt = max(a.debt-share*now.Sub(a.paidAt).Seconds(), -creditTransfers*size)
	a.paidAt = now
}

// charge adds a transfer to the debt.
func (a *account) charge(size float64) {
	a.debt = min(a.debt+size, maxDebtTransfers*size)
}
