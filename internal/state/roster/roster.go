// Package roster holds what one process knows of the others: a table of
// members that merges by maximum, so that the order of updates does not matter.
package roster

import (
	"cmp"
	"net/netip"
	"slices"
	"time"
)

// DigestBuckets is the number of parts into which a digest cuts the table.
const DigestBuckets = 32

// Roster is a table of members. It is not safe for concurrent use.
type Roster struct {
	members    map[netip.AddrPort]*entry
	version    uint64
	balancers  uint64
	suspicions map[netip.AddrPort]suspicion
	digest     [DigestBuckets]uint64
	services   map[string]map[netip.AddrPort]bool

	// changed are the addresses of records that changed since TakeChanged.
	changed map[netip.AddrPort]bool
}

type entry struct {
	member  Member
	learned time.Time
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

// Merge takes a member if it is newer than what is known, and reports whether
// anything changed. An unknown member whose death lies far back is nothing to remember.
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
	r.note(m.Address)
	if ok {
		r.digest[bucket(m.Address)] ^= known.member.hash()
	}
	r.digest[bucket(m.Address)] ^= m.hash()
	r.index(m)
	if m.Role == Balancer && (!ok || !m.EqualExceptSequence(&known.member)) {
		r.balancers++
	}
	return true
}

// Get returns the member at an address.
func (r *Roster) Get(address netip.AddrPort) (Member, bool) {
	e, ok := r.members[address]
	if !ok {
		return Member{}, false
	}
	return e.member, true
}

// Version grows whenever the table changes.
func (r *Roster) Version() uint64 {
	return r.version
}

// TakeChanged returns the addresses of the records that changed since the last
// call. Those of forgotten members are not among them: they were dead before.
func (r *Roster) TakeChanged() []netip.AddrPort {
	changed := make([]netip.AddrPort, 0, len(r.changed))
	for address := range r.changed {
		changed = append(changed, address)
	}
	clear(r.changed)
	return changed
}

// BalancerVersion grows whenever the set of balancers changes.
func (r *Roster) BalancerVersion() uint64 {
	return r.balancers
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

// DeadBalancers returns the addresses of the dead balancers that are remembered, sorted.
func (r *Roster) DeadBalancers() []netip.AddrPort {
	var lost []netip.AddrPort
	for address, e := range r.members {
		if e.member.Role == Balancer && e.member.State == Dead {
			lost = append(lost, address)
		}
	}
	slices.SortFunc(lost, netip.AddrPort.Compare)
	return lost
}

// LearnedAt returns when the present record of a member was learned.
func (r *Roster) LearnedAt(address netip.AddrPort) time.Time {
	e, ok := r.members[address]
	if !ok {
		return time.Time{}
	}
	return e.learned
}

// ForgetDead drops the members that are dead for long.
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

// Digest returns a hash for each bucket of the table. Tables that agree have equal digests.
func (r *Roster) Digest() [DigestBuckets]uint64 {
	return r.digest
}

// Differing returns the members in the buckets in which the table differs from a digest.
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

func (r *Roster) note(address netip.AddrPort) {
	r.version++
	r.changed[address] = true
}

func (r *Roster) index(m Member) {
	if m.Role != Agent {
		return
	}
	if r.services[m.Service] == nil {
		r.services[m.Service] = map[netip.AddrPort]bool{}
	}
	r.services[m.Service][m.Address] = true
}

// HashMembers returns a hash over the records of members, whatever their sequences.
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
