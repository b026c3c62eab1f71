package adopt_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/coriandershift/coriandershift/internal/coordination/adopt"
	"github.com/coriandershift/coriandershift/internal/standin/envint"
	"github.com/coriandershift/coriandershift/internal/state/config"
	"github.com/coriandershift/coriandershift/internal/state/revno"
)

const (
	drillProcesses = 12
	drillWatchers  = 3 // processes that read the store; the others hear from their peers
	drillStep      = 50 * time.Millisecond

	// rewriteTime is the longest time until operators have written everything again.
	rewriteTime = adopt.SettleTime - 200*time.Millisecond

	// inForceWithin is the platform's limit from the writing of a change until it is in
	// force.
	inForceWithin = 3 * time.Second
)

// drillSim runs random drills of the store against the Gates of processes: the store
// comes back from an older copy, and the operators write everything again.
type drillSim struct {
	t      *testing.T
	seed   uint64
	random *rand.Rand
	now    time.Time

	operators                        contents // what the operators want: the version and the domains out
	era                              uint64
	revision                         int64
	stored                           contents
	copies                           []storeCopy
	pending                          []rewrite         // what operators have yet to write again
	takenOutAt                       map[string]uint64 // revision at which operators last took a domain out
	stableSince                      time.Time         // of the latest write or drill
	processes                        []*process
	contentsAt                       map[[2]uint64]contents // by operators' version and revision
	changes, drills, agreementChecks int
}

type contents struct {
	version uint64
	out     []string
}

type storeCopy struct {
	revision int64
	stored   contents
}

type rewrite struct {
	at    time.Time
	write func()
}

type process struct {
	gate      *adopt.Gate
	era       uint64 // latest era heard of
	version   uint64 // highest operators' version that was in force
	startedAt time.Time
	knownOut  map[string]bool // domains that operators keep out since a revision that was in force
}

func newDrillSim(t *testing.T, seed uint64) *drillSim {
	d := &drillSim{
		t: t, seed: seed, random: rand.New(rand.NewPCG(seed, 3)), now: start, contentsAt: map[[2]uint64]contents{},
		takenOutAt: map[string]uint64{},
	}
	d.operators.version = 1
	d.revision = 10
	d.stored = contents{version: 1}
	for range drillProcesses {
		d.processes = append(d.processes, d.newProcess())
	}
	return d
}

func (d *drillSim) newProcess() *process {
	return &process{gate: adopt.New(), startedAt: d.now, knownOut: map[string]bool{}}
}

func (d *drillSim) fatalf(format string, args ...any) {
	d.t.Helper()
	d.t.Fatalf("seed %d, after %v: %s", d.seed, d.now.Sub(start), fmt.Sprintf(format, args...))
}

// write changes the store as an operator does.
func (d *drillSim) write(change func(*contents)) {
	d.revision++
	d.stored.out = slices.Clone(d.stored.out)
	change(&d.stored)
	slices.Sort(d.stored.out)
	d.stableSince = d.now
}

// changeVersion and changeDomain are an operators' changes. While they write everything
// again after a drill, operators make no other change.
func (d *drillSim) changeVersion() {
	d.operators.version += 1 + uint64(d.random.IntN(3))
	version := d.operators.version
	d.write(func(c *contents) { c.version = version })
}

func (d *drillSim) changeDomain() {
	name := string('a' + rune(d.random.IntN(3)))
	if i := slices.Index(d.operators.out, name); i >= 0 {
		d.operators.out = slices.Delete(slices.Clone(d.operators.out), i, i+1)
		for _, p := range d.processes {
			delete(p.knownOut, name)
		}
	} else {
		d.operators.out = append(slices.Clone(d.operators.out), name)
		slices.Sort(d.operators.out)
	}
	out := d.operators.out
	d.write(func(c *contents) { c.out = out })
	if slices.Contains(out, name) {
		d.takenOutAt[name] = uint64(revno.Of(d.era, d.revision))
	}
}

// restore brings the store back from a copy; the operators write again what it lacks, in
// any order.
func (d *drillSim) restore() {
	c := d.copies[d.random.IntN(len(d.copies))]
	d.era++
	d.revision, d.stored = c.revision, c.stored
	d.stableSince = d.now
	d.drills++
	version, out := d.operators.version, d.operators.out
	d.pending = []rewrite{
		{d.now.Add(time.Duration(d.random.Int64N(int64(rewriteTime)))), func() { d.write(func(c *contents) { c.version = version }) }},
		{d.now.Add(time.Duration(d.random.Int64N(int64(rewriteTime)))), func() { d.write(func(c *contents) { c.out = out }) }},
	}
}

func (d *drillSim) read() *config.Config {
	return newConfig(d.stored.version, d.era, d.revision, d.stored.out...)
}

