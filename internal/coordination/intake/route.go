package intake

import (
	"time"

	"github.com/coriandershift/coriandershift/internal/state/config"
	"github.com/coriandershift/coriandershift/internal/state/flow"
)

const (
	// maxData is the most data in a packet, and fullPacket the size of a packet with that
	// much on the link, in bytes.
	maxData    = 1200
	fullPacket = maxData + 31 + datagramOverhead

	// maxLightSize is the mean size of a route's transfers, in bytes, above which the
	// route is heavy: a few packets.
	maxLightSize = 4 * fullPacket

	// sizeSmoothing is the divisor of the moving average of sizes: a new one has the
	// weight 1/sizeSmoothing.
	sizeSmoothing = 8

	// maxSizeFactor limits the size that counts in the average to a multiple of it, so that
	// a single large transfer does not make a light route heavy.
	maxSizeFactor = 4

	// idleRouteTTL is the time without a packet after which a route's mean is forgotten.
	idleRouteTTL = 10 * time.Minute
)

// routeState is what is known of the transfers of one route.
type routeState struct {
	priority  int
	objective time.Duration

	// meanSize is the moving average of the sizes of ended transfers in bytes on the link,
	// 0 if none has ended. largest is the size of the largest one in progress until then.
	meanSize, largest float64

	// reportedSize is the mean that an agent reported last, 0 if none has.
	reportedSize float64

	// unfinished counts the unfinished transfers, and outstanding is the sum of what they
	// still expect.
	unfinished  int
	outstanding float64

	// other measures the packets of the route that do not belong to what is outstanding: all
	// of a light route; opening packets, acknowledgements and retransmissions of a heavy one.
	other meter
}

// state returns the state of a route, with the values of the configuration in force.
func (c *Control) state(address flow.Endpoint, route *config.Route) *routeState {
	s := c.routes[address]
	if s == nil {
		s = &routeState{}
		c.routes[address] = s
	}
	s.priority, s.objective = route.Priority, route.Objective.Duration()
	return s
}

// evictIdleRoutes removes routes without transfers that got no packet for idleRouteTTL.
func (c *Control) evictIdleRoutes(now time.Time) {
	for address, s := range c.routes {
		if s.unfinished == 0 && now.Sub(s.other.updatedAt) >= idleRouteTTL {
			delete(c.routes, address)
		}
	}
}

// expected returns the expected size of a transfer in bytes on the link. The own mean may
// be too small, because it counts transfers that callers gave up; the reported one is of
// whole requests.
func (s *routeState) expected() float64 {
	own := s.meanSize
	if own == 0 {
		own = s.largest
	}
	return max(own, s.reportedSize)
}

func (s *routeState) objectiveOrDefault() time.Duration {
	if s.objective == 0 {
		return defaultObjective
	}
	return s.objective
}

func (s *routeState) isHeavy() bool {
	return s.expected() > maxLightSize
}

// recordProgress records how much of a transfer has arrived.
func (s *routeState) recordProgress(received float64) {
	s.largest = max(s.largest, received)
}

// recordSize records the size of an ended transfer.
func (s *routeState) recordSize(size float64) {
	if s.meanSize == 0 {
		s.meanSize = size
		return
	}
	size = min(size, maxSizeFactor*s.meanSize)
	s.meanSize += (size - s.meanSize) / sizeSmoothing
}

// Learn takes the mean size of a route's requests in bytes, as an agent reports it; 0 is
// not known. A balancer that has just started knows heavy routes from their first flow on
// by it.
func (c *Control) Learn(now time.Time, address flow.Endpoint, route *config.Route, size int) {
	if c == nil || size == 0 {
		return
	}
	s := c.state(address, route)
	s.other.add(now, 0) // the route is in use
	packets := (size + maxData - 1) / maxData
	s.reportedSize = float64(size + packets*(fullPacket-maxData))
}
