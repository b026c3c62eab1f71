package route

import (
	"math"
	"net/netip"
	"sync/atomic"

	"github.com/dchest/siphash"

	"github.com/coriandershift/coriandershift/internal/coordination/rank"
	"github.com/coriandershift/coriandershift/internal/state/config"
	"github.com/coriandershift/coriandershift/internal/state/connid"
	"github.com/coriandershift/coriandershift/internal/state/keyset"
	"github.com/coriandershift/coriandershift/internal/state/roster"
)

// MaxRanks is the largest number of agents ranked for a new flow.
const MaxRanks = 4

// Verdict says what a balancer does with a datagram.
type Verdict uint8

// The verdicts.
const (
	// Drop discards the datagram; Reason says why.
	Drop Verdict = iota
	// RouteByID sends it to the agent that its connection ID names.
	RouteByID
	// RouteByRank sends it to the first of the ranked agents.
	RouteByRank
	// Reset answers it with a stateless reset; Reason says why.
	Reset
)

// Reason says why a datagram was dropped or reset.
type Reason string

// The reasons.
const (
	UnknownID      Reason = "unknownConnectionId"
	ForgedID       Reason = "forgedConnectionId"
	WrongService   Reason = "wrongService"
	UnknownService Reason = "unknownService"
	NoUpstream     Reason = "noUpstream"
	DomainOut      Reason = "domainOut"
	AgentDead      Reason = "agentDead"
)

// Decision is the verdict on one datagram.
type Decision struct {
	Verdict Verdict
	Reason  Reason

	// Ranks are the agents to try in order; only the first RankCount are set.
	// A RouteByID decision has one.
	Ranks     [MaxRanks]netip.AddrPort
	RankCount int
}

// Packet is what is known of a caller's datagram.
type Packet struct {
	// DestinationID is the destination connection ID.
	DestinationID []byte

	// ServiceNumber is the number of the service at whose address the datagram arrived.
	ServiceNumber uint32

	// MayOpenFlow is true for packets that a caller may send first, such as a QUIC Initial.
	MayOpenFlow bool
}

// Router decides where datagrams go. Decide is safe for concurrent use with all methods.
type Router struct {
	ids    *connid.Codec
	k0, k1 uint64
	table  atomic.Pointer[table]
}

// New returns a Router that knows no service yet.
func New(keys keyset.Set, ids *connid.Codec) *Router {
	r := &Router{ids: ids}
	r.k0, r.k1 = keyWords(keyset.DeriveKey(keys.ClusterKey, "rendezvous", 16))
	r.Configure(&config.Config{}, nil)
	return r
}

// Configure replaces the configuration and the list of members.
func (r *Router) Configure(cfg *config.Config, members []roster.Member) {
	r.table.Store(newTable(cfg, members))
}

// UpdateMembers replaces the records of some members. It rebuilds only the lists of
// their services. It must not run concurrently with Configure or UpdateMembers.
func (r *Router) UpdateMembers(members []roster.Member) {
	t := r.table.Load()
	for i := range members {
		t.updateMember(&members[i])
	}
}

// Decide returns the verdict on one datagram. It does not allocate.
func (r *Router) Decide(p Packet) Decision {
	t := r.table.Load()
	s, ok := t.services[p.ServiceNumber]
	if !ok {
		return Decision{Reason: UnknownService}
	}

	target, err := r.ids.Open(p.DestinationID)
	if err == nil {
		return decideEstablished(t, p, target)
	}

	if p.MayOpenFlow {
		return r.decideNew(s, p.DestinationID)
	}

	if err == connid.ErrForged {
		return Decision{Reason: ForgedID}
	}
	return Decision{Reason: UnknownID}
}

// CandidateCount returns how many agents may take new flows of a service.
func (r *Router) CandidateCount(service uint32) int {
	s, ok := r.table.Load().services[service]
	if !ok {
		return 0
	}
	return len(*s.candidates.Load())
}

func decideEstablished(t *table, p Packet, target connid.Target) Decision {
	if target.ServiceNumber != p.ServiceNumber {
		return Decision{Reason: WrongService}
	}
	if t.domainNumberOut[target.DomainNumber] {
		return Decision{Verdict: Reset, Reason: DomainOut}
	}
	if (*t.dead.Load())[target.Agent] {
		return Decision{Verdict: Reset, Reason: AgentDead}
	}

	d := Decision{Verdict: RouteByID, RankCount: 1}
	d.Ranks[0] = target.Agent
	return d
}

// decideNew ranks the agents of a service by weighted rendezvous hashing (Thaler
// and Ravishankar, 1998; weights by the logarithm method).
func (r *Router) decideNew(s *service, id []byte) Decision {
	var scores [MaxRanks]float64
	d := Decision{Verdict: RouteByRank}
	hash := siphash.Hash(r.k0, r.k1, id)

	candidates := *s.candidates.Load()
	for i := range candidates {
		c := &candidates[i]
		d.insert(&scores, c.address, score(hash, c))
	}

	if d.RankCount == 0 {
		return Decision{Reason: NoUpstream}
	}
	return d
}

// insert adds an agent with score s to the ranks, which are in descending order of
// scores, if it is among the MaxRanks highest.
func (d *Decision) insert(scores *[MaxRanks]float64, address netip.AddrPort, s float64) {
	if d.RankCount == MaxRanks && s <= scores[MaxRanks-1] {
		return
	}

	position := min(d.RankCount, MaxRanks-1)
	for position > 0 && scores[position-1] < s {
		scores[position] = scores[position-1]
		d.Ranks[position] = d.Ranks[position-1]
		position--
	}
	scores[position] = s
	d.Ranks[position] = address
	d.RankCount = min(d.RankCount+1, MaxRanks)
}

func score(hash uint64, c *candidate) float64 {
	uniform := (float64(rank.Mix(hash^c.seed)>>11) + 0.5) / (1 << 53)
	return -c.weight / math.Log(uniform)
}
