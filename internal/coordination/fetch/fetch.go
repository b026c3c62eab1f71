// Package fetch decides from which peers a process fetches a configuration. A peer whose
// messages arrive may still be out of reach, as over a link that passes packets one way, so a
// fetch that takes long is hedged by one from another peer. The package does no I/O.
package fetch

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"github.com/coriandershift/coriandershift/internal/state/config"
	"github.com/coriandershift/coriandershift/internal/state/delay"
)

const (
	// minHedgeDelay and maxHedgeDelay bound the time after which a fetch is hedged: a multiple
	// of the time that fetches took lately.
	minHedgeDelay = 50 * time.Millisecond
	maxHedgeDelay = 200 * time.Millisecond
	hedgeFactor   = 3

	// maxRunning is the largest number of fetches at a time. All but the latest have been
	// hedged.
	maxRunning = 8

	// failureTTL is the time for which a peer from which nothing could be fetched comes after
	// all others.
	failureTTL = 2 * time.Second

	// starvedAfter is the time after which the configuration is to be read from the store if
	// none could be fetched.
	starvedAfter = 500 * time.Millisecond
)

// Outcome is the result of a fetch.
type Outcome uint8

const (
	Failed  Outcome = iota // the peer did not answer
	Nothing                // the peer has no later configuration than the one in force
	Held                   // the configuration is held back; see package adopt
	Adopted                // the configuration is in force
)

// Plan decides which peer to fetch a configuration from next. It is not safe for concurrent use.
type Plan struct {
	inForce config.Config // only Revision and Operators are set

	peers map[netip.AddrPort]*peer // by the address from which the peer serves its configuration

	// wantedSince is the time from which a later configuration than the one in force is known
	// to exist without a later one having been fetched; zero if there is none.
	wantedSince time.Time

	hedgeDelay delay.Timeout
}

// peer is a process that may have a later configuration.
type peer struct {
	offer     config.Config // what it has, only Revision and Operators; zero if that is not known
	offeredAt time.Time
	near      bool      // it is in the same failure domain
	startedAt time.Time // of the running fetch, zero without
	hedged    bool      // another fetch has started since
	failedAt  time.Time // when a fetch last failed, had to be hedged or brought nothing later
	reachedAt time.Time // when it last answered a fetch
}

// New returns a Plan without any peer.
func New() *Plan {
	return &Plan{
		peers:      map[netip.AddrPort]*peer{},
		hedgeDelay: delay.Timeout{Factor: hedgeFactor, Floor: minHedgeDelay, Ceiling: maxHedgeDelay},
	}
}

// Offer records that a peer has a configuration. near says that it is in the same failure
// domain.
func (p *Plan) Offer(now time.Time, address netip.AddrPort, near bool, revision, operators uint64) {
	known := p.peer(address)
	known.offer, known.offeredAt, known.near = config.Config{Revision: revision, Operators: operators}, now, near
	if known.offer.NewerThan(&p.inForce) && p.wantedSince.IsZero() {
		p.wantedSince = now
	}
}

// Suggest records a peer in the same failure domain, which may have what others offer.
func (p *Plan) Suggest(now time.Time, address netip.AddrPort) {
	known := p.peer(address)
	known.offeredAt, known.near = now, true
}

func (p *Plan) peer(address netip.AddrPort) *peer {
	if p.peers[address] == nil {
		p.peers[address] = &peer{}
	}
	return p.peers[address]
}

// Apply records the configuration in force.
func (p *Plan) Apply(now time.Time, cfg *config.Config) {
	p.inForce = config.Config{Revision: cfg.Revision, Operators: cfg.Operators}
	p.wantedSince = time.Time{}
	for address, known := range p.peers {
		switch {
		case known.offer.NewerThan(&p.inForce):
			p.wantedSince = now
		case known.startedAt.IsZero() && now.Sub(known.failedAt) >= failureTTL && now.Sub(known.offeredAt) >= failureTTL:
			delete(p.peers, address)
		}
	}
}

// Finish records the end of the fetch from a peer.
func (p *Plan) Finish(now time.Time, address netip.AddrPort, outcome Outcome) {
	known := p.peer(address)
	if outcome != Failed {
		p.hedgeDelay.Observe(now, now.Sub(known.startedAt))
		known.reachedAt = now
	}
	if outcome != Adopted {
		known.failedAt, known.offer = now, config.Config{}
	}
	if outcome == Held {
		p.wantedSince = time.Time{} // the store has no other
	}
	known.startedAt, known.hedged = time.Time{}, false
}

// Next returns the peer from which to fetch now, and false if there is none. The fetch
// counts as running until Finish is called.
func (p *Plan) Next(now time.Time) (netip.AddrPort, bool) {
	if p.wantedSince.IsZero() || !p.isDue(now) {
		return netip.AddrPort{}, false
	}
	var candidates, failed []netip.AddrPort
	for address, known := range p.peers {
		isLater := known.offer.NewerThan(&p.inForce)
		switch {
		case !known.startedAt.IsZero():
		case now.Sub(known.failedAt) < failureTTL:
			if isLater {
				failed = append(failed, address) // it has made an offer since
			}
		case isLater, known.offer.Revision == 0:
			candidates = append(candidates, address)
		}
	}
	if len(candidates) == 0 {
		candidates = failed
	}
	if len(candidates) == 0 {
		return netip.AddrPort{}, false
	}
	chosen := slices.MinFunc(candidates, p.compare)
	for _, known := range p.peers {
		if !known.startedAt.IsZero() {
			known.hedged, known.failedAt = true, now
		}
	}
	p.peers[chosen].startedAt = now
	return chosen, true
}

// compare orders peers. The first is one that offers the latest configuration; while a fetch
// hangs, which is more likely between failure domains, one of the same domain.
func (p *Plan) compare(a, b netip.AddrPort) int {
	one, other := p.peers[a], p.peers[b]
	if _, running := p.latest(); running > 0 && one.near != other.near {
		if one.near {
			return -1
		}
		return 1
	}
	switch {
	case one.offer.NewerThan(&other.offer):
		return -1
	case other.offer.NewerThan(&one.offer):
		return 1
	}
	return cmp.Or(other.reachedAt.Compare(one.reachedAt), a.Compare(b))
}

// isDue reports whether no fetch is running but hedged ones, or the latest is to be hedged.
func (p *Plan) isDue(now time.Time) bool {
	latest, running := p.latest()
	return latest == nil || (running < maxRunning && now.Sub(latest.startedAt) >= p.hedgeDelay.Value(now))
}

// latest returns the peer whose fetch is running and not hedged, nil if there is none, and
// the number of all running fetches.
func (p *Plan) latest() (*peer, int) {
	var latest *peer
	running := 0
	for _, known := range p.peers {
		if known.startedAt.IsZero() {
			continue
		}
		running++
		if !known.hedged {
			latest = known
		}
	}
	return latest, running
}

// HedgeDelay returns the time after the start of a fetch at which Next may return another.
func (p *Plan) HedgeDelay(now time.Time) time.Duration {
	return p.hedgeDelay.Value(now)
}

// Starved reports whether a later configuration has been known to exist for so long that it
// is to be read from the store.
func (p *Plan) Starved(now time.Time) bool {
	return !p.wantedSince.IsZero() && now.Sub(p.wantedSince) >= starvedAfter
}
