package caller

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/coriandershift/coriandershift/internal/standin/origin"
)

// KindStats summarizes the requests of one kind.
type KindStats struct {
	Requests int
	Complete int

	// Durations holds the durations of the complete requests.
	Durations []time.Duration
}

const maxListed = 20 // broken requests that Failures lists one by one

// Report combines the observations of the users and of the upstreams.
type Report struct {
	Requests  int
	Complete  int
	Refused   int
	Broken    int
	Misrouted int

	// InEvacuatedDomain is the number of requests that broke in an evacuated failure domain; Broken excludes them.
	InEvacuatedDomain int

	// RepeatedKeys is the number of idempotency keys that ran more than once.
	RepeatedKeys int

	// Overloads is the number of requests that exceeded an upstream's slots.
	Overloads int

	// Imbalance is the largest ratio, over the services, of the answers of the busiest
	// upstream to the mean per upstream.
	Imbalance float64

	// Kinds holds statistics by kind of request.
	Kinds map[string]*KindStats

	// BrokenRequests holds the requests counted in Broken.
	BrokenRequests []Result

	// FailureCounts counts failed requests by outcome and detail.
	FailureCounts map[string]int
}

// NewReport combines the users' results with the upstreams' statistics. Requests
// that broke in an evacuated failure domain are counted in InEvacuatedDomain only.
func NewReport(results []Result, stats []origin.Stats, evacuated []string) Report {
	r := Report{Requests: len(results), FailureCounts: map[string]int{}, Kinds: map[string]*KindStats{}, Imbalance: imbalance(results, stats)}

	domainOfID := map[string]string{}
	for _, s := range stats {
		r.Misrouted += s.Misrouted
		r.Overloads += s.Overloads
		for _, id := range s.RequestIDs {
			domainOfID[id] = s.Domain
		}
		for _, runs := range s.RunsPerKey {
			if runs > 1 {
				r.RepeatedKeys++
			}
		}
	}
	r.RepeatedKeys += countSharedKeys(stats)

	for _, result := range results {
		r.count(result, domainOfID[result.ID], evacuated)
	}
	return r
}

// OK reports whether no request was broken, misrouted or repeated, and at least one is complete.
func (r *Report) OK() bool {
	return r.Broken == 0 && r.Misrouted == 0 && r.RepeatedKeys == 0 && r.Complete > 0
}

// String returns the report as one line.
func (r *Report) String() string {
	return fmt.Sprintf("requests=%d whole=%d refused=%d broken=%d misrouted=%d repeated=%d imbalance=%.2f givenup=%d overloads=%d",
		r.Requests, r.Complete, r.Refused, r.Broken, r.Misrouted, r.RepeatedKeys, r.Imbalance, r.InEvacuatedDomain, r.Overloads)
}

// Failures returns a line for each kind of failure, then one for each of the first maxListed broken requests.
func (r *Report) Failures() []string {
	var lines []string
	for detail, count := range r.FailureCounts {
		lines = append(lines, fmt.Sprintf("%6d %s", count, detail))
	}
	slices.Sort(lines)
	for _, b := range r.BrokenRequests[:min(len(r.BrokenRequests), maxListed)] {
		lines = append(lines, fmt.Sprintf("broken id=%s began=%.1fs took=%.1fs domain=%q: %s",
			b.ID, b.Start.Seconds(), b.Duration.Seconds(), b.Domain, b.Detail))
	}
	return lines
}

// ByKind returns a line for each kind of request, with the rate per second and the
// durations of the complete ones. The run lasted for elapsed.
func (r *Report) ByKind(elapsed time.Duration) []string {
	var lines []string
	for _, name := range slices.Sorted(maps.Keys(r.Kinds)) {
		k := r.Kinds[name]
		slices.Sort(k.Durations)
		lines = append(lines, fmt.Sprintf("%s requests=%d whole=%d whole/s=%.0f p50=%s p99=%s",
			name, k.Requests, k.Complete, float64(k.Complete)/elapsed.Seconds(), k.quantile(0.5), k.quantile(0.99)))
	}
	return lines
}

// Timeline returns the numbers of requests that ended in each second, without feeds,
// each as " complete/refused/other".
func Timeline(results []Result) string {
	var complete, refused, other []int
	for _, result := range results {
		if result.Kind == "feed" {
			continue
		}
		second := int((result.Start + result.Duration).Seconds())
		for len(complete) <= second {
			complete, refused, other = append(complete, 0), append(refused, 0), append(other, 0)
		}
		switch result.Outcome {
		case Complete:
			complete[second]++
		case Refused:
			refused[second]++
		default:
			other[second]++
		}
	}

	var text strings.Builder
	for i := range complete {
		fmt.Fprintf(&text, " %d/%d/%d", complete[i], refused[i], other[i])
	}
	return text.String()
}

func (k *KindStats) quantile(q float64) time.Duration {
	if len(k.Durations) == 0 {
		return 0
	}
	return k.Durations[int(q*float64(len(k.Durations)-1))].Round(time.Millisecond)
}

func (r *Report) count(result Result, upstreamDomain string, evacuated []string) {
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
		if slices.Contains(evacuated, result.Domain) || slices.Contains(evacuated, upstreamDomain) {
			r.InEvacuatedDomain++
		} else {
			r.Broken++
			r.BrokenRequests = append(r.BrokenRequests, result)
		}
	}
	detail, _, _ := strings.Cut(result.Detail, "\n")
	r.FailureCounts[string(result.Outcome)+": "+detail]++
}

// countSharedKeys returns the number of keys that ran at more than one upstream.
func countSharedKeys(stats []origin.Stats) int {
	upstreams := map[string]int{}
	for _, s := range stats {
		for key := range s.RunsPerKey {
			upstreams[key]++
		}
	}

	repeated := 0
	for _, count := range upstreams {
		if count > 1 {
			repeated++
		}
	}
	return repeated
}

// imbalance computes Report.Imbalance. The mean includes upstreams in stats that
// gave no answer.
func imbalance(results []Result, stats []origin.Stats) float64 {
	answers := map[string]int{}
	for _, r := range results {
		answers[r.Upstream]++
	}

	busiest, sum, count := map[string]int{}, map[string]int{}, map[string]int{}
	for _, s := range stats {
		busiest[s.Service] = max(busiest[s.Service], answers[s.Name])
		sum[s.Service] += answers[s.Name]
		count[s.Service]++
	}

	worst := 0.0
	for service := range busiest {
		if sum[service] > 0 {
			worst = max(worst, float64(busiest[service]*count[service])/float64(sum[service]))
		}
	}
	return worst
}
