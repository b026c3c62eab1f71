package fwdmsg

import (
	"github.com/pkg/errors"

	"github.com/coriandershift/coriandershift/internal/state/flow"
)

// The largest numbers of agents and questions of a DelegatedQuery, which is then below
// 1,200 bytes long.
const (
	MaxDelegatedAgents    = 100
	MaxDelegatedQuestions = 32
)

// Errors of ParseDelegation.
var (
	ErrAgentCount    = errors.New("delegated query has no agents or too many")
	ErrQuestionCount = errors.New("delegated query has no questions or too many")
)

// Delegation is the payload of a DelegatedQuery.
type Delegation struct {
	// Agents are those to ask, 1 to MaxDelegatedAgents.
	Agents []flow.Endpoint

	// Questions are what to ask each of them, 1 to MaxDelegatedQuestions.
	Questions []Question
}

// AppendDelegation appends the payload of a DelegatedQuery to dst: the number of agents,
// their endpoints and the questions, which AppendQuestions has encoded.
func AppendDelegation(dst []byte, agents []flow.Endpoint, questions []byte) []byte {
	dst = append(dst, byte(len(agents)))
	for _, agent := range agents {
		dst = appendEndpoint(dst, agent)
	}
	return append(dst, questions...)
}

// DelegationLength returns the length in bytes of the payload of a DelegatedQuery.
func DelegationLength(agents, questions int) int {
	return 1 + agents*EndpointLength + questions*QuestionLength
}

// ParseDelegation decodes the payload of a DelegatedQuery. It returns ErrTruncated if
// the payload ends within an agent or a question, ErrAgentCount or ErrQuestionCount.
func ParseDelegation(payload []byte) (Delegation, error) {
	if len(payload) == 0 {
		return Delegation{}, ErrTruncated
	}
	count, rest := int(payload[0]), payload[1:]
	if count == 0 || count > MaxDelegatedAgents {
		return Delegation{}, ErrAgentCount
	}
	if len(rest) < count*EndpointLength {
		return Delegation{}, ErrTruncated
	}
	questions := rest[count*EndpointLength:]
	if len(questions) == 0 || len(questions) > MaxDelegatedQuestions*QuestionLength {
		return Delegation{}, ErrQuestionCount
	}
	d := Delegation{Agents: make([]flow.Endpoint, count)}
	for i := range d.Agents {
		d.Agents[i] = endpointAt(rest[i*EndpointLength:])
	}
	var err error
	d.Questions, err = ParseQuestions(questions)
	return d, err
}
