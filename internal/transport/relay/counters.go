package relay

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/coriandershift/coriandershift/internal/coordination/route"
	"github.com/coriandershift/coriandershift/internal/transport/metric"
)

// counters holds the counters of the data path, so that they are not looked up
// for each datagram.
type counters struct {
	metrics     *metric.Set
	established prometheus.Counter
	opening     prometheus.Counter
	answers     prometheus.Counter
}

func newCounters(m *metric.Set) *counters {
	return &counters{
		metrics:     m,
		established: m.Datagrams.WithLabelValues("established"),
		opening:     m.Datagrams.WithLabelValues("opening"),
		answers:     m.Datagrams.WithLabelValues("answer"),
	}
}

func (c *counters) forward(v route.Verdict) {
	if v == route.RouteByRank {
		c.opening.Inc()
		return
	}
	c.established.Inc()
}

func (c *counters) answer() {
	c.answers.Inc()
}

func (c *counters) drop(reason string) {
	c.metrics.DroppedDatagrams.WithLabelValues(reason).Inc()
}
