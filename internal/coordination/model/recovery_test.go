package model_test

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"
)

const (
	// settleTime is the time after the last disturbance from which callers must be served
	// as in the calm before, and settledDuration how long this is measured.
	settleTime      = 5 * time.Second
	settledDuration = 3 * time.Second
)

// recoverySeeds are the seeds of every day and those that once failed: 22.
var recoverySeeds = []uint64{1, 2, 3, 4, 5, 6, 7, 8, 22}

// randomTriggers returns one to three disturbances, of up to two seconds each, that begin
// within a second after calmEnd, and when the last one ends.
func randomTriggers(random *rand.Rand) ([]trigger, time.Duration) {
	var triggers []trigger
	end := calmEnd
	kinds := random.Perm(7)
	for _, kind := range kinds[:1+random.IntN(3)] {
		at := calmEnd + time.Duration(random.Int64N(int64(time.Second)))
		duration := 300*time.Millisecond + time.Duration(random.Int64N(int64(1700*time.Millisecond)))
		balancer := random.IntN(6)
		triggers = append(triggers, []trigger{
			burstOf(upload, 0.5+2*random.Float64(), at, duration),
			burstOf(booking, 0.1*random.Float64(), at, duration),
			moveFlows(balancer, at, duration),
			restart(balancer, at, duration/4),
			cutAgents(at, duration, inDomain(string('a'+rune(random.IntN(3))))),
			lose(0.05*random.Float64(), at, duration),
			slowLink(balancer, 2+random.IntN(3), at, duration),
		}[kind])
		end = max(end, at+duration)
	}
	return triggers, end
}

// TestCallersAreServedAsBeforeAfterAnyDisturbance has random disturbances, alone and
// together, begin in a calm.
func TestCallersAreServedAsBeforeAfterAnyDisturbance(t *testing.T) {
	for _, seed := range recoverySeeds {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Parallel()
			triggers, end := randomTriggers(rand.New(rand.NewPCG(seed, 3)))
			until := end + settleTime + settledDuration
			ns := newNarrowSim(smallDeployment(seed, until+upload.Timeout.Duration(), triggers...))
			ns.run()

			var names []string
			for i := range triggers {
				names = append(names, triggers[i].name)
			}
			description := strings.Join(names, ", ")
			before, after := ns.count(calmStart, calmEnd), ns.count(end+settleTime, until)
			t.Logf("seed %d, %s: before %v; after %v", seed, description, before, after)
			if after.inTimeShare() < servedAsBefore*before.inTimeShare() {
				t.Errorf("seed %d, %s: in time %.4f from %v after the end, want %.2f of %.4f",
					seed, description, after.inTimeShare(), settleTime, servedAsBefore, before.inTimeShare())
			}
			checkOwnMessages(t, ns)
		})
	}
}
