package model_test

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// overhead is the part of a request's latency that is not the upstream's work: the
// handshake, the request and the first bytes of the answer on their way.
const overhead = 5*callerDelay + 2*vmDelay

// oracle bounds what callers can get in an experiment. It knows all requests that wait
// and since when, refuses none and sends no messages between VMs, but does not know how
// long a request will take. Of the requests that wait, those that can be expected to be
// answered in time go first, by their objective, then those that can be answered at
// all, by their deadline.
type oracle struct {
	experiment
	results
	down    [2]time.Duration // the outage, if any
	pending []oracleRequest  // ordered by reachable
	waiting []oracleRequest
	slots   []time.Duration // when each slot of all upstreams is free
}

// oracleRequest is a request and when its caller first sends an opening packet that does
// not fall into an outage.
type oracleRequest struct {
	startedAt, reachable, work time.Duration
	measured                   bool
}

func runOracle(e experiment) *results {
	if e.callers.work == 0 {
		e.callers = patient
	}
	o := &oracle{experiment: e, slots: make([]time.Duration, agentCount*e.slots)}
	if outage := max(e.outage, e.balancerOutage); outage > 0 {
		o.down = [2]time.Duration{e.duration / 2, e.duration/2 + outage}
	}
	o.arrive(rand.New(rand.NewPCG(e.seed, 7)))
	for len(o.pending)+len(o.waiting) > 0 {
		o.serveNext()
	}
	return &o.results
}

// arrive draws all requests.
func (o *oracle) arrive(random *rand.Rand) {
	capacity := float64(len(o.slots)) / o.callers.work.Seconds()
	for at := time.Duration(0); at <= o.duration; at += time.Duration(random.ExpFloat64() / (o.loadAt(at) * capacity) * float64(time.Second)) {
		work := time.Duration(math.Exp(random.NormFloat64()*workSigma-workSigma*workSigma/2) * float64(o.callers.work))
		r := oracleRequest{startedAt: at, reachable: o.firstReachable(at), work: work, measured: at > warmUp}
		if r.measured {
			o.requests++
		}
		o.pending = append(o.pending, r)
	}
	slices.SortStableFunc(o.pending, func(a, b oracleRequest) int { return int(a.reachable - b.reachable) })
}

// firstReachable returns when a caller first sends an opening packet outside the outage:
// it sends several in each of its attempts.
func (o *oracle) firstReachable(startedAt time.Duration) time.Duration {
	start := startedAt
	for attempt := 1; attempt <= maxAttempts; attempt++ {
		timeout := o.callers.attemptTimeout(attempt, startedAt+o.callers.deadline-start)
		for _, d := range openingDelays {
			at := start + d
			if d < timeout && (at < o.down[0] || at >= o.down[1]) {
				return at
			}
		}
		start += timeout + (minPause+maxPause)/2
	}
	return startedAt + o.callers.deadline
}

// serveNext gives the next free slot the best of the requests that wait, and drops those
// that cannot be answered any more.
func (o *oracle) serveNext() {
	slot := slices.Index(o.slots, slices.Min(o.slots))
	now := o.slots[slot]
	if len(o.waiting) == 0 {
		now = max(now, o.pending[0].reachable)
	}
	if o.outage > 0 && now >= o.down[0] && now < o.down[1] {
		now = o.down[1]
	}
	if cut := o.duration / 2; slot < o.unreachable*o.experiment.slots && now >= cut {
		o.slots[slot] = math.MaxInt64
		return
	}
	for len(o.pending) > 0 && o.pending[0].reachable <= now {
		o.waiting = append(o.waiting, o.pending[0])
		o.pending = o.pending[1:]
	}

	best, bestDue := -1, time.Duration(math.MaxInt64)
	o.waiting = slices.DeleteFunc(o.waiting, func(r oracleRequest) bool { return o.expectedAt(now) > r.startedAt+o.callers.deadline })
	for i := range o.waiting {
		if due := o.due(now, &o.waiting[i]); due < bestDue {
			best, bestDue = i, due
		}
	}
	o.slots[slot] = now
	if best < 0 {
		return
	}
	r := o.waiting[best]
	o.waiting = slices.Delete(o.waiting, best, best+1)
	work := o.workAt(now, r.work)
	o.slots[slot] = now + work
	latency := now + overhead + work - r.startedAt
	if !r.measured || latency > o.callers.deadline {
		return
	}
	o.answered++
	if latency <= o.callers.objective {
		o.inTime++
	}
}

// due orders the requests that wait: those that can be answered in time before others.
func (o *oracle) due(now time.Duration, r *oracleRequest) time.Duration {
	if objective := r.startedAt + o.callers.objective; o.expectedAt(now) <= objective {
		return objective
	}
	return r.startedAt + o.callers.deadline + time.Hour
}

// expectedAt returns when a request that starts now can be expected to be answered.
func (o *oracle) expectedAt(now time.Duration) time.Duration {
	return now + overhead + o.workAt(now, o.callers.work)
}

// workAt returns the duration of a request that starts now, when upstreams may be cold.
func (o *oracle) workAt(now, work time.Duration) time.Duration {
	if now < coldDuration || (o.outage > 0 && now >= o.down[1] && now < o.down[1]+coldDuration) {
		return time.Duration(float64(work) * coldSlowdown)
	}
	return work
}
