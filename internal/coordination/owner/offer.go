package owner

import (
	"time"

	"github.com/coriandershift/coriandershift/internal/protocol/fwdmsg"
	"github.com/coriandershift/coriandershift/internal/state/flow"
)

const (
	// offerTTL is how long a bounce of an offered packet is expected.
	offerTTL = time.Second

	// freshSequence is up to which announcement an upstream has had no flows to
	// speak of, so that nothing is lost by not asking it.
	freshSequence = 3

	// maxOffers bounds the offers that wait for a bounce.
	maxOffers = 4096
)

// offers are packets of unknown flows that were given to the upstream, by the
// tag that comes back if it bounces them.
type offers struct {
	byTag map[uint32]offer
	byKey map[flow.Key]uint32 // the last tag of each flow
	last  uint32
}

type offer struct {
	at       time.Time
	key      flow.Key
	envelope fwdmsg.Envelope
}

func (f *offers) add(now time.Time, key flow.Key, e *fwdmsg.Envelope) (uint32, bool) {
	if len(f.byTag) >= maxOffers {
		return 0, false
	}
	f.last = max(1, f.last+1)
	f.byTag[f.last] = offer{at: now, key: key, envelope: *e}
	f.byKey[key] = f.last
	return f.last, true
}

func (f *offers) take(tag uint32, key flow.Key) (fwdmsg.Envelope, bool) {
	o, ok := f.byTag[tag]
	if !ok || o.key != key {
		return fwdmsg.Envelope{}, false
	}
	f.drop(tag, key)
	return o.envelope, true
}

// taken returns the envelope of a flow that turned out to be the upstream's.
func (f *offers) taken(key flow.Key) (fwdmsg.Envelope, bool) {
	tag, ok := f.byKey[key]
	if !ok {
		return fwdmsg.Envelope{}, false
	}
	return f.take(tag, key)
}

func (f *offers) drop(tag uint32, key flow.Key) {
	delete(f.byTag, tag)
	if f.byKey[key] == tag {
		delete(f.byKey, key)
	}
}

func (f *offers) sweep(now time.Time) {
	for tag, o := range f.byTag {
		if now.Sub(o.at) > offerTTL {
			f.drop(tag, o.key)
		}
	}
}
