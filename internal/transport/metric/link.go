package metric

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// LinkSample is the state of a VM's network link. Rate is in bytes per second.
type LinkSample struct {
	Rate       float64
	Directions []LinkDirection
}

// LinkDirection is the state of a link in one direction.
type LinkDirection struct {
	Name string // in or out

	// Use is the share of the rate used in the last second, Queue the estimate how long
	// datagrams wait, and Full says that the link delays them too much.
	Use   float64
	Queue time.Duration
	Full  bool

	Kinds []LinkKind
}

// LinkKind is what a link has carried of one kind of datagrams.
type LinkKind struct {
	Name             string
	Bytes, Datagrams uint64
}

// AddLink adds the series of a VM's link, whose values sample returns whenever they are
// read.
func (s *Set) AddLink(sample func() LinkSample) {
	s.registry.MustRegister(&linkCollector{
		sample:    sample,
		rate:      linkDesc("link_rate_bytes", "Rate of the VM's link in bytes per second, in each direction."),
		use:       linkDesc("link_use", "Share of the link's rate used in the last second.", "direction"),
		queue:     linkDesc("link_queue_seconds", "Estimate how long datagrams wait at the link.", "direction"),
		full:      linkDesc("link_full", "1 while the link delays datagrams too much.", "direction"),
		bytes:     linkDesc("link_bytes_total", "Bytes over the link, with the headers of IP and UDP.", "direction", "kind"),
		datagrams: linkDesc("link_datagrams_total", "Datagrams over the link.", "direction", "kind"),
	})
}

func linkDesc(name, help string, labels ...string) *prometheus.Desc {
	return prometheus.NewDesc(prometheus.BuildFQName(namespace, "", name), help, labels, nil)
}

// linkCollector is a prometheus.Collector of a link's series.
type linkCollector struct {
	sample                                   func() LinkSample
	rate, use, queue, full, bytes, datagrams *prometheus.Desc
}

// Describe implements prometheus.Collector.
func (c *linkCollector) Describe(out chan<- *prometheus.Desc) {
	for _, d := range []*prometheus.Desc{c.rate, c.use, c.queue, c.full, c.bytes, c.datagrams} {
		out <- d
	}
}

// Collect implements prometheus.Collector.
func (c *linkCollector) Collect(out chan<- prometheus.Metric) {
	gauge := func(d *prometheus.Desc, value float64, labels ...string) {
		out <- prometheus.MustNewConstMetric(d, prometheus.GaugeValue, value, labels...)
	}
	count := func(d *prometheus.Desc, value uint64, labels ...string) {
		out <- prometheus.MustNewConstMetric(d, prometheus.CounterValue, float64(value), labels...)
	}
	sample := c.sample()
	gauge(c.rate, sample.Rate)
	for _, d := range sample.Directions {
		full := 0.0
		if d.Full {
			full = 1
		}
		gauge(c.use, d.Use, d.Name)
		gauge(c.queue, d.Queue.Seconds(), d.Name)
		gauge(c.full, full, d.Name)
		for _, k := range d.Kinds {
			count(c.bytes, k.Bytes, d.Name, k.Name)
			count(c.datagrams, k.Datagrams, d.Name, k.Name)
		}
	}
}
