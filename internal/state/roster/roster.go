// Package roster holds what one process knows of the others: a table of
// members that merges by maximum, so that the order of updates does not matter.
package roster

import (
	"cmp"
	"encoding/binary"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Role tells what a member does.
type Role uint8

// The roles.
const (
	Balancer Role = 1
	Agent    Role = 2
)

// State is the last known state of a member. A higher one wins at the same sequence.
type State uint8

// The states.
const (
	Alive   State = 1
	Leaving State = 2
	Dead    State = 3
)

// String returns the state's name.
func (s State) String() string {
	switch s {
	case Alive:
		return "alive"
	case Leaving:
		return "leaving"
	case Dead:
		return "dead"
	}
	return "unknown"
}

// Buckets is the number of parts into which a digest cuts the table.
const Buckets = 32

// Member is one process of the system.
type Member struct {
	// Address is where the process takes datagrams of the system; it identifies the member.
	Address netip.AddrPort `cbor:"1,keyasint"`

	Role Role `cbor:"2,keyasint"`

	// Name is the operators' name of the VM.
	Name string `cbor:"3,keyasint,omitempty"`

	// Domain is the name of the member's failure domain.
	Domain string `cbor:"4,keyasint"`

	// Service is the name of the service of an agent's upstream; empty for a balancer.
	Service string `cbor:"5,keyasint,omitempty"`

	// Admin is where a balancer answers operators and peers, and an agent its peers.
	Admin netip.AddrPort `cbor:"6,keyasint,omitempty"`

	// Incarnation grows with every start of the process: its start in Unix milliseconds.
	Incarnation uint64 `cbor:"7,keyasint"`

	// Sequence grows with every heartbeat within an incarnation.
	Sequence uint64 `cbor:"8,keyasint"`

	State State `cbor:"9,keyasint"`

	// Weight is the share of new flows that an agent asks for, 0 to MaxWeight.
	Weight uint8 `cbor:"10,keyasint"`
}

const (
	// Beat is the time that one sequence number stands for.
	Beat = time.Second

	// ForgetAgentAfter is how long after its last heartbeat a dead agent is remembered.
	ForgetAgentAfter = 10 * time.Minute

	// ForgetBalancerAfter is the same for a balancer, which is looked for that
	// long: regions may lose each other for an hour and must find each other again.
	ForgetBalancerAfter = 24 * time.Hour
)

// Forgettable reports whether the member has been dead for so long that it need
// not be remembered. It goes by the member's own last heartbeat, so that all
// forget at the same time and none reminds the others.
func (m *Member) Forgettable(now time.Time) bool {
	after := ForgetAgentAfter
	if m.Role == Balancer {
		after = ForgetBalancerAfter
	}
	last := time.UnixMilli(int64(m.Incarnation)).Add(time.Duration(m.Sequence) * Beat)
	return m.State == Dead && now.Sub(last) > after
}

// MaxWeight is the weight of an agent whose upstream bears its full load.
const MaxWeight = 100

// Newer reports whether m replaces other in a merge.
func (m *Member) Newer(other *Member) bool {
	if m.Incarnation != other.Incarnation {
		return m.Incarnation > other.Incarnation
	}
	if m.Sequence != other.Sequence {
		return m.Sequence > other.Sequence
	}
	return m.State > other.State
}

// Same reports whether m and other differ in nothing but their sequence.
func (m *Member) Same(other *Member) bool {
	a, b := *m, *other
	a.Sequence, b.Sequence = 0, 0
	return a == b
}

// Roster is a table of members. It is not safe for concurrent use.
type Roster struct {
	members   map[netip.AddrPort]*entry
	version   uint64
	balancers uint64
	doubtful  map[netip.AddrPort]doubt
	digest    [Buckets]uint64
	services  map[string]map[netip.AddrPort]bool

	// changed are the addresses of records that changed since TakeChanged.
	changed map[netip.AddrPort]bool
}

type entry struct {
	member  Member
	learned time.Time
}

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

// New returns an empty Roster.
func New() *Roster {
	return &Roster{
		members:  map[netip.AddrPort]*entry{},
		doubtful: map[netip.AddrPort]doubt{},
		services: map[string]map[netip.AddrPort]bool{},
		changed:  map[netip.AddrPort]bool{},
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
	delete(r.doubtful, m.Address)
	r.members[m.Address] = e
	r.note(m.Address)
	if ok {
		r.digest[bucket(m.Address)] ^= known.member.hash()
	}
	r.digest[bucket(m.Address)] ^= m.hash()
	r.index(m)
	if m.Role == Balancer && (!ok || !m.Same(&known.member)) {
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

// Agents returns the agents of a service that are not dead, sorted by address.
func (r *Roster) Agents(service string) []Member {
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

// Balancers returns the balancers that are not dead, sorted by address.
func (r *Roster) Balancers() []Member {
	return slices.DeleteFunc(r.Members(), func(m Member) bool { return m.Role != Balancer || m.State == Dead })
}

// LostBalancers returns the addresses of the dead balancers that are remembered, sorted.
func (r *Roster) LostBalancers() []netip.AddrPort {
	var lost []netip.AddrPort
	for address, e := range r.members {
		if e.member.Role == Balancer && e.member.State == Dead {
			lost = append(lost, address)
		}
	}
	slices.SortFunc(lost, netip.AddrPort.Compare)
	return lost
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

// Learned returns when the present record of a member was learned.
func (r *Roster) Learned(address netip.AddrPort) time.Time {
	e, ok := r.members[address]
	if !ok {
		return time.Time{}
	}
	return e.learned
}

// Forget drops the members that are dead for long.
func (r *Roster) Forget(now time.Time) {
	for address, e := range r.members {
		if !e.member.Forgettable(now) {
			continue
		}
		delete(r.members, address)
		delete(r.doubtful, address)
		r.digest[bucket(address)] ^= e.member.hash()
		delete(r.services[e.member.Service], address)
		r.version++
	}
}

// Digest returns a hash for each bucket of the table. Tables that agree have equal digests.
func (r *Roster) Digest() [Buckets]uint64 {
	return r.digest
}

// Differing returns the members in the buckets in which the table differs from a digest.
func (r *Roster) Differing(digest [Buckets]uint64) []Member {
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

// HashOf returns a hash over the records of members, whatever their sequences.
func HashOf(members []Member) uint64 {
	var hash uint64
	for i := range members {
		m := members[i]
		m.Sequence = 0
		hash ^= m.hash()
	}
	return hash
}

func bucket(address netip.AddrPort) int {
	return int(Hash(address) % Buckets)
}

// Hash returns a well-spread hash of an address, the same in every process.
func Hash(address netip.AddrPort) uint64 {
	var data [18]byte
	ip := address.Addr().As16()
	copy(data[:], ip[:])
	binary.BigEndian.PutUint16(data[16:], address.Port())
	return xxhash.Sum64(data[:])
}

// hash covers the address together with the content: hashed apart, equal
// changes of two members would cancel out in a digest.
func (m *Member) hash() uint64 {
	var data [26]byte
	binary.BigEndian.PutUint64(data[:], m.Incarnation)
	binary.BigEndian.PutUint64(data[8:], m.Sequence)
	data[16] = byte(m.State)
	data[17] = m.Weight
	binary.BigEndian.PutUint64(data[18:], Hash(m.Address))
	return xxhash.Sum64(data[:])
}
