package owner

import (
	"time"

	"github.com/coriandershift/coriandershift/internal/protocol/fwdmsg"
	"github.com/coriandershift/coriandershift/internal/state/flow"
)

// Requests of many packets take long to arrive over narrow links. An upstream runs a
// request once all of it is there, so that one which still arrives takes no slot yet.
const (
	// maxArrivingPerSlot limits the requests that arrive at a time, per slot.
	maxArrivingPerSlot = 16

	// maxAwaitingPerSlot limits the flows that count as arriving and have sent no data yet,
	// per slot. After an outage many open at once, and their requests may all be complete
	// a moment later, while an upstream queues only a few.
	maxAwaitingPerSlot = 2

	// runningWeight is what a request counts that arrives in no time.
	runningWeight = 1000

	// quietTimeout is the time without new data after which a request counts as complete
	// if everything that arrived is acknowledged. Callers that have more to send repeat
	// it after 200 and 600 ms.
	quietTimeout = 650 * time.Millisecond

	// callerSilence is the time without new data after which an arriving request is no
	// longer counted. Callers repeat data after 1.6 s at the latest.
	callerSilence = 2 * time.Second

	// arrivalInterval is the time between two ticks while requests arrive.
	arrivalInterval = 200 * time.Millisecond

	// arrivalSmoothing is the divisor of the moving average of arrival times: a new one
	// has the weight 1/arrivalSmoothing.
	arrivalSmoothing = 16
)

// routeArrivals describes how the requests of a route arrive.
type routeArrivals struct {
	// mean is the moving average of the time from the first to the last data of a request.
	mean    time.Duration
	sampled bool

	// meanSize is the moving average of the data of a request in bytes.
	meanSize int

	// segment is the length in bytes of the longest packet that more data of the same
	// request followed; 0 if there was none.
	segment int
}

// record takes the arrival time and the size in bytes of a request.
func (r *routeArrivals) record(sample time.Duration, size int) {
	if !r.sampled {
		r.mean, r.meanSize, r.sampled = sample, size, true
		return
	}
	r.mean += (sample - r.mean) / arrivalSmoothing
	r.meanSize += (size - r.meanSize) / arrivalSmoothing
}

// requestSize returns the mean size of the requests of a flow's route as notices report it.
func (o *Owner) requestSize(key flow.Key) uint16 {
	return uint16(min((o.arrivalsOf(key).meanSize+fwdmsg.RequestSizeUnit-1)/fwdmsg.RequestSizeUnit, 1<<16-1))
}

// arrivalsOf returns how the requests of a flow's route arrive. Records are kept for the
// routes of the configuration only.
func (o *Owner) arrivalsOf(key flow.Key) *routeArrivals {
	known := o.arrivals[key.Service]
	if known == nil {
		known = &routeArrivals{}
		if o.routes[key.Service] != nil {
			o.arrivals[key.Service] = known
		}
	}
	return known
}

// trackRequest updates a flow from the data of a caller's packet.
func (o *Owner) trackRequest(now time.Time, key flow.Key, e *entry, p *flow.Packet) {
	isNew, advanced := e.stream.receive(p.Sequence, p.DataLength)
	if !isNew {
		return
	}
	if advanced {
		e.lastDataAt = now
	}
	route := o.arrivalsOf(key)
	route.segment = max(route.segment, e.stream.segment)
	complete := e.stream.complete(route.segment)
	if e.stream.answered {
		if complete {
			e.stream.endRequest()
		}
		return
	}
	if e.upstreamFin {
		return // the upstream answers no more
	}
	if !e.requestPending {
		e.requestPending = true
		o.setAwaitsData(e, false)
		e.requestSentAt, e.lastDataAt = now, now
	}
	if complete {
		o.setCount(key, e, running)
	} else {
		o.setCount(key, e, arriving)
	}
}

// checkArriving counts those arriving requests as running that seem to be complete, and
// stops counting those whose callers seem to have left.
func (o *Owner) checkArriving(now time.Time) {
	for key, e := range o.arriving {
		lastDataAt := e.lastDataAt
		if lastDataAt.IsZero() {
			lastDataAt = e.openedAt
		}
		acknowledged := e.requestPending && !e.stream.hasGap() && e.upstreamAck == e.stream.end
		switch silent := now.Sub(lastDataAt); {
		case acknowledged && silent >= quietTimeout:
			o.setCount(key, e, running)
		case silent >= callerSilence:
			o.setCount(key, e, notCounted)
		}
	}
}
