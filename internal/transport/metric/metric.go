// Package metric defines the Prometheus metrics of the daemons. All label values
// come from a fixed list or from the configuration, so that callers cannot add
// time series.
package metric

import (
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

const namespace = "coriandershift"

// Set is all metrics of one process.
type Set struct {
	registry *prometheus.Registry

	// RequestLatency is the time to the end of the response in seconds, by tenant and class.
	RequestLatency *prometheus.HistogramVec

	// ResponseSize is the length of the response's body in bytes, by tenant and class.
	ResponseSize *prometheus.HistogramVec

	// Requests counts requests by tenant, class and outcome.
	Requests *prometheus.CounterVec

	// Refusals counts refused requests by tenant, class and reason.
	Refusals *prometheus.CounterVec

	// PassedRequests counts requests that a peer agent ran, by tenant and class.
	PassedRequests *prometheus.CounterVec

	// BrokenFlows counts broken flows by cause.
	BrokenFlows *prometheus.CounterVec

	// Datagrams counts datagrams from and to callers by verdict.
	Datagrams *prometheus.CounterVec

	// SearchTime is the time in seconds until the search for an unknown flow ended, by
	// outcome and the failure domain of the balancer.
	SearchTime *prometheus.HistogramVec

	// DroppedDatagrams counts dropped datagrams by reason.
	DroppedDatagrams *prometheus.CounterVec

	// ControlBytes counts control traffic in bytes by direction, in or out.
	ControlBytes *prometheus.CounterVec

	// StoreCalls counts calls to the platform's store by call and result.
	StoreCalls *prometheus.CounterVec

	// InvariantViolations counts broken invariants by name. It must stay 0.
	InvariantViolations *prometheus.CounterVec

	// ConfigRevision is the revision of the configuration in force.
	ConfigRevision prometheus.Gauge

	// StoreEra is the latest era of the store heard of; HeldConfigs counts the
	// configurations that were held back because of a new era.
	StoreEra    prometheus.Gauge
	HeldConfigs prometheus.Counter

	// Members is the number of known members that are not dead.
	Members prometheus.Gauge

	// SlotLimit is the current limit of concurrent requests at the upstream.
	SlotLimit prometheus.Gauge

	// SlotsUsed is the number of requests that the upstream is running.
	SlotsUsed prometheus.Gauge

	// Arriving is the number of requests whose data still arrives.
	Arriving prometheus.Gauge

	// Connections is the number of open flows.
	Connections prometheus.Gauge

	// LinkOutstanding is the number of bytes of unfinished uploads that a balancer's link
	// still has to carry, LinkRefusals the number of flows refused for it, both by the
	// priority of their route. They have no series where the rate of the link is not known.
	LinkOutstanding *prometheus.GaugeVec
	LinkRefusals    *prometheus.CounterVec
}

// New returns a Set in a registry of its own.
func New() *Set {
	s := &Set{registry: prometheus.NewRegistry()}
	s.registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))

	latency := prometheus.ExponentialBuckets(0.001, 2, 15)
	size := prometheus.ExponentialBuckets(256, 4, 10)
	s.RequestLatency = s.histogram("request_seconds", "Time to the end of the answer.", latency, "tenant", "class")
	s.ResponseSize = s.histogram("answer_bytes", "Length of the answer's body.", size, "tenant", "class")
	s.Requests = s.counter("requests_total", "Requests by outcome.", "tenant", "class", "outcome")
	s.Refusals = s.counter("refusals_total", "Requests refused before they ran.", "tenant", "class", "reason")
	s.PassedRequests = s.counter("passed_requests_total", "Requests that a peer agent ran.", "tenant", "class")
	s.BrokenFlows = s.counter("broken_flows_total", "Flows that ended before their answer.", "cause")
	s.Datagrams = s.counter("datagrams_total", "Callers' datagrams by verdict.", "verdict")
	s.SearchTime = s.histogram("search_seconds", "Time until the search for an unknown flow ended.",
		prometheus.ExponentialBuckets(0.002, 2, 12), "outcome", "domain")
	s.DroppedDatagrams = s.counter("dropped_datagrams_total", "Datagrams thrown away.", "reason")
	s.ControlBytes = s.counter("control_bytes_total", "Control traffic between the system's processes.", "direction")
	s.StoreCalls = s.counter("store_calls_total", "Calls to the platform's store.", "call", "result")
	s.InvariantViolations = s.counter("invariant_violations_total", "Broken invariants.", "invariant")
	s.ConfigRevision = s.gauge("config_revision", "Configuration in force.")
	s.StoreEra = s.gauge("store_era", "Latest era of the store heard of.")
	s.HeldConfigs = prometheus.NewCounter(prometheus.CounterOpts{
		Namespace: namespace, Name: "held_configs_total", Help: "Configurations held back because of a new era of the store.",
	})
	s.registry.MustRegister(s.HeldConfigs)
	s.Members = s.gauge("members", "Known members that are not dead.")
	s.SlotLimit = s.gauge("slot_limit", "Requests that the upstream may run at once now.")
	s.SlotsUsed = s.gauge("slots_used", "Requests that the upstream runs.")
	s.Arriving = s.gauge("requests_arriving", "Requests whose data still arrives.")
	s.Connections = s.gauge("connections", "Open flows.")
	s.LinkOutstanding = prometheus.NewGaugeVec(prometheus.GaugeOpts{
		Namespace: namespace, Name: "link_outstanding_bytes", Help: "Bytes of unfinished uploads that the link still has to carry.",
	}, []string{"priority"})
	s.registry.MustRegister(s.LinkOutstanding)
	s.LinkRefusals = s.counter("link_refusals_total", "New flows refused because the link cannot carry them in time.", "priority")
	return s
}

// Handler serves the metrics.
func (s *Set) Handler() http.Handler {
	return promhttp.HandlerFor(s.registry, promhttp.HandlerOpts{})
}

// ObserveRequest records the end of a request.
func (s *Set) ObserveRequest(tenant, class, outcome string, latency time.Duration, bytes int64) {
	s.Requests.WithLabelValues(tenant, class, outcome).Inc()
	s.RequestLatency.WithLabelValues(tenant, class).Observe(latency.Seconds())
	s.ResponseSize.WithLabelValues(tenant, class).Observe(float64(bytes))
}

// ObserveStoreCall records one call to the platform's store.
func (s *Set) ObserveStoreCall(call string, err error) {
	result := "ok"
	if err != nil {
		result = "error"
	}
	s.StoreCalls.WithLabelValues(call, result).Inc()
}

func (s *Set) counter(name, help string, labels ...string) *prometheus.CounterVec {
	c := prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help}, labels)
	s.registry.MustRegister(c)
	return c
}

func (s *Set) histogram(name, help string, buckets []float64, labels ...string) *prometheus.HistogramVec {
	opts := prometheus.HistogramOpts{Namespace: namespace, Name: name, Help: help, Buckets: buckets}
	h := prometheus.NewHistogramVec(opts, labels)
	s.registry.MustRegister(h)
	return h
}

func (s *Set) gauge(name, help string) prometheus.Gauge {
	g := prometheus.NewGauge(prometheus.GaugeOpts{Namespace: namespace, Name: name, Help: help})
	s.registry.MustRegister(g)
	return g
}
