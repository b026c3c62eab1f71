package fetch_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"github.com/coriandershift/coriandershift/internal/coordination/fetch"
	"github.com/coriandershift/coriandershift/internal/state/config"
)

var start = time.Unix(1_800_000_000, 0)

func peerAt(number uint16) netip.AddrPort {
	return netip.AddrPortFrom(netip.MustParseAddr("10.0.0.1"), number)
}

// process is a process that fetches configurations in virtual time.
type process struct {
	plan    *fetch.Plan
	now     time.Time
	inForce uint64
	hangs   map[netip.AddrPort]bool          // peers that do not answer
	has     func(peer netip.AddrPort) uint64 // the revision of a peer
	ends    map[netip.AddrPort]time.Time     // of the running fetches
	started []netip.AddrPort
}

const (
	roundTrip    = 10 * time.Millisecond
	fetchTimeout = 2 * time.Second
)

// step has a process do for ten milliseconds what its plan says.
func (p *process) step() {
	for peer, at := range p.ends {
		if p.now.Before(at) {
			continue
		}
		delete(p.ends, peer)
		revision := p.has(peer)
		outcome := fetch.Nothing
		switch {
		case p.hangs[peer]:
			outcome = fetch.Failed
		case revision > p.inForce:
			outcome = fetch.Adopted
			p.inForce = revision
			p.plan.Apply(p.now, &config.Config{Revision: revision})
		}
		p.plan.Finish(p.now, peer, outcome)
	}
	for {
		peer, found := p.plan.Next(p.now)
		if !found {
			break
		}
		p.started = append(p.started, peer)
		p.ends[peer] = p.now.Add(roundTrip)
		if p.hangs[peer] {
			p.ends[peer] = p.now.Add(fetchTimeout)
		}
	}
	p.now = p.now.Add(10 * time.Millisecond)
}

func newProcess(revision uint64, hanging ...netip.AddrPort) *process {
	p := &process{plan: fetch.New(), now: start, hangs: map[netip.AddrPort]bool{}, ends: map[netip.AddrPort]time.Time{}}
	p.has = func(netip.AddrPort) uint64 { return revision }
	for _, peer := range hanging {
		p.hangs[peer] = true
	}
	return p
}

// Guards against a process that waits for a peer which it hears and cannot reach, again and
// again, while others could serve it (second review, case 8).
func TestAConfigurationArrivesThoughSomePeersCannotBeReached(t *testing.T) {
	far := []netip.AddrPort{peerAt(1), peerAt(2), peerAt(3), peerAt(4), peerAt(5), peerAt(6)}
	near := peerAt(9)
	offerFar := func(p *process, revision uint64) {
		for _, peer := range far {
			p.plan.Offer(p.now, peer, false, revision, 0)
		}
	}
	tests := map[string]struct {
		hanging []netip.AddrPort
		tell    func(p *process, revision uint64) // called every 100 ms
		within  time.Duration
	}{
		"all can be reached":             {nil, offerFar, 40 * time.Millisecond},
		"the first cannot":               {far[:1], offerFar, 300 * time.Millisecond},
		"only one far peer can":          {far[:5], offerFar, 1200 * time.Millisecond},
		"none of those that offer it":    {far, func(p *process, revision uint64) { p.plan.Suggest(p.now, near); offerFar(p, revision) }, 300 * time.Millisecond},
		"a near one offers it later too": {far, func(p *process, revision uint64) { offerFar(p, revision); p.plan.Offer(p.now, near, true, revision, 0) }, 300 * time.Millisecond},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			p := newProcess(0, test.hanging...)
			p.has = func(netip.AddrPort) uint64 { return uint64(p.now.Sub(start)/(300*time.Millisecond)) + 1 }
			behind, worst := p.now, time.Duration(0)
			for i := range 1000 { // a configuration every 300 ms for ten seconds
				if i%10 == 0 {
					test.tell(p, p.has(peerAt(1)))
				}
				p.step()
				if p.inForce > 0 && p.inForce+1 >= p.has(peerAt(1)) {
					behind = p.now
				}
				worst = max(worst, p.now.Sub(behind))
			}
			if worst > test.within+300*time.Millisecond {
				t.Errorf("was behind for %v, want at most %v after the next configuration", worst, test.within)
			}
			if running := len(p.ends); running > 8 {
				t.Errorf("%d fetches run at a time", running)
			}
		})
	}
}

