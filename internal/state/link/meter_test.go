package link_test

import (
	"math"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/coriandershift/coriandershift/internal/state/link"
)

const (
	rate     = 1_250_000 // bytes per second
	interval = 10 * time.Millisecond
	payload  = 1222 // bytes, 1,250 with headers
)

var start = time.Unix(1_800_000_000, 0)

// phase is a time in which the load stays the same.
type phase struct {
	length    time.Duration
	in, out   float64       // shares of the rate
	roundTrip time.Duration // 0 for none
}

// play passes the datagrams and round trips of phases to a meter, calls check after each
// interval, and returns the end.
func play(m *link.Meter, phases []phase, check func(now time.Time)) time.Time {
	now := start
	var in, out float64 // datagrams due
	for _, p := range phases {
		for end := now.Add(p.length); now.Before(end); {
			now = now.Add(interval)
			perInterval := rate * interval.Seconds() / (payload + 28)
			for in += p.in * perInterval; in >= 1; in-- {
				m.Count(now, link.In, link.Data, payload)
			}
			for out += p.out * perInterval; out >= 1; out-- {
				m.Count(now, link.Out, link.Data, payload)
			}
			if p.roundTrip > 0 {
				m.ObserveRoundTrip(now, p.roundTrip)
			}
			check(now)
		}
	}
	return now
}

func TestUseAndQueueFollowTheLoad(t *testing.T) {
	ms := time.Millisecond
	calm := phase{length: 2 * time.Second, in: 0.1, out: 0.1, roundTrip: 4 * ms}
	tests := map[string]struct {
		phases            []phase
		useIn, useOut     float64
		queueIn, queueOut time.Duration
	}{
		"idle": {phases: []phase{{length: 3 * time.Second}}},
		"half of the rate in both directions": {
			phases: []phase{{length: 2 * time.Second, in: 0.5, out: 0.5, roundTrip: 4 * ms}},
			useIn:  0.5, useOut: 0.5,
		},
		"filled out for a second": {
			phases: []phase{calm, {length: time.Second, in: 0.1, out: 1.5, roundTrip: 4 * ms}},
			useIn:  0.1, useOut: 1.5, queueOut: 500 * ms,
		},
		"filled out for a second, drained for a quarter": {
			phases: []phase{calm, {length: time.Second, out: 1.5}, {length: 250 * ms}},
			useOut: 1.125, queueOut: 250 * ms,
		},
		"filled out for a second and drained": {
			phases: []phase{calm, {length: time.Second, out: 1.5}, {length: 1200 * ms}},
		},
		"far too much out": {
			phases: []phase{{length: 3 * time.Second, out: 3}},
			useOut: 3, queueOut: 2 * time.Second,
		},
		"filled in for a second": {
			phases: []phase{calm, {length: time.Second, in: 1, out: 0.1, roundTrip: 304 * ms}},
			useIn:  1, useOut: 0.1, queueIn: 300 * ms,
		},
		"filled in, then drained": {
			phases: []phase{calm, {length: time.Second, in: 1, roundTrip: 304 * ms}, {length: 600 * ms, in: 0.1, roundTrip: 4 * ms}},
			useIn:  0.46,
		},
		"filled in, without round trips": {
			phases: []phase{calm, {length: time.Second, in: 1}},
			useIn:  1,
		},
		"filled in for longer than the shortest round trip is remembered": {
			phases: []phase{calm, {length: 11 * time.Second, in: 1, roundTrip: 304 * ms}},
			useIn:  1,
		},
		"round trips longer by a queue out": {
			phases: []phase{
				calm, {length: time.Second, in: 0.1, out: 1.4}, {length: 500 * ms, in: 0.1, out: 1, roundTrip: 404 * ms},
			},
			useIn: 0.1, useOut: 1.2, queueOut: 400 * ms,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			m := link.New(rate, start)
			end := play(m, test.phases, func(time.Time) {})
			for d, want := range map[link.Direction]float64{link.In: test.useIn, link.Out: test.useOut} {
				if got := m.Use(end, d); math.Abs(got-want) > 0.01+0.015*want {
					t.Errorf("use %v: got %.3f, want %.3f", d, got, want)
				}
			}
			for d, want := range map[link.Direction]time.Duration{link.In: test.queueIn, link.Out: test.queueOut} {
				if got := m.Queue(end, d); (got - want).Abs() > 12*ms {
					t.Errorf("queue %v: got %s, want %s", d, got, want)
				}
			}
		})
	}
}

