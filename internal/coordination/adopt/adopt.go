// Package adopt decides which configuration a process puts in force. Usually a newer
// one replaces an older one at once. A store that came back from an older copy shows an
// older configuration, in a new era, until the operators have written theirs again;
// until then the one in force is kept. The package does no I/O.
package adopt

import (
	"slices"
	"time"

	"github.com/coriandershift/coriandershift/internal/state/config"
	"github.com/coriandershift/coriandershift/internal/state/revno"
)

// SettleTime is the time after a new era was first heard of in which failure domains are
// kept as they are: operators may not have written yet again which ones are out. It is
// short enough for a new change to be in force within the platform's limit of 3 s.
const SettleTime = 2 * time.Second

// Decision says what to do with a configuration.
type Decision uint8

// The decisions.
const (
	Ignore Decision = iota // it is not newer than the one in force
	Hold                   // it may be older than the one in force; read it again after SettleTime
	Adopt                  // it is in force from now on
)

// Gate holds the configuration in force. It is not safe for concurrent use.
type Gate struct {
	inForce        *config.Config
	era            uint64    // latest era heard of, first at eraSince
	eraSince       time.Time // zero while era is 0
	unsettledUntil time.Time
}

// New returns a Gate without a configuration in force: its revision is 0.
func New() *Gate {
	return &Gate{inForce: &config.Config{}}
}

// InForce returns the configuration in force. The caller must not change it.
func (g *Gate) InForce() *config.Config {
	return g.inForce
}

// Unsettled reports whether the configuration in force may lack what operators have yet
// to write again: this process started in an era without knowing an earlier one. Peers
// with a configuration of an earlier era must not take it over.
func (g *Gate) Unsettled(now time.Time) bool {
	return now.Before(g.unsettledUntil)
}

// ObserveEra records that an era was heard of, from which SettleTime counts. If another
// era begins within that time, it counts anew.
func (g *Gate) ObserveEra(now time.Time, era uint64) {
	if era <= g.era {
		return
	}
	g.era, g.eraSince = era, now
	if g.Unsettled(now) {
		g.unsettledUntil = now.Add(SettleTime)
	}
}

// Offer decides on a configuration that the store has at this moment, or that a peer has in
// force which was not Unsettled. The Gate keeps cfg.
func (g *Gate) Offer(now time.Time, cfg *config.Config) Decision {
	g.ObserveEra(now, revno.Revision(cfg.Revision).Era())
	switch {
	case g.inForce.Revision == 0:
		if cfg.Revision == 0 {
			return Ignore
		}
		if g.era > 0 {
			g.unsettledUntil = now.Add(SettleTime)
		}
	case g.isOfLaterEra(cfg):
		if !g.hasSettled(now, cfg) {
			return Hold
		}
	case !cfg.NewerThan(g.inForce):
		return Ignore
	case g.bringsBack(now, cfg):
		return Hold
	}
	g.inForce = cfg
	return Adopt
}

func (g *Gate) isOfLaterEra(cfg *config.Config) bool {
	return revno.Revision(cfg.Revision).Era() > revno.Revision(g.inForce.Revision).Era()
}

// hasSettled reports whether a configuration of a later era has all that the one in
// force has: at least the operators' version and, unless SettleTime has passed, the same
// failure domains out. That a peer has it in force is no proof: the peer may not have had a
// domain out that is out here.
func (g *Gate) hasSettled(now time.Time, cfg *config.Config) bool {
	if cfg.Operators < g.inForce.Operators {
		return false
	}
	return now.Sub(g.eraSince) >= SettleTime || slices.Equal(outDomains(cfg), outDomains(g.inForce))
}

// bringsBack reports whether a configuration of an earlier era lacks a failure domain that is
// out here. Within SettleTime that is no proof that operators have brought it back: they may
// have written it again before their version, and a peer of the earlier era never had it.
func (g *Gate) bringsBack(now time.Time, cfg *config.Config) bool {
	if revno.Revision(cfg.Revision).Era() >= revno.Revision(g.inForce.Revision).Era() || !g.Unsettled(now) {
		return false
	}
	out := outDomains(cfg)
	return slices.ContainsFunc(outDomains(g.inForce), func(name string) bool { return !slices.Contains(out, name) })
}

func outDomains(cfg *config.Config) []string {
	var names []string
	for _, d := range cfg.Domains {
		if d.Out {
			names = append(names, d.Name)
		}
	}
	slices.Sort(names)
	return names
}
