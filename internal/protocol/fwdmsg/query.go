package fwdmsg

import (
	"encoding/binary"

	"github.com/coriandershift/coriandershift/internal/state/flow"
)

// ProbeQueryID is the QueryID of queries that only find out whether an agent runs.
const ProbeQueryID = 0

// MaxQuestions is the largest number of flows in a Query, so that it fits a packet.
const MaxQuestions = 64

// QuestionLength is the length in bytes of an encoded Question, and StatusLength that of
// its HeldStatus in the reply.
const (
	QuestionLength = flow.KeyLength + 4
	StatusLength   = 1
)

// Question is one flow of a Query.
type Question struct {
	Key flow.Key

	// Acknowledged is the caller's last acknowledgement. It tells which upstream has the
	// flow if several answered copies of the opening packet.
	Acknowledged uint32
}

// HeldStatus is an agent's answer to one Question.
type HeldStatus byte

// The statuses.
const (
	NotHeld HeldStatus = 0
	Held    HeldStatus = 1
	// Uncertain is the answer of an agent that does not know all flows of its upstream.
	Uncertain HeldStatus = 2
)

// AppendQuestions appends the payload of a Query to dst: for each question the flow's
// key and Acknowledged, big-endian.
func AppendQuestions(dst []byte, questions []Question) []byte {
	for i := range questions {
		dst = questions[i].Key.Append(dst)
		dst = binary.BigEndian.AppendUint32(dst, questions[i].Acknowledged)
	}
	return dst
}

// ParseQuestions decodes the payload of a Query. It returns ErrTruncated if the length is
// not that of at most MaxQuestions questions.
func ParseQuestions(payload []byte) ([]Question, error) {
	count := len(payload) / QuestionLength
	if count*QuestionLength != len(payload) || count > MaxQuestions {
		return nil, ErrTruncated
	}
	questions := make([]Question, count)
	for i := range questions {
		encoded := payload[i*QuestionLength:]
		questions[i] = Question{Key: flow.DecodeKey(encoded), Acknowledged: binary.BigEndian.Uint32(encoded[flow.KeyLength:])}
	}
	return questions, nil
}
