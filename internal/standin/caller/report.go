package caller

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/coriandershift/coriandershift/internal/standin/origin"
)

// KindStats is what became of one kind of request.
type KindStats struct {
	Requests int
	Complete int

	// Durations is how long each whole one took.
	Durations []time.Duration
}

const mostLost = 20 // broken requests listed one by one

// Report is what the users and the upstreams saw, taken together.
type Report struct {
	Requests  int
	Complete  int
	Refused   int
	Broken    int
	Misrouted int

	// InEvacuatedDomain is the number of requests that ended in a failure domain taken out; not among Broken.
	InEvacuatedDomain int

	// RepeatedKeys is the number of idempotency keys that ran more than once.
	RepeatedKeys int

	// Overloads is the number of requests that an upstream got above what it bears.
	Overloads int

	// Imbalance is the largest ratio, over the services, of the most answers of one upstream to the mean.
	Imbalance float64

	// Kinds counts what became of each kind of request.
	Kinds map[string]*KindStats

	// BrokenRequests are the broken requests.
	BrokenRequests []Result

	// FailureCounts counts the kinds of failures.
	FailureCounts map[string]int
}

// NewReport returns the report. Broken requests of the failure domains named are counted as given up.
func NewReport(results []Result, stats []origin.Stats, out []string) Report {
	r := Report{Requests: len(results), FailureCounts: map[string]int{}, Kinds: map[string]*KindStats{}, Imbalance: imbalance(results, stats)}

	seenIn := map[string]string{}
	for _, s := range stats {
		r.Misrouted += s.Misrouted
		r.Overloads += s.Overloads
		for _, id := range s.RequestIDs {
			seenIn[id] = s.Domain
		}
		for _, runs := range s.RunsPerKey {
			if runs > 1 {
				r.RepeatedKeys++
			}
		}
	}
	r.RepeatedKeys += runElsewhere(stats)

	for _, result := range results {
		r.count(result, seenIn[result.ID], out)
	}
	return r
}

// OK reports whether nothing went wrong that may not.
func (r *Report) OK() bool {
	return r.Broken == 0 && r.Misrouted == 0 && r.RepeatedKeys == 0 && r.Complete > 0
}

// String returns the report as one line.
func (r *Report) String() string {
	return fmt.Sprintf("requests=%d whole=%d refused=%d broken=%d misrouted=%d repeated=%d imbalance=%.2f givenup=%d overloads=%d",
		r.Requests, r.Complete, r.Refused, r.Broken, r.Misrouted, r.RepeatedKeys, r.Imbalance, r.InEvacuatedDomain, r.Overloads)
}

// Failures returns a line for each kind of failure.
func (r *Report) Failures() []string {
	var lines []string
	for detail, count := range r.FailureCounts {
		lines = append(lines, fmt.Sprintf("%6d %s", count, detail))
	}
	slices.Sort(lines)
	for _, l := range r.BrokenRequests[:min(len(r.BrokenRequests), mostLost)] {
		lines = append(lines, fmt.Sprintf("broken id=%s began=%.1fs took=%.1fs domain=%q: %s",
			l.ID, l.Start.Seconds(), l.Duration.Seconds(), l.Domain, l.Detail))
	}
	return lines
}

// ByKind returns a line for each kind of request, with the rate of whole ones and their times.
func (r *Report) ByKind(over time.Duration) []string {
	var lines []string
	for _, name := range slices.Sorted(maps.Keys(r.Kinds)) {
		k := r.Kinds[name]
		slices.Sort(k.Durations)
		lines = append(lines, fmt.Sprintf("%s requests=%d whole=%d whole/s=%.0f p50=%s p99=%s",
			name, k.Requests, k.Complete, float64(k.Complete)/over.Seconds(), k.quantile(0.5), k.quantile(0.99)))
	}
	return lines
}

// Timeline returns the requests that ended in each second, feeds left out, as whole/refused/other.
func Timeline(results []Result) string {
	var whole, refused, other []int
	for _, result := range results {
		if result.Kind == "feed" {
			continue
		}
		second := int((result.Start + result.Duration).Seconds())
		for len(whole) <= second {
			whole, refused, other = append(whole, 0), append(refused, 0), append(other, 0)
		}
		switch result.Outcome {
		case Complete:
			whole[second]++
		case Refused:
			refused[second]++
		default:
			other[second]++
		}
	}

	var text strings.Builder
	for i := range whole {
		fmt.Fprintf(&text, " %d/%d/%d", whole[i], refused[i], other[i])
	}
	return text.String()
}

func (k *KindStats) quantile(q float64) time.Duration {
	if len(k.Durations) == 0 {
		return 0
	}
	return k.Durations[int(q*float64(len(k.Durations)-1))].Round(time.Millisecond)
}

func (r *Report) count(result Result, seenIn string, out []string) {
	kind := r.Kinds[result.Kind]
	if kind == nil {
		kind = &KindStats{}
		r.Kinds[result.Kind] = kind
	}
	kind.Requests++
	if result.Outcome == Complete {
		kind.Complete++
		kind.Durations = append(kind.Durations, result.Duration)
	}

	switch result.Outcome {
	case Complete:
		r.Complete++
		return
	case Refused:
		r.Refused++
	case Misrouted:
		r.Misrouted++
	case Broken:
		if slices.Contains(out, result.Domain) || slices.Contains(out, seenIn) {
			r.InEvacuatedDomain++
		} else {
			r.Broken++
			r.BrokenRequests = append(r.BrokenRequests, result)
		}
	}
	detail, _, _ := strings.Cut(result.Detail, "\n")
	r.FailureCounts[string(result.Outcome)+": "+detail]++
}

// runElsewhere counts the keys that ran at more than one upstream.
func runElsewhere(stats []origin.Stats) int {
	places := map[string]int{}
	for _, s := range stats {
		for key := range s.RunsPerKey {
			places[key]++
		}
	}

	repeated := 0
	for _, count := range places {
		if count > 1 {
			repeated++
		}
	}
	return repeated
}

// imbalance is the largest ratio, over the services, of the most answers of one
// upstream to the mean of all that are asked for what they saw.
func imbalance(results []Result, stats []origin.Stats) float64 {
	answers := map[string]int{}
	for _, r := range results {
		answers[r.Upstream]++
	}

	most, sum, count := map[string]int{}, map[string]int{}, map[string]int{}
	for _, s := range stats {
		most[s.Service] = max(most[s.Service], answers[s.Name])
		sum[s.Service] += answers[s.Name]
		count[s.Service]++
	}

	worst := 0.0
	for service := range most {
		if sum[service] > 0 {
			worst = max(worst, float64(most[service]*count[service])/float64(sum[service]))
		}
	}
	return worst
}
