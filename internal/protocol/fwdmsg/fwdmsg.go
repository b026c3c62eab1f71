// Package fwdmsg encodes the messages of balancers and agents about forwarded flows:
// packets on their way to the upstream that has the flow, notices and queries. An
// envelope stands before the payload; integers are big-endian:
//
//	byte 0       kind
//	byte 1       number of ranks, 0 to MaxRanks
//	byte 2       flags
//	byte 3       tried count
//	bytes 4-11   revision
//	bytes 12-15  service hash
//	bytes 16-21  balancer, as IPv4 address and port
//	bytes 22-27  agent, likewise
//	bytes 28-29  load
//	bytes 30-31  slots
//	bytes 32-33  query ID; in a notice, the request size
//	bytes 34-39  least loaded agent
//	bytes 40-41  load of the least loaded agent
//	bytes 42-43  mean duration
//	byte 44      unanswered percent
//	6 each       IPv4 address and port of the ranks, the agents to try next
//	8 bytes      SipHash tag over all of the above; for delegated queries and their
//	             replies also over the payload
package fwdmsg

import (
	"encoding/binary"
	"slices"

	"github.com/dchest/siphash"
	"github.com/pkg/errors"

	"github.com/coriandershift/coriandershift/internal/state/flow"
	"github.com/coriandershift/coriandershift/internal/state/keyset"
)

// Kind says what a message carries. The values differ from those of package encap, since
// both share a socket.
type Kind byte

// The kinds.
const (
	// CallerPacket carries a caller's packet to an agent.
	CallerPacket Kind = 16
	// Notice tells a balancer which agent has a flow, and the agent's load.
	Notice Kind = 17
	// ReturnedPacket returns a caller's packet to the balancer: no agent that got it has its flow.
	ReturnedPacket Kind = 18
	// Query asks an agent which of a list of flows it has. AppendQuestions encodes the payload.
	Query Kind = 19
	// QueryReply answers a Query. The payload is one HeldStatus byte for each question.
	QueryReply Kind = 20
	// DelegatedQuery asks an agent to send a Query to other agents and to combine their
	// replies. AppendDelegation encodes the payload.
	DelegatedQuery Kind = 21
	// DelegatedReply answers a DelegatedQuery. DelegatedReplies.Append encodes the payload.
	DelegatedReply Kind = 22
)

// RequestSizeUnit is the unit of Envelope.RequestSize in bytes.
const RequestSizeUnit = 64

// MaxRanks is the largest number of agents to try next that an envelope names.
const MaxRanks = 11

const (
	fixedLength = 1 + 1 + 1 + 1 + 8 + 4 + 6 + 6 + 6 + 2 + 2 + 2 + 2 + 2 + 1
	tagLength   = 8

	// HeaderLength is the length in bytes of an encoded Envelope without ranks, and
	// EndpointLength that of each rank.
	HeaderLength   = fixedLength + tagLength
	EndpointLength = 6

	flagWantNotice     = 1
	flagRefused        = 2
	flagUncertain      = 4
	flagWaitHere       = 8
	flagMaybeDuplicate = 16
)

// Errors of Open.
var (
	ErrTruncated    = errors.New("envelope is truncated")
	ErrUnknownKind  = errors.New("envelope has an unknown kind")
	ErrTooManyRanks = errors.New("envelope names too many ranks")
	ErrForged       = errors.New("envelope has a wrong tag")
)

