package link

import "time"

const (
	// recentSteps and baseSteps are the numbers of steps whose shortest round trips are
	// compared: half a second, and ten seconds.
	recentSteps = int64(500 * time.Millisecond / stepLength)
	baseSteps   = int64(10 * time.Second / stepLength)
)

// roundTrips is a ring of the shortest round trips of the latest steps.
type roundTrips struct {
	shortest [baseSteps]time.Duration // 0 for none
	last     int64                    // number of the latest step
}

func (r *roundTrips) advance(step int64) {
	for i := max(r.last+1, step-baseSteps+1); i <= step; i++ {
		r.shortest[i%baseSteps] = 0
	}
	r.last = step
}

func (r *roundTrips) observe(step int64, d time.Duration) {
	d = max(d, 1)
	if shortest := &r.shortest[step%baseSteps]; *shortest == 0 || d < *shortest {
		*shortest = d
	}
}

// excess returns by how much the shortest recent round trip exceeds the shortest one; 0
// if there was none recently.
func (r *roundTrips) excess(step int64) time.Duration {
	recent := r.shortestOf(step, recentSteps)
	if recent == 0 {
		return 0
	}
	return min(recent-r.shortestOf(step, baseSteps), maxQueue)
}

func (r *roundTrips) shortestOf(step, count int64) time.Duration {
	var shortest time.Duration
	for i := max(0, step-count+1); i <= step; i++ {
		if d := r.shortest[i%baseSteps]; d > 0 && (shortest == 0 || d < shortest) {
			shortest = d
		}
	}
	return shortest
}
