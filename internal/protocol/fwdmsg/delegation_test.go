package fwdmsg_test

import (
	"errors"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/coriandershift/coriandershift/internal/protocol/fwdmsg"
	"github.com/coriandershift/coriandershift/internal/state/flow"
)

const packetLimit = 1400 // bytes, with the headers of IP and UDP

func delegation(agents, questions int) fwdmsg.Delegation {
	d := fwdmsg.Delegation{Agents: make([]flow.Endpoint, agents), Questions: make([]fwdmsg.Question, questions)}
	for i := range d.Agents {
		d.Agents[i] = endpoint(byte(i))
	}
	for i := range d.Questions {
		d.Questions[i] = fwdmsg.Question{Key: flow.Key{Caller: endpoint(byte(i)), Service: endpoint(200)}, Acknowledged: uint32(i) << 20}
	}
	return d
}

// written returns the payload of a DelegatedQuery.
func written(d *fwdmsg.Delegation) []byte {
	return fwdmsg.AppendDelegation(nil, d.Agents, fwdmsg.AppendQuestions(nil, d.Questions))
}

func TestADelegationIsReadAsItWasWritten(t *testing.T) {
	for name, want := range map[string]fwdmsg.Delegation{
		"smallest": delegation(1, 1),
		"largest":  delegation(fwdmsg.MaxDelegatedAgents, fwdmsg.MaxDelegatedQuestions),
	} {
		t.Run(name, func(t *testing.T) {
			payload := written(&want)
			if want := fwdmsg.DelegationLength(len(want.Agents), len(want.Questions)); len(payload) != want {
				t.Errorf("%d bytes, want %d", len(payload), want)
			}
			got, err := fwdmsg.ParseDelegation(payload)
			if err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff(want, got); diff != "" {
				t.Error(diff)
			}

			e := fwdmsg.Envelope{Kind: fwdmsg.DelegatedQuery}
			if size := len(codec.Append(nil, &e, payload)) + 28; size >= packetLimit {
				t.Errorf("the packet has %d bytes", size)
			}
		})
	}
}

func TestBadDelegationsAreRefused(t *testing.T) {
	written := func(agents, questions int) []byte {
		d := delegation(agents, questions)
		return written(&d)
	}
	tests := map[string]struct {
		payload []byte
		want    error
	}{
		"empty":                {nil, fwdmsg.ErrTruncated},
		"no agents":            {written(0, 1), fwdmsg.ErrAgentCount},
		"too many agents":      {written(fwdmsg.MaxDelegatedAgents+1, 1), fwdmsg.ErrAgentCount},
		"no questions":         {written(1, 0), fwdmsg.ErrQuestionCount},
		"too many questions":   {written(1, fwdmsg.MaxDelegatedQuestions+1), fwdmsg.ErrQuestionCount},
		"ends in an agent":     {written(2, 0)[:8], fwdmsg.ErrTruncated},
		"ends in a question":   {written(2, 2)[:40], fwdmsg.ErrTruncated},
		"one byte too many":    {append(written(2, 2), 0), fwdmsg.ErrTruncated},
		"only the agent count": {[]byte{1}, fwdmsg.ErrTruncated},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			if _, err := fwdmsg.ParseDelegation(test.payload); !errors.Is(err, test.want) {
				t.Errorf("got %v, want %v", err, test.want)
			}
		})
	}
}

// replies returns replies in which every third agent did not answer, and every fourth of
// the others was uncertain.
func replies(agents, questions int) fwdmsg.DelegatedReplies {
	d := fwdmsg.DelegatedReplies{Answered: make([]bool, agents), Uncertain: make([]bool, agents), Holders: make([]byte, questions)}
	for i := range agents {
		d.Answered[i] = i%3 != 2
		d.Uncertain[i] = d.Answered[i] && i%4 == 3
	}
	for i := range d.Holders {
		d.Holders[i] = fwdmsg.NoHolder
		if holder := i * 3 % agents; d.Answered[holder] {
			d.Holders[i] = byte(holder)
		}
	}
	return d
}

