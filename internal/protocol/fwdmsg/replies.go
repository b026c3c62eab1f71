package fwdmsg

import "github.com/pkg/errors"

// NoHolder is the entry in DelegatedReplies.Holders of a flow that no agent reported.
const NoHolder = 255

// Errors of ParseDelegatedReplies.
var (
	ErrReplyLength   = errors.New("delegated reply does not fit the query")
	ErrUnknownAgent  = errors.New("delegated reply names an agent that was not asked")
	ErrUnansweredBit = errors.New("delegated reply has a status of an agent that did not answer")
)

// DelegatedReplies is the payload of a DelegatedReply: the combined replies of the
// agents of a Delegation, in the order of its Agents and Questions.
type DelegatedReplies struct {
	// Answered are the agents that replied.
	Answered []bool

	// Uncertain are the agents of Answered that were Uncertain about any question.
	Uncertain []bool

	// Holders has for each question the index of an agent of Answered that has the flow,
	// or NoHolder.
	Holders []byte
}

// Append appends the encoded replies to dst: Answered and Uncertain with a bit for each
// agent, from the lowest bit of the first byte, then Holders.
func (d *DelegatedReplies) Append(dst []byte) []byte {
	dst = appendBits(dst, d.Answered)
	dst = appendBits(dst, d.Uncertain)
	return append(dst, d.Holders...)
}

// ParseDelegatedReplies decodes the payload of a DelegatedReply to a query of so many
// agents and questions. It returns ErrReplyLength, ErrUnknownAgent or ErrUnansweredBit.
func ParseDelegatedReplies(payload []byte, agents, questions int) (DelegatedReplies, error) {
	if len(payload) != DelegatedRepliesLength(agents, questions) {
		return DelegatedReplies{}, ErrReplyLength
	}
	size := bitsLength(agents)
	d := DelegatedReplies{
		Answered:  bitsAt(payload, agents),
		Uncertain: bitsAt(payload[size:], agents),
		Holders:   payload[2*size:],
	}
	for i, uncertain := range d.Uncertain {
		if uncertain && !d.Answered[i] {
			return DelegatedReplies{}, ErrUnansweredBit
		}
	}
	for _, holder := range d.Holders {
		switch {
		case holder == NoHolder:
		case int(holder) >= agents:
			return DelegatedReplies{}, ErrUnknownAgent
		case !d.Answered[holder]:
			return DelegatedReplies{}, ErrUnansweredBit
		}
	}
	return d, nil
}

// DelegatedRepliesLength returns the length in bytes of the payload of a DelegatedReply.
func DelegatedRepliesLength(agents, questions int) int {
	return 2*bitsLength(agents) + questions
}

func bitsLength(count int) int {
	return (count + 7) / 8
}

func appendBits(dst []byte, bits []bool) []byte {
	start := len(dst)
	dst = append(dst, make([]byte, bitsLength(len(bits)))...)
	for i, set := range bits {
		if set {
			dst[start+i/8] |= 1 << (i % 8)
		}
	}
	return dst
}

func bitsAt(data []byte, count int) []bool {
	bits := make([]bool, count)
	for i := range bits {
		bits[i] = data[i/8]&(1<<(i%8)) != 0
	}
	return bits
}
