package owner

import "github.com/coriandershift/coriandershift/internal/state/flow"

// countState says how a flow counts against the upstream's slots.
type countState uint8

const (
	// notCounted flows have no request.
	notCounted countState = iota
	// running flows have a request that the upstream runs or is about to get.
	running
	// arriving flows have a request whose data still arrives.
	arriving
)

// setCount changes how a flow counts.
func (o *Owner) setCount(key flow.Key, e *entry, state countState) {
	if e.counts == state {
		return
	}
	switch e.counts {
	case running:
		o.requests--
	case arriving:
		delete(o.arriving, key)
	}
	switch state {
	case running:
		o.requests++
	case arriving:
		o.arriving[key] = e
	}
	e.counts = state
	o.setAwaitsData(e, state == arriving && !e.requestPending)
	o.setWeight(key, e)
}

// setAwaitsData records whether a flow counts as arriving and has sent no data yet.
func (o *Owner) setAwaitsData(e *entry, awaits bool) {
	if e.awaitsData == awaits {
		return
	}
	e.awaitsData = awaits
	if awaits {
		o.awaitingData++
	} else {
		o.awaitingData--
	}
}

// setWeight sets what a flow counts over the whole time of its request: by Little's law,
// the part of that time for which the request runs. It is known from the moment at which
// the request begins to arrive.
func (o *Owner) setWeight(key flow.Key, e *entry) {
	previous := e.weight
	switch e.counts {
	case notCounted:
		e.weight = 0
	case running:
		if e.weight == 0 {
			e.weight = runningWeight
		}
	case arriving:
		work := o.slotTime()
		e.weight = max(1, int(runningWeight*work/(work+o.arrivalsOf(key).mean)))
	}
	o.weight += e.weight - previous
}

// load returns the number of requests at the upstream by which flows are admitted: those
// that run now, or those that are expected to run at a time, if that is more.
func (o *Owner) load() int {
	load := max(o.requests, (o.weight+runningWeight/2)/runningWeight)
	if o.arrivingLimited() {
		return max(load, o.maxRequests())
	}
	return load
}

func (o *Owner) arrivingLimited() bool {
	return len(o.arriving) >= maxArrivingPerSlot*o.slots() || o.awaitingData >= maxAwaitingPerSlot*o.slots()
}

// countOpening counts a new flow. Where requests take longer to arrive than to run, it
// counts as arriving.
func (o *Owner) countOpening(key flow.Key, e *entry) {
	if o.arrivalsOf(key).mean > o.slotTime() {
		o.setCount(key, e, arriving)
		return
	}
	o.setCount(key, e, running)
}