// Envelope is the header of a message between a balancer and an agent.
type Envelope struct {
	Kind Kind

	// Revision is the revision of the sender's configuration.
	Revision uint64

	// ServiceHash is config.ServiceHash of the service's name.
	ServiceHash uint32

	// Balancer is the balancer to which notices, returned packets and query replies go. In
	// a Query that an agent sends for a balancer it is that agent.
	Balancer flow.Endpoint

	// Agent is the sender of a Notice, ReturnedPacket, QueryReply or DelegatedReply.
	Agent flow.Endpoint

	// WantNotice asks the agent that has the flow for a Notice.
	WantNotice bool

	// Refused says in a Notice that the flow was refused.
	Refused bool

	// MaybeDuplicate says that another agent may have the opening packet already, so
	// that its caller must not be reset.
	MaybeDuplicate bool

	// Uncertain says that an agent that got the packet before cannot tell whether its
	// upstream has the flow.
	Uncertain bool

	// TriedCount is the number of agents that got the packet before.
	TriedCount uint8

	// QueryID identifies a Query or DelegatedQuery of its sender; the reply has the same.
	QueryID uint16

	// RequestSize is, in a Notice, the mean size of the data of the route's requests at the
	// agent, in units of RequestSizeUnit bytes; 0 if it is not known.
	RequestSize uint16

	// Load is the number of requests that the agent's upstream has or that wait for it,
	// and Slots the number that it runs at once.
	Load, Slots uint16

	// MeanDuration is the mean duration of a request at the agent's upstream, in tenths
	// of a millisecond, and UnansweredPercent the percentage that it leaves unanswered.
	MeanDuration      uint16
	UnansweredPercent uint8

	// LeastLoaded is the agent with the lowest load among those that were full, and
	// MinLoadPercent its load in requests per 100 slots. WaitHere says that the packet
	// was sent to the receiver to wait there for a free slot.
	LeastLoaded    flow.Endpoint
	MinLoadPercent uint16
	WaitHere       bool

	// Ranks are the agents to try next, in order; only the first RankCount are set.
	Ranks     [MaxRanks]flow.Endpoint
	RankCount int
}

// PopRank removes the next agent from the ranks and returns it.
func (e *Envelope) PopRank() (flow.Endpoint, bool) {
	if e.RankCount == 0 {
		return flow.Endpoint{}, false
	}
	next := e.Ranks[0]
	copy(e.Ranks[:], e.Ranks[1:e.RankCount])
	e.RankCount--
	e.TriedCount++
	return next, true
}

// Codec writes and reads envelopes. The tag tells envelopes from other datagrams. It
// covers the payload only of a DelegatedQuery, which names the receivers of messages, and
// of its reply; a caller's packet is checked by the ends of its flow.
type Codec struct {
	k0, k1 uint64
}

// New returns a Codec whose tags are made with the cluster key.
func New(set keyset.Set) *Codec {
	key := keyset.DeriveKey(set.ClusterKey, "hop tag", 16)
	return &Codec{k0: binary.LittleEndian.Uint64(key), k1: binary.LittleEndian.Uint64(key[8:])}
}

// Append appends the envelope, its tag and the payload to dst. The payload of a Notice
// is the flow's key.
func (c *Codec) Append(dst []byte, e *Envelope, payload []byte) []byte {
	start := len(dst)
	dst = append(dst, byte(e.Kind), byte(e.RankCount), e.flags(), e.TriedCount)
	dst = binary.BigEndian.AppendUint64(dst, e.Revision)
	dst = binary.BigEndian.AppendUint32(dst, e.ServiceHash)
	dst = appendEndpoint(dst, e.Balancer)
	dst = appendEndpoint(dst, e.Agent)
	dst = binary.BigEndian.AppendUint16(dst, e.Load)
	dst = binary.BigEndian.AppendUint16(dst, e.Slots)
	dst = binary.BigEndian.AppendUint16(dst, e.queryIDOrSize())
	dst = appendEndpoint(dst, e.LeastLoaded)
	dst = binary.BigEndian.AppendUint16(dst, e.MinLoadPercent)
	dst = append(binary.BigEndian.AppendUint16(dst, e.MeanDuration), e.UnansweredPercent)
	for _, rank := range e.Ranks[:e.RankCount] {
		dst = appendEndpoint(dst, rank)
	}

	dst = binary.BigEndian.AppendUint64(dst, c.tag(dst[start:], payload))
	return append(dst, payload...)
}

