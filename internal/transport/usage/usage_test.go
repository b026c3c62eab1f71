package usage

import (
	"bytes"
	"log/slog"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/coriandershift/coriandershift/internal/protocol/fwdmsg"
	"github.com/coriandershift/coriandershift/internal/state/link"
	"github.com/coriandershift/coriandershift/internal/transport/metric"
)

// seriesOf returns the lines of the metrics that are about the link, by series.
func seriesOf(metrics *metric.Set) map[string]string {
	recorder := httptest.NewRecorder()
	metrics.Handler().ServeHTTP(recorder, httptest.NewRequest("GET", "/metrics", nil))
	series := map[string]string{}
	for line := range strings.Lines(recorder.Body.String()) {
		name, value, _ := strings.Cut(strings.TrimSpace(line), " ")
		if strings.HasPrefix(name, "coriandershift_link_") {
			series[name] = value
		}
	}
	return series
}

func TestWithoutARateNothingIsMeasured(t *testing.T) {
	metrics := metric.New()
	m := New(0, slog.New(slog.DiscardHandler), metrics)
	if m != nil {
		t.Fatal("got a Monitor")
	}
	m.Count(time.Now(), link.In, link.Data, 100)
	m.CountMembership(true, 100)
	m.ObserveRoundTrip(time.Now(), time.Millisecond)
	m.Run(t.Context()) // returns at once
	if diff := cmp.Diff(map[string]string{}, seriesOf(metrics)); diff != "" {
		t.Error(diff)
	}
}

func TestTheLinkIsExported(t *testing.T) {
	metrics := metric.New()
	m := New(1000, slog.New(slog.DiscardHandler), metrics)
	now := time.Now()
	m.Count(now, link.In, link.Opening, 72)
	m.Count(now, link.In, link.Opening, 72)
	m.Count(now, link.Out, link.Query, 10_000) // a queue of 2 s
	m.CountMembership(false, 22)
	got := seriesOf(metrics)
	want := map[string]string{
		`coriandershift_link_rate_bytes`:                                        "1000",
		`coriandershift_link_use{direction="in"}`:                               "0.25",
		`coriandershift_link_use{direction="out"}`:                              "10.028",
		`coriandershift_link_full{direction="in"}`:                              "0",
		`coriandershift_link_full{direction="out"}`:                             "0",
		`coriandershift_link_queue_seconds{direction="in"}`:                     "0",
		`coriandershift_link_bytes_total{direction="in",kind="opening"}`:        "200",
		`coriandershift_link_bytes_total{direction="in",kind="membership"}`:     "50",
		`coriandershift_link_bytes_total{direction="out",kind="query"}`:         "10028",
		`coriandershift_link_datagrams_total{direction="in",kind="opening"}`:    "2",
		`coriandershift_link_datagrams_total{direction="in",kind="membership"}`: "1",
		`coriandershift_link_datagrams_total{direction="out",kind="query"}`:     "1",
	}
	queue := got[`coriandershift_link_queue_seconds{direction="out"}`]
	if !strings.HasPrefix(queue, "1.9") && queue != "2" { // it drains meanwhile
		t.Errorf("queue of %s s", queue)
	}
	delete(got, `coriandershift_link_queue_seconds{direction="out"}`)
	for name, value := range got {
		if strings.Contains(name, "_total") && value == "0" {
			delete(got, name)
		}
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
}

func TestALineIsLoggedWhenTheLinkBecomesFullAndWhenItIsFreeAgain(t *testing.T) {
	var out bytes.Buffer
	withoutTime := func(_ []string, a slog.Attr) slog.Attr {
		if a.Key == slog.TimeKey {
			return slog.Attr{}
		}
		return a
	}
	m := New(100_000, slog.New(slog.NewTextHandler(&out, &slog.HandlerOptions{ReplaceAttr: withoutTime})), metric.New())
	now := time.Now()
	m.Count(now, link.Out, link.Data, 9972)
	m.Count(now, link.Out, link.Query, 4972)
	for range 30 {
		m.update(now)
		now = now.Add(updateInterval)
	}
	want := []string{
		`level=WARN msg="link full" direction=out use=15% queue=150ms openingBytes=0 dataBytes=10000 queryBytes=5000 replyBytes=0 noticeBytes=0 membershipBytes=0`,
		`level=INFO msg="link free" direction=out use=0% queue=0s openingBytes=0 dataBytes=0 queryBytes=0 replyBytes=0 noticeBytes=0 membershipBytes=0`,
	}
	if diff := cmp.Diff(want, strings.Split(strings.TrimSpace(out.String()), "\n")); diff != "" {
		t.Error(diff)
	}
}

func TestMessagesAreCountedByKind(t *testing.T) {
	tests := map[string]struct {
		message fwdmsg.Kind
		packet  link.Kind
		want    link.Kind
	}{
		"opening packet":  {fwdmsg.CallerPacket, link.Opening, link.Opening},
		"data packet":     {fwdmsg.CallerPacket, link.Data, link.Data},
		"returned packet": {fwdmsg.ReturnedPacket, link.Data, link.Data},
		"query":           {fwdmsg.Query, link.Opening, link.Query},
		"reply":           {fwdmsg.QueryReply, link.Data, link.Reply},
		"notice":          {fwdmsg.Notice, link.Data, link.Notice},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			if got := MessageKind(test.message, test.packet); got != test.want {
				t.Errorf("got %s, want %s", got, test.want)
			}
		})
	}
}

func BenchmarkCount(b *testing.B) {
	m := New(1_250_000, slog.New(slog.DiscardHandler), metric.New())
	now := time.Now()
	for b.Loop() {
		now = now.Add(100 * time.Microsecond)
		m.Count(now, link.Out, link.Data, 1200)
	}
}
