package steer

import "time"

const (
	// usageWindow is the period over which the use of the link is measured.
	usageWindow = 250 * time.Millisecond

	// busyShare is the share of the link's rate from which late notices may be due to the
	// link. Membership and other traffic of the VM, which are not measured, may take the rest.
	busyShare = 0.5

	// latenessWindow is the time for which a missed or received notice counts.
	latenessWindow = time.Second

	// minLateAgents is the least number of late agents, and minLateDomains that of failure
	// domains with mostly late ones, from which the link and not the agents counts as slow.
	minLateAgents  = 3
	minLateDomains = 2

	// latenessInterval is the time for which a result of linkSlow is kept.
	latenessInterval = 20 * time.Millisecond
)

// linkUse measures the bytes of flows on the balancer's link.
type linkUse struct {
	windowStart time.Time
	in, out     int // bytes since windowStart
	last        int // bytes of the busier direction in the window before
}

func (u *linkUse) countIn(now time.Time, bytes int) {
	u.advance(now)
	u.in += bytes
}

// advance begins a new window once usageWindow has passed.
func (u *linkUse) advance(now time.Time) {
	elapsed := now.Sub(u.windowStart)
	if elapsed < usageWindow {
		return
	}
	u.last = 0
	if elapsed < 2*usageWindow {
		u.last = max(u.in, u.out)
	}
	u.in, u.out, u.windowStart = 0, 0, now
}

// share returns the use of the busier direction as a share of the link's rate.
func (u *linkUse) share(now time.Time, linkRate int) float64 {
	u.advance(now)
	return float64(max(u.last, u.in, u.out)) / (float64(linkRate) * usageWindow.Seconds())
}

// linkSlow reports whether notices are late because this balancer's link is full. The
// link must be busy, and most agents late. While it is slow, agents are not suspected,
// no copies of opening packets go to other agents, and searches take more time.
func (r *Router) linkSlow(now time.Time) bool {
	if r.linkRate == 0 {
		return false
	}
	if now.Sub(r.latenessCheckedAt) < latenessInterval {
		return r.late
	}
	r.latenessCheckedAt = now
	r.late = r.use.share(now, r.linkRate) >= busyShare && r.mostAgentsLate(now)
	return r.late
}

// mostAgentsLate reports whether the last notice was late from most agents, and from most
// of each of several failure domains: if one is lost, single late agents of others are not
// due to the link.
func (r *Router) mostAgentsLate(now time.Time) bool {
	late, inTime, lateDomains := 0, 0, 0
	excess := map[string]int{} // by domain, how many more agents are late than in time
	for a := range r.fleet.Agents() {
		switch lastMissed := a.MissedNoticeAt.After(a.NoticeInTimeAt); {
		case lastMissed && now.Sub(a.MissedNoticeAt) < latenessWindow:
			late++
			excess[a.Member.Domain]++
		case !lastMissed && now.Sub(a.NoticeInTimeAt) < latenessWindow:
			inTime++
			excess[a.Member.Domain]--
		}
	}
	for _, count := range excess {
		if count > 0 {
			lateDomains++
		}
	}
	return late >= minLateAgents && late > inTime && lateDomains >= minLateDomains
}
