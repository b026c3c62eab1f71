package owner_test

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/coriandershift/coriandershift/internal/coordination/owner"
	"github.com/coriandershift/coriandershift/internal/state/config"
	"github.com/coriandershift/coriandershift/internal/state/flow"
)

// fairSim plays requests of many callers to one upstream in virtual time. Callers do not
// repeat requests that were refused.
type fairSim struct {
	owner    *owner.Owner
	random   *rand.Rand // of service times
	now      time.Time
	due      timers
	sequence uint64
	port     uint16
	begun    map[flow.Key]time.Time

	busy    int
	waiting []flow.Key // at the upstream, in order

	inTime map[[4]byte]int // requests of each caller that were answered in time
}

const (
	fairSlots     = 4
	fairWork      = 50 * time.Millisecond
	fairObjective = 400 * time.Millisecond
	fairDuration  = 30 * time.Second
	fairWay       = 3 * time.Millisecond // between a caller and the agent
)

var greedy = [4]byte{100, 64, 1, 1}

// runCallers offers the requests of others callers and of a greedy one, each as a part of
// the capacity.
func runCallers(seed uint64, others int, load, greedyLoad float64) *fairSim {
	s := &fairSim{
		owner:  owner.New(owner.Settings{Self: self, Domain: "a", Service: "svc"}, start.Add(-time.Minute)),
		random: rand.New(rand.NewPCG(seed, 1)), now: start, begun: map[flow.Key]time.Time{}, inTime: map[[4]byte]int{},
	}
	s.owner.Configure(start, newConfig(1, func(c *config.Config) {
		c.Routes[0].Objective = config.Milliseconds(fairObjective.Milliseconds())
	}))
	capacity := fairSlots / fairWork.Seconds()
	s.after(0, s.tick)
	random := rand.New(rand.NewPCG(seed, 2))
	s.arrive(random, load*capacity, func() [4]byte { return [4]byte{100, 64, 0, byte(random.IntN(others))} })
	s.arrive(rand.New(rand.NewPCG(seed, 3)), greedyLoad*capacity, func() [4]byte { return greedy })
	for len(s.due) > 0 {
		next := heap.Pop(&s.due).(timer)
		s.now = next.at
		next.run()
	}
	return s
}

func (s *fairSim) after(d time.Duration, run func()) {
	heap.Push(&s.due, timer{s.now.Add(d), run})
}

func (s *fairSim) tick() {
	s.sequence++
	s.owner.HandleAnnouncement(s.now, announcement(func(a *flow.Announcement) { a.Slots, a.Sequence = fairSlots, s.sequence }))
	s.run(s.owner.Tick(s.now))
	if s.now.Sub(start) < fairDuration+time.Second {
		s.after(20*time.Millisecond, s.tick)
	}
}

// arrive schedules the requests of a group of callers.
func (s *fairSim) arrive(random *rand.Rand, perSecond float64, caller func() [4]byte) {
	if perSecond == 0 || s.now.Sub(start) > fairDuration {
		return
	}
	s.after(time.Duration(random.ExpFloat64()/perSecond*float64(time.Second)), func() {
		s.port++
		p := opening(s.port)
		p.Source.IP = caller()
		s.begun[p.KeyFromCaller()] = s.now
		s.run(s.owner.HandleBalancerPacket(s.now, envelope(), p))
		s.arrive(random, perSecond, caller)
	})
}

// run carries out an agent's actions that open flows.
func (s *fairSim) run(actions []owner.Action) {
	for _, a := range slices.Clone(actions) {
		if a.Reason != owner.Opened {
			continue
		}
		answer := openingAnswer(a.Key.Caller.Port)
		answer.Destination = a.Key.Caller
		s.run(s.owner.HandleUpstreamPacket(s.now, answer))
		s.after(2*fairWay, func() {
			p := requestData(a.Key.Caller.Port)
			p.Source = a.Key.Caller
			s.run(s.owner.HandleBalancerPacket(s.now, envelope(), p))
			s.waiting = append(s.waiting, a.Key)
			s.serve()
		})
	}
}

// serve runs what waits at the upstream in its free slots.
func (s *fairSim) serve() {
	for s.busy < fairSlots && len(s.waiting) > 0 {
		key := s.waiting[0]
		s.waiting = s.waiting[1:]
		s.busy++
		s.after(time.Duration(math.Exp(s.random.NormFloat64()*0.5-0.125)*float64(fairWork)), func() {
			s.busy--
			if s.now.Sub(s.begun[key]) <= fairObjective {
				s.inTime[key.Caller.IP]++
			}
			answer := responseData(key.Caller.Port)
			answer.Destination = key.Caller
			s.run(s.owner.HandleUpstreamPacket(s.now, answer))
			s.serve()
		})
	}
}

// servedOthers returns how many requests of the other callers were answered in time.
func (s *fairSim) servedOthers() int {
	sum := 0
	for caller, n := range s.inTime {
		if caller != greedy {
			sum += n
		}
	}
	return sum
}

// A caller that sent two fifths of all requests took two fifths of the upstream, and the
// others were refused in the same measure.
func TestAGreedyCallerTakesItsShareOnly(t *testing.T) {
	const (
		others = 99
		seeds  = 5
	)
	capacity := seeds * fairSlots / fairWork.Seconds() * fairDuration.Seconds()
	fairShare := capacity / (others + 1)
	tests := map[string]struct {
		load, greedyLoad float64
		minGreedy        float64 // of its fair share that the greedy caller is to get in time
	}{
		"the others leave room":        {load: 0.8, greedyLoad: 0.7, minGreedy: 5},
		"the others need all there is": {load: 1, greedyLoad: 0.5, minGreedy: 0.8},
		"the others need more":         {load: 1.3, greedyLoad: 0.2, minGreedy: 0.8},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var with, without, ofGreedy int
			for seed := range uint64(seeds) {
				s := runCallers(seed, others, test.load, test.greedyLoad)
				with += s.servedOthers()
				ofGreedy += s.inTime[greedy]
				without += runCallers(seed, others, test.load, 0).servedOthers()
			}
			t.Logf("in time: others %d, without the greedy caller %d; greedy %d; capacity %.0f, fair share %.0f", with, without, ofGreedy, capacity, fairShare)
			if float64(with) < float64(without)-fairShare {
				t.Errorf("%d requests of the others were answered in time, without the greedy caller %d", with, without)
			}
			if float64(ofGreedy) < test.minGreedy*fairShare {
				t.Errorf("%d requests of the greedy caller were answered in time, want %.0f", ofGreedy, test.minGreedy*fairShare)
			}
		})
	}
}
