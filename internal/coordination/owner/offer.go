package owner

import (
	"time"

	"github.com/coriandershift/coriandershift/internal/protocol/fwdmsg"
	"github.com/coriandershift/coriandershift/internal/state/flow"
)

const (
	// offerTTL is how long a bounce of an offered packet is expected.
	offerTTL = time.Second

	// maxNewSequence is up to which announcement an upstream has had no flows to
	// speak of, so that nothing is lost by not asking it.
	maxNewSequence = 3

	// maxOffers bounds the offers that wait for a bounce.
	maxOffers = 4096
)

// offers are packets of unknown flows that were given to the upstream, by the
// tag that comes back if it bounces them.
type offers struct {
	byTag   map[uint32]offer
	byKey   map[flow.Key]uint32 // the last tag of each flow
	lastTag uint32
}

type offer struct {
	sentAt   time.Time
	key      flow.Key
	envelope fwdmsg.Envelope
}

func (f *offers) add(now time.Time, key flow.Key, e *fwdmsg.Envelope) (uint32, bool) {
	if len(f.byTag) >= maxOffers {
		return 0, false
	}
	f.lastTag = max(1, f.lastTag+1)
	f.byTag[f.lastTag] = offer{sentAt: now, key: key, envelope: *e}
	f.byKey[key] = f.lastTag
	return f.lastTag, true
}

func (f *offers) takeByTag(tag uint32, key flow.Key) (fwdmsg.Envelope, bool) {
	o, ok := f.byTag[tag]
	if !ok || o.key != key {
		return fwdmsg.Envelope{}, false
	}
	f.drop(tag, key)
	return o.envelope, true
}

// takeByKey returns the envelope of a flow that turned out to be the upstream's.
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
