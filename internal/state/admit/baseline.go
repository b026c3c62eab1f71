package admit

import "time"

const (
	slowFactor      = 3                    // a service time over this multiple of the usual one is slow
	slowFloor       = 5 * time.Millisecond // differences below this are noise
	healthyFactor   = 2                    // one under this multiple lets the ramp grow
	baselineSamples = 8                    // service times before the baseline is trusted

	fasterWeight = 0.3  // of a service time below the usual one
	slowerWeight = 0.02 // of one above it
)

// baseline is what the service times of one class usually are. It follows the
// short ones quickly and the long ones slowly, so that a busy moment does not
// hide a cold start.
type baseline struct {
	typical time.Duration
	samples int
}

// observe takes a service time into account.
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

// isSlow reports whether a service time is a sign of cold.
func (b *baseline) isSlow(service time.Duration) bool {
	return b.samples >= baselineSamples && service > slowFactor*b.typical+slowFloor
}

// isHealthy reports whether a service time is a sign of warmth.
func (b *baseline) isHealthy(service time.Duration) bool {
	return service <= healthyFactor*b.typical+slowFloor
}
