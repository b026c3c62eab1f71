package fwdmsg

import (
	"encoding/binary"

	"github.com/coriandershift/coriandershift/internal/state/flow"
)

// MaxQuestions is how many flows a Query can name so that it fits a packet.
const MaxQuestions = 64

const questionLength = flow.KeyLength + 4

// Question is one flow of a Query.
type Question struct {
	Key flow.Key

	// Acknowledged is what the caller acknowledged last.
	Acknowledged uint32
}

// HeldStatus is an agent's word on one flow of a Query.
type HeldStatus byte

// The words.
const (
	NotHeld HeldStatus = 0
	Held    HeldStatus = 1
	// Uncertain agents do not know all flows of their upstream.
	Uncertain HeldStatus = 2
)

// AppendQuestions adds the payload of a Query to dst.
func AppendQuestions(dst []byte, questions []Question) []byte {
	for i := range questions {
		dst = questions[i].Key.Append(dst)
		dst = binary.BigEndian.AppendUint32(dst, questions[i].Acknowledged)
	}
	return dst
}

// ParseQuestions reads the payload of a Query. It returns ErrTruncated for a malformed one.
func ParseQuestions(payload []byte) ([]Question, error) {
	count := len(payload) / questionLength
	if count*questionLength != len(payload) || count > MaxQuestions {
		return nil, ErrTruncated
	}
	questions := make([]Question, count)
	for i := range questions {
		at := payload[i*questionLength:]
		questions[i] = Question{Key: flow.DecodeKey(at), Acknowledged: binary.BigEndian.Uint32(at[flow.KeyLength:])}
	}
	return questions, nil
}
