package model_test

import "time"

// pausable is a process that may be paused. What arrives meanwhile is handled when it goes on.
type pausable struct {
	paused bool
	inbox  []func()
}

// keeps reports whether the process is paused, and keeps the handling of a message until it
// goes on.
func (p *pausable) keeps(handle func()) bool {
	if p.paused {
		p.inbox = append(p.inbox, handle)
	}
	return p.paused
}

// pause pauses a process for a few seconds, unless it is restarted meanwhile.
func (fs *faultSim) pause(p *pausable, isSame func() bool) {
	p.paused = true
	fs.schedule(time.Duration(500+fs.random.IntN(4000))*time.Millisecond, func() {
		if !isSame() || !p.paused {
			return
		}
		inbox := p.inbox
		p.paused, p.inbox = false, nil
		for _, handle := range inbox {
			handle()
		}
	})
}

func (fs *faultSim) pauseAgent(a *agent) {
	core := a.core
	fs.pause(&a.pause, func() bool {
		a.faultAt = fs.now
		return a.core == core && !a.down
	})
}

func (fs *faultSim) pauseBalancer(b *balancer) {
	core := b.core
	fs.pause(&b.pause, func() bool { return b.core == core && !b.down })
}

// restartBesideYoungUpstream replaces the upstream of an agent, and restarts the agent when
// the upstream has announced itself a few times.
func (fs *faultSim) restartBesideYoungUpstream(a *agent) {
	a.upstream = nil
	a.faultAt = fs.now
	fs.startUpstream(a)
	fs.schedule(time.Duration(fs.random.IntN(900))*time.Millisecond, func() { fs.restartAgent(a) })
}

// restartAgent restarts an agent while its upstream stays.
func (fs *faultSim) restartAgent(a *agent) {
	a.down = true
	a.member.Incarnation++
	fs.schedule(time.Duration(20+fs.random.IntN(800))*time.Millisecond, func() { fs.startAgent(a) })
}