func TestALinkBecomesFullAndFreeWithHysteresis(t *testing.T) {
	ms := time.Millisecond
	calm := phase{length: 2 * time.Second, in: 0.1, out: 0.1, roundTrip: 4 * ms}
	type change struct {
		Direction string
		Full      bool
		At        time.Duration // since the start, rounded to 100 ms
	}
	tests := map[string]struct {
		phases []phase
		want   []change
	}{
		"busy but not full": {phases: []phase{calm, {length: 5 * time.Second, in: 0.9, out: 0.9, roundTrip: 30 * ms}}},
		"full out, then calm": {
			phases: []phase{calm, {length: time.Second, in: 0.1, out: 1.5}, {length: 3 * time.Second, in: 0.1, out: 0.1}},
			// The queue of half a second has drained to 50 ms after another half second.
			want: []change{{"out", true, 2200 * ms}, {"out", false, 4500 * ms}},
		},
		"full in, seen by round trips": {
			phases: []phase{
				{length: 2 * time.Second, in: 0.72, roundTrip: 4 * ms}, {length: time.Second, in: 0.74, roundTrip: 154 * ms},
				{length: 3 * time.Second, in: 0.1, roundTrip: 4 * ms},
			},
			want: []change{{"in", true, 2500 * ms}, {"in", false, 4000 * ms}},
		},
		"slow agents": {phases: []phase{calm, {length: 5 * time.Second, in: 0.3, out: 0.3, roundTrip: 300 * ms}}},
		"full in, without round trips": {
			phases: []phase{calm, {length: 2 * time.Second, in: 1}, {length: 3 * time.Second, in: 0.1}},
			want:   []change{{"in", true, 3000 * ms}, {"in", false, 5200 * ms}},
		},
		"full with a short pause": {
			phases: []phase{
				calm, {length: 2 * time.Second, in: 1}, {length: 300 * ms, in: 0.1}, {length: 2 * time.Second, in: 1},
				{length: 3 * time.Second, in: 0.1},
			},
			want: []change{{"in", true, 3000 * ms}, {"in", false, 7500 * ms}},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			m := link.New(rate, start)
			var got []change
			play(m, test.phases, func(now time.Time) {
				for _, d := range link.Directions {
					if m.Update(now, d) {
						got = append(got, change{d.String(), m.Full(d), now.Sub(start).Round(100 * ms)})
					}
				}
			})
			if diff := cmp.Diff(test.want, got); diff != "" {
				t.Error(diff)
			}
		})
	}
}

func TestOtherQueueLimitsReplaceTheDefaults(t *testing.T) {
	m := link.New(rate, start, link.WithQueueLimits(20*time.Millisecond, 10*time.Millisecond))
	for range 30 {
		m.Count(start, link.Out, link.Data, payload)
	}
	if !m.Update(start, link.Out) || !m.Full(link.Out) {
		t.Errorf("not full with a queue of %s", m.Queue(start, link.Out))
	}
}

func TestBytesAreCountedByDirectionAndKindWithHeaders(t *testing.T) {
	m := link.New(rate, start)
	m.Count(start, link.In, link.Opening, 100)
	m.Count(start.Add(700*time.Millisecond), link.In, link.Opening, 100)
	m.Count(start.Add(700*time.Millisecond), link.Out, link.Query, 72)
	m.Count(start.Add(600*time.Millisecond), link.Out, link.Query, 72) // read earlier, counted later
	end := start.Add(1200 * time.Millisecond)
	gotSecond := map[string]uint64{}
	gotTotal := map[string]link.Volume{}
	for _, d := range link.Directions {
		for _, k := range link.Kinds {
			if bytes := m.LastSecond(end, d)[k]; bytes > 0 {
				gotSecond[d.String()+" "+k.String()] = bytes
			}
			if volume := m.Total(d)[k]; volume.Bytes > 0 {
				gotTotal[d.String()+" "+k.String()] = volume
			}
		}
	}
	if diff := cmp.Diff(map[string]uint64{"in opening": 128, "out query": 200}, gotSecond); diff != "" {
		t.Error("last second:", diff)
	}
	wantTotal := map[string]link.Volume{"in opening": {Bytes: 256, Datagrams: 2}, "out query": {Bytes: 200, Datagrams: 2}}
	if diff := cmp.Diff(wantTotal, gotTotal); diff != "" {
		t.Error("total:", diff)
	}
}

func TestASecondAfterTheLastDatagramNothingIsInUse(t *testing.T) {
	m := link.New(rate, start)
	m.Count(start, link.In, link.Data, payload)
	for _, idle := range []time.Duration{1100 * time.Millisecond, time.Minute, time.Hour} {
		if got := m.Use(start.Add(idle), link.In); got != 0 {
			t.Errorf("use %v after %s", got, idle)
		}
	}
}

func BenchmarkCount(b *testing.B) {
	m := link.New(rate, start)
	now := start
	for b.Loop() {
		now = now.Add(100 * time.Microsecond)
		m.Count(now, link.Out, link.Data, payload)
	}
}
