package admit

import "time"

const (
	slowFactor      = 3                    // a service time over this multiple of the usual one is slow
	slowFloor       = 5 * time.Millisecond // differences below this are noise
	healthyFactor   = 2                    // one under this multiple lets the ramp grow
	baselineSamples = 8                    // service times before the baseline is trusted

	downWeight = 0.3  // of a service time below the usual one
	upWeight   = 0.02 // of one above it
)

// baseline is what the service times of one class usually are. It follows the
// short ones quickly and the long ones slowly, so that a busy moment does not
// hide a cold start.
type baseline struct {
	usual   time.Duration
	samples int
}

// observe takes a service time into account.
func (b *baseline) observe(service time.Duration) {
	b.samples++
	if b.samples == 1 {
		b.usual = service
		return
	}

	weight := upWeight
	if service < b.usual {
		weight = downWeight
	}
	b.usual += time.Duration(weight * float64(service-b.usual))
}

// slow reports whether a service time is a sign of cold.
func (b *baseline) slow(service time.Duration) bool {
	return b.samples >= baselineSamples && service > slowFactor*b.usual+slowFloor
}

// healthy reports whether a service time is a sign of warmth.
func (b *baseline) healthy(service time.Duration) bool {
	return service <= healthyFactor*b.usual+slowFloor
}