func TestDelegatedRepliesAreReadAsTheyWereWritten(t *testing.T) {
	for name, counts := range map[string][2]int{
		"smallest": {1, 1},
		"a byte":   {8, 10},
		"largest":  {fwdmsg.MaxDelegatedAgents, fwdmsg.MaxDelegatedQuestions},
	} {
		t.Run(name, func(t *testing.T) {
			want := replies(counts[0], counts[1])
			got, err := fwdmsg.ParseDelegatedReplies(want.Append(nil), counts[0], counts[1])
			if err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff(want, got); diff != "" {
				t.Error(diff)
			}
		})
	}
}

func TestBadDelegatedRepliesAreRefused(t *testing.T) {
	changed := func(change func(*fwdmsg.DelegatedReplies)) []byte {
		d := replies(10, 4)
		change(&d)
		return d.Append(nil)
	}
	tests := map[string]struct {
		payload []byte
		want    error
	}{
		"empty":              {nil, fwdmsg.ErrReplyLength},
		"of another query":   {changed(func(d *fwdmsg.DelegatedReplies) { d.Holders = d.Holders[1:] }), fwdmsg.ErrReplyLength},
		"an unknown holder":  {changed(func(d *fwdmsg.DelegatedReplies) { d.Holders[0] = 10 }), fwdmsg.ErrUnknownAgent},
		"a silent holder":    {changed(func(d *fwdmsg.DelegatedReplies) { d.Holders[0] = 2 }), fwdmsg.ErrUnansweredBit},
		"a silent uncertain": {changed(func(d *fwdmsg.DelegatedReplies) { d.Uncertain[2] = true }), fwdmsg.ErrUnansweredBit},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			if _, err := fwdmsg.ParseDelegatedReplies(test.payload, 10, 4); !errors.Is(err, test.want) {
				t.Errorf("got %v, want %v", err, test.want)
			}
		})
	}
}

func FuzzParseDelegation(f *testing.F) {
	d := delegation(3, 2)
	f.Add(written(&d))
	f.Fuzz(func(t *testing.T, data []byte) {
		d, err := fwdmsg.ParseDelegation(data)
		if err != nil {
			return
		}
		if diff := cmp.Diff(data, written(&d)); diff != "" {
			t.Error(diff)
		}
	})
}

func FuzzParseDelegatedReplies(f *testing.F) {
	d := replies(10, 4)
	f.Add(d.Append(nil), 10, 4)
	f.Fuzz(func(t *testing.T, data []byte, agents, questions int) {
		if agents < 1 || agents > fwdmsg.MaxDelegatedAgents || questions < 1 || questions > fwdmsg.MaxDelegatedQuestions {
			return
		}
		d, err := fwdmsg.ParseDelegatedReplies(data, agents, questions)
		if err != nil {
			return
		}
		again, err := fwdmsg.ParseDelegatedReplies(d.Append(nil), agents, questions)
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(d, again); diff != "" {
			t.Error(diff)
		}
	})
}

// The payload names the agents to which the receiver sends messages.
func TestADelegatedMessageWithAnotherPayloadIsForged(t *testing.T) {
	d := delegation(2, 1)
	for name, kind := range map[string]fwdmsg.Kind{"query": fwdmsg.DelegatedQuery, "reply": fwdmsg.DelegatedReply} {
		t.Run(name, func(t *testing.T) {
			datagram := codec.Append(nil, &fwdmsg.Envelope{Kind: kind}, written(&d))
			if _, _, err := codec.Open(datagram); err != nil {
				t.Fatal(err)
			}
			datagram[len(datagram)-1]++
			if _, _, err := codec.Open(datagram); !errors.Is(err, fwdmsg.ErrForged) {
				t.Errorf("got %v, want %v", err, fwdmsg.ErrForged)
			}
		})
	}
}
