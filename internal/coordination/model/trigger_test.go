package model_test

import (
	"slices"
	"time"

	"github.com/coriandershift/coriandershift/internal/state/roster"
)

// trigger is a disturbance of a run for a time. end may be nil.
type trigger struct {
	name         string
	at, duration time.Duration
	begin, end   func(*narrowSim)
}

// fillerExcess is the rate of other traffic that fills a link relative to the link's.
const fillerExcess = 1.5

// fillLinks has other traffic fill the links of balancers, all if none is given, in both
// directions.
func fillLinks(at, duration time.Duration, balancers ...int) trigger {
	filling := false
	return trigger{name: "full links", at: at, duration: duration, begin: func(ns *narrowSim) {
		filling = true
		for _, b := range ns.balancers {
			if len(balancers) == 0 || slices.Contains(balancers, b.index) {
				ns.fill(b.in, &filling)
				ns.fill(b.out, &filling)
			}
		}
	}, end: func(*narrowSim) { filling = false }}
}

func (ns *narrowSim) fill(l *link, filling *bool) {
	if !*filling {
		return
	}
	size := packetSize(maxSegment)
	l.send(ns.now, size)
	ns.schedule(time.Duration(float64(size)/fillerExcess/float64(l.rate)*float64(time.Second)), func() { ns.fill(l, filling) })
}

// moveFlows takes a balancer out of the rotation, which moves nearly all flows, and ends
// its process later. After the duration it is started again and returns to the rotation.
func moveFlows(balancer int, at, duration time.Duration) trigger {
	const stopDelay = 2 * time.Second
	return trigger{name: "all flows move", at: at, duration: duration, begin: func(ns *narrowSim) {
		ns.rotation = slices.DeleteFunc(ns.rotation, func(i int) bool { return i == balancer })
		stopped := ns.balancers[balancer].core
		ns.schedule(stopDelay, func() {
			if b := ns.balancers[balancer]; b.core == stopped {
				b.core = nil
			}
		})
	}, end: func(ns *narrowSim) {
		b := ns.balancers[balancer]
		ns.startBalancer(b, roster.MaxWeight)
		ns.joinWhenReady(b)
	}}
}

func (ns *narrowSim) joinWhenReady(b *narrowBalancer) {
	switch {
	case slices.Contains(ns.rotation, b.index):
	case b.core != nil && b.core.Ready():
		ns.rotation = append(ns.rotation, b.index)
		slices.Sort(ns.rotation)
	default:
		ns.schedule(readyInterval, func() { ns.joinWhenReady(b) })
	}
}

// restart stops a balancer's process and starts it again after the duration, which is too
// short for the fabric to notice.
func restart(balancer int, at, duration time.Duration) trigger {
	return trigger{name: "restart", at: at, duration: duration, begin: func(ns *narrowSim) {
		ns.balancers[balancer].core = nil
	}, end: func(ns *narrowSim) {
		ns.startBalancer(ns.balancers[balancer], roster.MaxWeight)
	}}
}

// cutAgents cuts off the agents that cut selects.
func cutAgents(at, duration time.Duration, cut func(*narrowAgent) bool) trigger {
	set := func(value bool) func(*narrowSim) {
		return func(ns *narrowSim) {
			for _, a := range ns.agents {
				if cut(a) {
					a.cut = value
				}
			}
		}
	}
	return trigger{name: "cut agents", at: at, duration: duration, begin: set(true), end: set(false)}
}

func inDomain(domain string) func(*narrowAgent) bool {
	return func(a *narrowAgent) bool { return a.domain == domain }
}

// lose loses a share of all datagrams.
func lose(share float64, at, duration time.Duration) trigger {
	return trigger{name: "loss", at: at, duration: duration, begin: func(ns *narrowSim) {
		ns.lossShare = share
	}, end: func(ns *narrowSim) {
		ns.lossShare = 0
	}}
}

// slowLink divides the rate of a balancer's link.
func slowLink(balancer, divisor int, at, duration time.Duration) trigger {
	return trigger{name: "slow link", at: at, duration: duration, begin: func(ns *narrowSim) {
		b := ns.balancers[balancer]
		b.in.rate, b.out.rate = ns.linkRate/divisor, ns.linkRate/divisor
	}, end: func(ns *narrowSim) {
		b := ns.balancers[balancer]
		b.in.rate, b.out.rate = ns.linkRate, ns.linkRate
	}}
}

// burstOf starts additional requests of a route, at a rate that is a factor of what all
// links carry if they carry nothing else.
func burstOf(route *narrowRoute, factor float64, at, duration time.Duration) trigger {
	active := false
	return trigger{name: "burst of " + route.Name, at: at, duration: duration, begin: func(ns *narrowSim) {
		active = true
		linkShare := float64(ns.linkRate*ns.narrowConfig.balancerCount) / route.linkBytes()
		ns.startArrivals(route, factor*linkShare, func() bool { return active })
	}, end: func(*narrowSim) { active = false }}
}
