// Package roster holds what one process knows about the others: a table with one
// record for each member. A merge keeps the newer of two records, so the order in
// which records arrive does not matter.
package roster

import (
	"cmp"
	"net/netip"
	"slices"
	"time"
)

// DigestBuckets is the number of hash buckets into which a digest divides the table.
const DigestBuckets = 32

// Roster is a table of members. It is not safe for concurrent use.
type Roster struct {
	members         map[netip.AddrPort]*entry
	version         uint64
	balancerVersion uint64

	// suspicions holds the dead members whose death is not yet confirmed.
	suspicions map[netip.AddrPort]suspicion

	// digest is the XOR of the hashes of the members in each bucket.
	digest [DigestBuckets]uint64

	// services holds the addresses of the agents by service. It may also hold the
	// address of a member that has changed its service or role.
	services map[string]map[netip.AddrPort]bool

	// changed holds the addresses of the records that changed since the last
	// call of TakeChanged.
	changed map[netip.AddrPort]bool
}

type entry struct {
	member  Member
	learned time.Time // of the last merge that changed the record
}

// New returns an empty Roster.
func New() *Roster {
	return &Roster{
		members:    map[netip.AddrPort]*entry{},
		suspicions: map[netip.AddrPort]suspicion{},
		services:   map[string]map[netip.AddrPort]bool{},
		changed:    map[netip.AddrPort]bool{},
	}
}

// Merge stores a record if it is newer than the known one of the same address,
// and reports whether it did. It ignores an unknown member that has been dead for
// long enough to be forgotten.
func (r *Roster) Merge(m Member, now time.Time) bool {
	known, ok := r.members[m.Address]
	if ok && !m.Newer(&known.member) {
		return false
	}
	if !ok && m.Forgettable(now) {
		return false
	}

	e := &entry{member: m, learned: now}
	delete(r.suspicions, m.Address)
	r.members[m.Address] = e
	r.markChanged(m.Address)
	if ok {
		r.digest[bucket(m.Address)] ^= known.member.hash()
	}
	r.digest[bucket(m.Address)] ^= m.hash()
	r.indexByService(m)
	if m.Role == Balancer && (!ok || !m.EqualExceptSequence(&known.member)) {
		r.balancerVersion++
	}
	return true
}

// Get returns the member at an address and whether it is known.
func (r *Roster) Get(address netip.AddrPort) (Member, bool) {
	e, ok := r.members[address]
	if !ok {
		return Member{}, false
	}
	return e.member, true
}

// Version returns a number that grows whenever a record or a suspicion changes.
func (r *Roster) Version() uint64 {
	return r.version
}

// TakeChanged returns the addresses of the records that changed since the last
// call, in no particular order. That a member is forgotten is no change: it was dead
// already.
func (r *Roster) TakeChanged() []netip.AddrPort {
	changed := make([]netip.AddrPort, 0, len(r.changed))
	for address := range r.changed {
		changed = append(changed, address)
	}
	clear(r.changed)
	return changed
}

// BalancerVersion returns a number that grows whenever a balancer is added or the
// record of one changes in more than its sequence.
func (r *Roster) BalancerVersion() uint64 {
	return r.balancerVersion
}

// Len returns the number of members, dead ones included.
func (r *Roster) Len() int {
	return len(r.members)
}

// Members returns all members sorted by address.
func (r *Roster) Members() []Member {
	members := make([]Member, 0, len(r.members))
	for _, e := range r.members {
		members = append(members, e.member)
	}
	slices.SortFunc(members, func(a, b Member) int { return a.Address.Compare(b.Address) })
	return members
}

// LiveAgents returns the agents of a service that are not dead, sorted by address.
func (r *Roster) LiveAgents(service string) []Member {
	var agents []Member
	for address := range r.services[service] {
		m := r.members[address].member
		if m.State != Dead && m.Service == service {
			agents = append(agents, m)
		}
	}
	slices.SortFunc(agents, func(a, b Member) int { return a.Address.Compare(b.Address) })
	return agents
}

// LiveBalancers returns the balancers that are not dead, sorted by address.
func (r *Roster) LiveBalancers() []Member {
	var balancers []Member
	for _, e := range r.members {
		if e.member.Role == Balancer && e.member.State != Dead {
			balancers = append(balancers, e.member)
		}
	}
	slices.SortFunc(balancers, func(a, b Member) int { return a.Address.Compare(b.Address) })
	return balancers
}

// DeadBalancers returns the addresses of the dead balancers in the table, sorted.
func (r *Roster) DeadBalancers() []netip.AddrPort {
	var dead []netip.AddrPort
	for address, e := range r.members {
		if e.member.Role == Balancer && e.member.State == Dead {
			dead = append(dead, address)
		}
	}
	slices.SortFunc(dead, netip.AddrPort.Compare)
	return dead
}

// LearnedAt returns the time at which the current record of a member was merged,
// or the zero time for an unknown member.
func (r *Roster) LearnedAt(address netip.AddrPort) time.Time {
	e, ok := r.members[address]
	if !ok {
		return time.Time{}
	}
	return e.learned
}

// ForgetDead removes the members that are Forgettable.
func (r *Roster) ForgetDead(now time.Time) {
	for address, e := range r.members {
		if !e.member.Forgettable(now) {
			continue
		}
		delete(r.members, address)
		delete(r.suspicions, address)
		r.digest[bucket(address)] ^= e.member.hash()
		delete(r.services[e.member.Service], address)
		r.version++
	}
}

// Digest returns a hash for each bucket of the table. Equal tables have equal digests.
func (r *Roster) Digest() [DigestBuckets]uint64 {
	return r.digest
}

// Differing returns the members in those buckets whose hash differs from the one
// in a digest, sorted by the text of their address.
func (r *Roster) Differing(digest [DigestBuckets]uint64) []Member {
	own := r.Digest()
	var members []Member
	for _, e := range r.members {
		b := bucket(e.member.Address)
		if own[b] != digest[b] {
			members = append(members, e.member)
		}
	}
	slices.SortFunc(members, func(a, b Member) int { return cmp.Compare(a.Address.String(), b.Address.String()) })
	return members
}

func (r *Roster) markChanged(address netip.AddrPort) {
	r.version++
	r.changed[address] = true
}

func (r *Roster) indexByService(m Member) {
	if m.Role != Agent {
		return
	}
	if r.services[m.Service] == nil {
		r.services[m.Service] = map[netip.AddrPort]bool{}
	}
	r.services[m.Service][m.Address] = true
}

// HashMembers returns a hash over the records of members without their sequences.
// It does not depend on their order.
func HashMembers(members []Member) uint64 {
	var hash uint64
	for i := range members {
		m := members[i]
		m.Sequence = 0
		hash ^= m.hash()
	}
	return hash
}

func bucket(address netip.AddrPort) int {
	return int(HashAddress(address) % DigestBuckets)
}
