package main

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"github.com/coriandershift/coriandershift/internal/transport/metric"
)

const testInterval = 10 * time.Millisecond

// serveMetrics serves the metrics of a process and returns the address. Before each
// reading, change is called with the number of earlier ones.
func serveMetrics(t *testing.T, metrics *metric.Set, change func(reading int)) string {
	t.Helper()
	reading := 0
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/metrics" {
			http.NotFound(w, r)
			return
		}
		change(reading)
		reading++
		metrics.Handler().ServeHTTP(w, r)
	}))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// serveBalancer serves a balancer that gets 1,000 bytes of opening packets before the
// first reading and 500 before the second.
func serveBalancer(t *testing.T) string {
	metrics := metric.New()
	var opening uint64
	metrics.AddLink(func() metric.LinkSample {
		return metric.LinkSample{Rate: 1_250_000, Directions: []metric.LinkDirection{
			{Name: "in", Use: 0.97, Queue: 150 * time.Millisecond, Full: true, Kinds: []metric.LinkKind{{Name: "opening", Bytes: opening}}},
			{Name: "out", Use: 0.1, Kinds: []metric.LinkKind{{Name: "query", Bytes: 70}}},
		}}
	})
	return serveMetrics(t, metrics, func(reading int) {
		opening += 1000 >> reading
		metrics.Datagrams.WithLabelValues("placed").Add(10)
		metrics.DroppedDatagrams.WithLabelValues("noUpstream").Inc()
	})
}

func serveWithoutRate(t *testing.T) string {
	return serveMetrics(t, metric.New(), func(int) {})
}

func TestTheLinkOfEachVMIsShown(t *testing.T) {
	balancer, agent := serveBalancer(t), serveWithoutRate(t)
	var out bytes.Buffer
	if err := showLinks(t.Context(), &out, []string{balancer, agent}, testInterval, true); err != nil {
		t.Fatal(err)
	}
	var got []vmLink
	if err := json.Unmarshal(out.Bytes(), &got); err != nil {
		t.Fatal(err)
	}
	if rate := got[0].Directions["in"].BytesPerSecond["opening"]; rate <= 0 || rate > 500/testInterval.Seconds() {
		t.Errorf("%v bytes of opening packets a second", rate)
	}
	want := []vmLink{
		{
			Address: balancer, Rate: 1_250_000,
			Directions: map[string]linkDirection{
				"in":  {Use: 0.97, QueueSeconds: 0.15, Full: true, Bytes: map[string]uint64{"opening": 1500}},
				"out": {Use: 0.1, Bytes: map[string]uint64{"query": 70}},
			},
			Dropped: map[string]count{"noUpstream": {Total: 2, New: 1}},
			Decided: map[string]count{"placed": {Total: 20, New: 10}},
		},
		{Address: agent},
	}
	if diff := cmp.Diff(want, got, cmpopts.IgnoreFields(linkDirection{}, "BytesPerSecond")); diff != "" {
		t.Error(diff)
	}
}

func TestTheTableIsAlignedAndNamesReasons(t *testing.T) {
	links := []vmLink{
		{
			Address: "10.0.0.1:9464", Rate: 1_250_000,
			Directions: map[string]linkDirection{
				"in":  {Use: 0.97, QueueSeconds: 0.15, Full: true, BytesPerSecond: map[string]float64{"opening": 912_345}},
				"out": {Use: 0.1, BytesPerSecond: map[string]float64{"query": 70}},
			},
			Dropped: map[string]count{"noUpstream": {Total: 2, New: 1}},
			Decided: map[string]count{"placed": {Total: 20, New: 10}, "lookup": {Total: 3}},
		},
		{Address: "10.0.0.22:9464", Dropped: map[string]count{"malformed": {Total: 1}}},
		{Address: "10.0.0.3:9464", Error: "10.0.0.3:9464 does not answer: timeout"},
	}
	var out bytes.Buffer
	if err := printLinks(&out, links, false); err != nil {
		t.Fatal(err)
	}
	want := `VM              LINK  USE  QUEUE  FULL  OPENING KB/S  DATA KB/S  QUERY KB/S  REPLY KB/S  NOTICE KB/S  MEMBERSHIP KB/S
10.0.0.1:9464   in    97%  150ms  yes   912.3         0.0        0.0         0.0         0.0          0.0
10.0.0.1:9464   out   10%  0s     no    0.0           0.0        0.1         0.0         0.0          0.0
10.0.0.22:9464  rate not known
10.0.0.3:9464   no answer

VM              DATAGRAMS  REASON      TOTAL  NEW
10.0.0.1:9464   dropped    noUpstream  2      1
10.0.0.1:9464   decided    lookup      3      0
10.0.0.1:9464   decided    placed      20     10
10.0.0.22:9464  dropped    malformed   1      0
`
	if diff := cmp.Diff(want, out.String()); diff != "" {
		t.Error(diff)
	}
}

func TestVMsThatDoNotAnswerAreNamedAndTheOthersShown(t *testing.T) {
	gone := httptest.NewServer(http.NotFoundHandler())
	goneAddress := strings.TrimPrefix(gone.URL, "http://")
	gone.Close()
	other := httptest.NewServer(http.NotFoundHandler())
	t.Cleanup(other.Close)
	foreign := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte("other_metric 1\n"))
	}))
	t.Cleanup(foreign.Close)
	balancer := serveBalancer(t)

	tests := map[string]struct {
		address string
		want    string
	}{
		"nothing listens":   {goneAddress, goneAddress + " does not answer"},
		"no metrics":        {strings.TrimPrefix(other.URL, "http://"), "answered 404 Not Found"},
		"another program":   {strings.TrimPrefix(foreign.URL, "http://"), "no metrics of coriandershift"},
		"malformed address": {"10.0.0.1:port", "10.0.0.1:port"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			for _, asJSON := range []bool{false, true} {
				var out bytes.Buffer
				err := showLinks(t.Context(), &out, []string{test.address, balancer}, testInterval, asJSON)
				if err == nil || !strings.Contains(err.Error(), test.want) {
					t.Errorf("JSON %v: got %v, want %q", asJSON, err, test.want)
				}
				if !strings.Contains(out.String(), balancer) || !strings.Contains(out.String(), "noUpstream") {
					t.Errorf("JSON %v: the other VM is missing in %s", asJSON, &out)
				}
			}
		})
	}
}
