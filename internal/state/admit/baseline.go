package admit

import "time"

const (
	slowFactor      = 3                    // a service time over this multiple of the typical one is slow
	slowFloor       = 5 * time.Millisecond // differences below this are noise
	healthyFactor   = 2                    // a service time up to this multiple counts towards the next slot
	baselineSamples = 8                    // service times needed before any is judged slow

	fasterWeight = 0.3  // of a service time below the typical one
	slowerWeight = 0.02 // of a service time above it
)

// baseline tracks the typical service time of one class. It follows shorter times
// quickly and longer ones slowly, so that a short spell of load does not raise it
// and hide a cold start.
type baseline struct {
	typical time.Duration
	samples int
}

func (b *baseline) observe(service time.Duration) {
	b.samples++
	if b.samples == 1 {
		b.typical = service
		return
	}

	weight := slowerWeight
	if service < b.typical {
		weight = fasterWeight
	}
	b.typical += time.Duration(weight * float64(service-b.typical))
}

// isSlow reports whether a service time suggests that the upstream is cold.
func (b *baseline) isSlow(service time.Duration) bool {
	return b.samples >= baselineSamples && service > slowFactor*b.typical+slowFloor
}

// isHealthy reports whether a service time suggests that the upstream can take more.
func (b *baseline) isHealthy(service time.Duration) bool {
	return service <= healthyFactor*b.typical+slowFloor
}