func TestAFetchIsHedgedOnlyIfItTakesLong(t *testing.T) {
	tests := map[string]struct {
		hanging []netip.AddrPort
		steps   int
		want    []netip.AddrPort
	}{
		"the peer answers":                 {nil, 100, []netip.AddrPort{peerAt(1)}},
		"it does not":                      {[]netip.AddrPort{peerAt(1)}, 100, []netip.AddrPort{peerAt(1), peerAt(2)}},
		"it does not yet":                  {[]netip.AddrPort{peerAt(1)}, 10, []netip.AddrPort{peerAt(1)}},
		"nobody does, none is asked again": {[]netip.AddrPort{peerAt(1), peerAt(2)}, 150, []netip.AddrPort{peerAt(1), peerAt(2)}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			p := newProcess(5, test.hanging...)
			p.plan.Offer(p.now, peerAt(1), false, 5, 0)
			p.plan.Offer(p.now, peerAt(2), false, 5, 0)
			for range test.steps {
				p.step()
			}
			if diff := cmp.Diff(test.want, p.started, cmpopts.EquateComparable(netip.AddrPort{})); diff != "" {
				t.Error(diff)
			}
		})
	}
}

func TestAPeerWithNothingLaterIsNotAskedAgainAtOnce(t *testing.T) {
	p := newProcess(3)
	p.inForce = 4
	p.plan.Apply(p.now, &config.Config{Revision: 4})
	p.plan.Offer(p.now, peerAt(1), false, 5, 0) // it restarts and has an earlier one
	p.plan.Suggest(p.now, peerAt(2))
	for range 150 {
		p.step()
	}
	if len(p.started) != 2 {
		t.Errorf("%d fetches, want one from each peer", len(p.started))
	}
	if !p.plan.Starved(p.now) {
		t.Error("a later configuration is known to exist and is not to be read from the store")
	}
	p.plan.Apply(p.now, &config.Config{Revision: 5})
	if p.plan.Starved(p.now) {
		t.Error("the configuration is in force and is to be read from the store")
	}
}

// Guards against a process that asks its only peer again two seconds after a fetch failed.
func TestAPeerThatFailedIsAskedAgainOnceItOffersAnew(t *testing.T) {
	p := newProcess(5, peerAt(1))
	p.plan.Offer(p.now, peerAt(1), false, 5, 0)
	p.step()
	delete(p.ends, peerAt(1)) // the connection is reset
	p.plan.Finish(p.now, peerAt(1), fetch.Failed)
	p.hangs = nil
	p.step()
	if p.inForce != 0 || len(p.started) != 1 {
		t.Fatalf("%d fetches before another offer", len(p.started))
	}
	p.plan.Offer(p.now, peerAt(1), false, 5, 0)
	for range 3 {
		p.step()
	}
	if p.inForce != 5 {
		t.Errorf("revision %d is in force after another offer, want 5", p.inForce)
	}
}

// Guards against thousands of balancers that read the store because they hold back what their
// peers have.
func TestAConfigurationThatIsHeldBackIsNotReadFromTheStore(t *testing.T) {
	tests := map[string]struct {
		outcome fetch.Outcome
		want    bool
	}{"failed": {fetch.Failed, true}, "held back": {fetch.Held, false}}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			plan := fetch.New()
			plan.Offer(start, peerAt(1), false, 5, 0)
			peer, _ := plan.Next(start)
			plan.Finish(start.Add(roundTrip), peer, test.outcome)
			if got := plan.Starved(start.Add(time.Second)); got != test.want {
				t.Errorf("starved: %v, want %v", got, test.want)
			}
		})
	}
}
