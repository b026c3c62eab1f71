// Package scrape reads from /metrics of a process what its VM's link carries and what it
// has decided on datagrams.
package scrape

import (
	"context"
	"io"
	"net/http"

	"github.com/pkg/errors"
	dto "github.com/prometheus/client_model/go"
	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"
)

const (
	maxResponse = 4 << 20 // bytes
	prefix      = "coriandershift_"
)

// ErrForeign reports metrics that are not those of a process of the system.
var ErrForeign = errors.New("no metrics of coriandershift")

// Sample is what a process said at one time.
type Sample struct {
	// Rate is that of the VM's link in bytes per second; 0 if the process does not know
	// it, in which case Directions is empty.
	Rate float64

	// Directions are the states of the link, by in and out.
	Directions map[string]Direction

	// Verdicts counts datagrams by what was decided on them, Dropped those thrown away by
	// reason, since the process started.
	Verdicts, Dropped map[string]uint64
}

// Direction is the state of a link in one direction.
type Direction struct {
	// Use is the share of the rate used in the last second, and Queue the estimate in
	// seconds how long datagrams wait.
	Use, Queue float64

	// Full says that the link delays datagrams too much.
	Full bool

	// Bytes and Datagrams count since the process started, by kind.
	Bytes, Datagrams map[string]uint64
}

// Fetch reads the metrics of the process that serves them at an address, HOST:PORT.
func Fetch(ctx context.Context, client *http.Client, address string) (*Sample, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/metrics", nil)
	if err != nil {
		return nil, errors.Wrapf(err, "%s", address)
	}
	response, err := client.Do(request)
	if err != nil {
		return nil, errors.WithMessagef(err, "%s does not answer", address)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return nil, errors.Errorf("%s answered %s", address, response.Status)
	}
	sample, err := parse(io.LimitReader(response.Body, maxResponse))
	return sample, errors.WithMessage(err, address)
}

func parse(text io.Reader) (*Sample, error) {
	parser := expfmt.NewTextParser(model.UTF8Validation)
	families, err := parser.TextToMetricFamilies(text)
	if err != nil {
		return nil, errors.Wrap(err, "read metrics")
	}
	if families[prefix+"config_revision"] == nil {
		return nil, ErrForeign
	}
	s := &Sample{
		Directions: map[string]Direction{},
		Verdicts:   countsBy(families[prefix+"datagrams_total"], "verdict"),
		Dropped:    countsBy(families[prefix+"dropped_datagrams_total"], "reason"),
	}
	for _, m := range families[prefix+"link_rate_bytes"].GetMetric() {
		s.Rate = m.GetGauge().GetValue()
	}
	for _, m := range families[prefix+"link_use"].GetMetric() {
		name := label(m, "direction")
		of := func(family string) []*dto.Metric {
			return withDirection(families[prefix+family].GetMetric(), name)
		}
		d := Direction{Use: m.GetGauge().GetValue(), Bytes: map[string]uint64{}, Datagrams: map[string]uint64{}}
		for _, m := range of("link_queue_seconds") {
			d.Queue = m.GetGauge().GetValue()
		}
		for _, m := range of("link_full") {
			d.Full = m.GetGauge().GetValue() > 0
		}
		for _, m := range of("link_bytes_total") {
			d.Bytes[label(m, "kind")] = uint64(m.GetCounter().GetValue())
		}
		for _, m := range of("link_datagrams_total") {
			d.Datagrams[label(m, "kind")] = uint64(m.GetCounter().GetValue())
		}
		s.Directions[name] = d
	}
	return s, nil
}

func countsBy(family *dto.MetricFamily, name string) map[string]uint64 {
	counts := map[string]uint64{}
	for _, m := range family.GetMetric() {
		counts[label(m, name)] = uint64(m.GetCounter().GetValue())
	}
	return counts
}

func withDirection(metrics []*dto.Metric, direction string) []*dto.Metric {
	var found []*dto.Metric
	for _, m := range metrics {
		if label(m, "direction") == direction {
			found = append(found, m)
		}
	}
	return found
}

func label(m *dto.Metric, name string) string {
	for _, pair := range m.GetLabel() {
		if pair.GetName() == name {
			return pair.GetValue()
		}
	}
	return ""
}