// offer offers a configuration to a process and checks what is in force then.
func (d *drillSim) offer(p *process, cfg *config.Config) {
	p.gate.Offer(d.now, cfg)
	d.check(p)
}

func (d *drillSim) check(p *process) {
	cfg := p.gate.InForce()
	if cfg.Revision == 0 {
		return
	}
	if cfg.Operators < p.version {
		d.fatalf("a process went back from version %d to %d", p.version, cfg.Operators)
	}
	p.version = cfg.Operators
	var out []string
	for _, domain := range cfg.Domains {
		out = append(out, domain.Name)
	}
	for name := range p.knownOut {
		if !slices.Contains(out, name) {
			d.fatalf("domain %q, which operators keep out, was brought back", name)
		}
	}
	for _, name := range out {
		// A process that lags behind passes through what was in force in between.
		if slices.Contains(d.operators.out, name) && cfg.Revision >= d.takenOutAt[name] {
			p.knownOut[name] = true
		}
	}
	id := [2]uint64{cfg.Operators, cfg.Revision}
	got := contents{version: cfg.Operators, out: out}
	if known, ok := d.contentsAt[id]; ok && !cmp.Equal(known, got, cmp.AllowUnexported(contents{})) {
		d.fatalf("version %d, revision %d has the contents %v and %v", id[0], id[1], known, got)
	}
	d.contentsAt[id] = got
}

// step advances time by drillStep: operators, drills, restarts, reads and gossip.
func (d *drillSim) step() {
	d.now = d.now.Add(drillStep)
	d.pending = slices.DeleteFunc(d.pending, func(r rewrite) bool {
		if r.at.After(d.now) {
			return false
		}
		r.write()
		return true
	})
	switch quiet := len(d.pending) == 0; {
	case quiet && d.random.IntN(60) == 0:
		d.changeVersion()
		d.changes++
	case quiet && d.random.IntN(60) == 0:
		d.changeDomain()
		d.changes++
	case quiet && len(d.copies) > 0 && d.random.IntN(150) == 0:
		d.restore()
	case d.random.IntN(100) == 0:
		d.processes[d.random.IntN(len(d.processes))] = d.newProcess()
	}
	if d.random.IntN(10) == 0 {
		d.copies = append(d.copies, storeCopy{d.revision, d.stored})
		d.copies = d.copies[max(0, len(d.copies)-20):]
	}

	for i, p := range d.processes {
		if i < drillWatchers || p.gate.InForce().Revision == 0 {
			p.era = d.era
			d.offer(p, d.read())
		}
		other := d.processes[d.random.IntN(len(d.processes))]
		p.era = max(p.era, other.era)
		p.gate.ObserveEra(d.now, p.era)
		d.fetch(p, other)
	}
	if len(d.pending) == 0 && d.now.Sub(d.stableSince) >= inForceWithin {
		d.mustAgree()
	}
}

// fetch offers the configuration of another process to p if it seems to be newer. It does
// what package member does when a message arrives.
func (d *drillSim) fetch(p, other *process) {
	own, offered := p.gate.InForce(), other.gate.InForce()
	laterEra := revno.Revision(offered.Revision).Era() > revno.Revision(own.Revision).Era()
	if offered.NewerThan(own) && !(own.Revision > 0 && laterEra && other.gate.Unsettled(d.now)) {
		d.offer(p, offered)
	}
}

// mustAgree checks that the operators' latest configuration is in force at all processes
// that did not start a moment ago.
func (d *drillSim) mustAgree() {
	d.agreementChecks++
	want := contents{version: d.operators.version, out: d.operators.out}
	for i, p := range d.processes {
		if d.now.Sub(p.startedAt) < time.Second {
			continue
		}
		var out []string
		for _, domain := range p.gate.InForce().Domains {
			out = append(out, domain.Name)
		}
		if got := (contents{p.gate.InForce().Operators, out}); got.version != want.version || !slices.Equal(got.out, want.out) {
			d.fatalf("process %d has %v, operators want %v", i, got, want)
		}
	}
}

// TestDrills checks that no process goes back, that no two configurations have the same
// version and revision, and that the operators' latest is in force within inForceWithin,
// while the store comes back from older copies. DRILL_STEPS and DRILL_SEED choose longer
// runs and other seeds.
func TestDrills(t *testing.T) {
	steps, seed := envint.Get(t, "DRILL_STEPS", 100_000), envint.Get(t, "DRILL_SEED", 1)
	d := newDrillSim(t, uint64(seed))
	for range steps {
		d.step()
	}
	t.Logf("seed %d: %d drills, %d changes, agreement checked %d times", seed, d.drills, d.changes, d.agreementChecks)
	if d.drills < steps/2000 || d.agreementChecks < steps/100 {
		t.Errorf("%d drills, agreement checked %d times in %d steps", d.drills, d.agreementChecks, steps)
	}
}
