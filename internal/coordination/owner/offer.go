package owner

import (
	"time"

	"github.com/coriandershift/coriandershift/internal/protocol/fwdmsg"
	"github.com/coriandershift/coriandershift/internal/state/flow"
)

const (
	// offerTTL is how long an offer is kept to match the bounce of its packet.
	offerTTL = time.Second

	// maxNewSequence is the highest sequence number of an announcement at which an
	// upstream may count as started after the agent. It limits the harm of a time of day
	// that was set back between the starts of the two.
	maxNewSequence = 3

	// minAnnouncementInterval is less than the time from an announcement that an agent has
	// handled to the next one. An upstream that is younger when an agent first hears of it has
	// been heard by no earlier process of the agent, and so has no flows.
	minAnnouncementInterval = 150 * time.Millisecond

	// clockTolerance is the difference between the time of day and the monotonic clock over
	// the agent's life from which the time of day counts as having been set.
	clockTolerance = 100 * time.Millisecond

	// maxOffers is the largest number of offers that are kept at a time.
	maxOffers = 4096
)

// offers records packets of unknown flows that were delivered to the upstream with a
// tag. The upstream bounces them with their tag if it does not hold the flow.
type offers struct {
	byTag   map[uint32]offer
	byKey   map[flow.Key]uint32 // the latest tag of each flow
	lastTag uint32
}

type offer struct {
	sentAt   time.Time
	key      flow.Key
	envelope fwdmsg.Envelope
}

// add returns the tag of a new offer, or false if there are maxOffers already.
func (f *offers) add(now time.Time, key flow.Key, e *fwdmsg.Envelope) (uint32, bool) {
	if len(f.byTag) >= maxOffers {
		return 0, false
	}
	f.lastTag = max(1, f.lastTag+1)
	f.byTag[f.lastTag] = offer{sentAt: now, key: key, envelope: *e}
	f.byKey[key] = f.lastTag
	return f.lastTag, true
}

// takeByTag removes the offer of a bounced packet and returns its envelope.
func (f *offers) takeByTag(tag uint32, key flow.Key) (fwdmsg.Envelope, bool) {
	o, ok := f.byTag[tag]
	if !ok || o.key != key {
		return fwdmsg.Envelope{}, false
	}
	f.drop(tag, key)
	return o.envelope, true
}

// takeByKey removes the latest offer of a flow that the upstream turned out to hold,
// and returns its envelope.
func (f *offers) takeByKey(key flow.Key) (fwdmsg.Envelope, bool) {
	tag, ok := f.byKey[key]
	if !ok {
		return fwdmsg.Envelope{}, false
	}
	return f.takeByTag(tag, key)
}

func (f *offers) drop(tag uint32, key flow.Key) {
	delete(f.byTag, tag)
	if f.byKey[key] == tag {
		delete(f.byKey, key)
	}
}

func (f *offers) sweep(now time.Time) {
	for tag, o := range f.byTag {
		if now.Sub(o.sentAt) > offerTTL {
			f.drop(tag, o.key)
		}
	}
}
