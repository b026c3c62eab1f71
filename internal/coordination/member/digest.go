package member

import (
	"time"

	"github.com/coriandershift/coriandershift/internal/state/roster"
)

func (n *Node) onDigest(now time.Time, m Message) []Outgoing {
	if n.self.Role != roster.Balancer || len(m.Digest) != roster.DigestBuckets {
		return nil
	}

	n.learnFrom(now, m)
	missing := n.roster.Differing([roster.DigestBuckets]uint64(m.Digest))
	n.updateSynced(m, len(missing) == 0)
	if len(missing) == 0 && !m.Joining {
		return nil
	}

	if len(missing) > maxRepairMessages*maxRecords {
		// While records change in all buckets, each reply would leave out the same ones.
		n.random.Shuffle(len(missing), func(i, j int) { missing[i], missing[j] = missing[j], missing[i] })
	}
	var sends []Outgoing
	for len(missing) > 0 && len(sends) < maxRepairMessages {
		count := min(len(missing), maxRecords)
		push := n.message(Push)
		push.makePartial()
		push.Members = missing[:count]
		missing = missing[count:]
		sends = append(sends, Outgoing{To: m.From.Address, Message: push})
	}

	if !m.IsReply {
		sends = append(sends, Outgoing{To: m.From.Address, Message: n.digestMessage(true)})
	}
	return sends
}

// updateSynced marks this node as synced if m is a reply whose digest is the same
// as this node's and whose sender takes traffic and therefore knows all members.
func (n *Node) updateSynced(m Message, same bool) {
	if same && m.IsReply && m.From.Weight > 0 {
		n.synced = true
	}
}

func (n *Node) digestMessage(reply bool) Message {
	m := n.message(Digest)
	m.makePartial()
	digest := n.roster.Digest()
	m.Digest = digest[:]
	m.IsReply = reply
	return m
}