// tag returns the tag for an encoded envelope.
func (c *Codec) tag(envelope, payload []byte) uint64 {
	switch Kind(envelope[0]) {
	case DelegatedQuery, DelegatedReply:
		digest := siphash.Hash(c.k0, c.k1, payload)
		envelope = binary.BigEndian.AppendUint64(slices.Clone(envelope), digest)
	}
	return siphash.Hash(c.k0, c.k1, envelope)
}

// Open reads an envelope and returns the payload, which aliases the datagram.
func (c *Codec) Open(datagram []byte) (Envelope, []byte, error) {
	if len(datagram) < fixedLength+tagLength {
		return Envelope{}, nil, ErrTruncated
	}
	e := Envelope{Kind: Kind(datagram[0]), RankCount: int(datagram[1]), TriedCount: datagram[3]}
	if e.Kind < CallerPacket || e.Kind > DelegatedReply {
		return Envelope{}, nil, ErrUnknownKind
	}
	if e.RankCount > MaxRanks {
		return Envelope{}, nil, ErrTooManyRanks
	}

	end := fixedLength + e.RankCount*EndpointLength
	if len(datagram) < end+tagLength {
		return Envelope{}, nil, ErrTruncated
	}
	payload := datagram[end+tagLength:]
	if c.tag(datagram[:end], payload) != binary.BigEndian.Uint64(datagram[end:]) {
		return Envelope{}, nil, ErrForged
	}

	e.decode(datagram)
	if e.Kind == Notice && len(payload) != flow.KeyLength {
		return Envelope{}, nil, ErrTruncated
	}
	return e, payload, nil
}

func (e *Envelope) decode(datagram []byte) {
	e.WantNotice = datagram[2]&flagWantNotice != 0
	e.Refused = datagram[2]&flagRefused != 0
	e.MaybeDuplicate = datagram[2]&flagMaybeDuplicate != 0
	e.WaitHere = datagram[2]&flagWaitHere != 0
	e.Uncertain = datagram[2]&flagUncertain != 0
	e.Revision = binary.BigEndian.Uint64(datagram[4:])
	e.ServiceHash = binary.BigEndian.Uint32(datagram[12:])
	e.Balancer = endpointAt(datagram[16:])
	e.Agent = endpointAt(datagram[22:])
	e.Load = binary.BigEndian.Uint16(datagram[28:])
	e.Slots = binary.BigEndian.Uint16(datagram[30:])
	if e.Kind == Notice {
		e.RequestSize = binary.BigEndian.Uint16(datagram[32:])
	} else {
		e.QueryID = binary.BigEndian.Uint16(datagram[32:])
	}
	e.LeastLoaded = endpointAt(datagram[34:])
	e.MinLoadPercent = binary.BigEndian.Uint16(datagram[40:])
	e.MeanDuration = binary.BigEndian.Uint16(datagram[42:])
	e.UnansweredPercent = datagram[44]
	for i := range e.RankCount {
		e.Ranks[i] = endpointAt(datagram[fixedLength+i*EndpointLength:])
	}
}

func (e *Envelope) queryIDOrSize() uint16 {
	if e.Kind == Notice {
		return e.RequestSize
	}
	return e.QueryID
}

func (e *Envelope) flags() byte {
	var flags byte
	if e.WantNotice {
		flags |= flagWantNotice
	}
	if e.Refused {
		flags |= flagRefused
	}
	if e.MaybeDuplicate {
		flags |= flagMaybeDuplicate
	}
	if e.WaitHere {
		flags |= flagWaitHere
	}
	if e.Uncertain {
		flags |= flagUncertain
	}
	return flags
}

func appendEndpoint(dst []byte, e flow.Endpoint) []byte {
	dst = append(dst, e.IP[:]...)
	return binary.BigEndian.AppendUint16(dst, e.Port)
}

func endpointAt(data []byte) flow.Endpoint {
	return flow.Endpoint{IP: [4]byte(data[:4]), Port: binary.BigEndian.Uint16(data[4:])}
}
