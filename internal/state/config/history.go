package config

// historyLength is the number of deltas kept. At 13,000 changes a day it covers 28 minutes.
const historyLength = 256

// History is the latest deltas, each starting where the one before ends.
type History struct {
	deltas []Delta
}

// Add takes the delta to a new configuration. One that does not fit the latest starts anew.
func (h *History) Add(d Delta) {
	if len(h.deltas) > 0 && h.deltas[len(h.deltas)-1].To != d.From {
		h.deltas = nil
	}
	h.deltas = append(h.deltas, d)
	if extra := len(h.deltas) - historyLength; extra > 0 {
		h.deltas = h.deltas[extra:]
	}
}

// Since returns the delta from a revision to the latest, and whether it is known.
func (h *History) Since(revision uint64) (Delta, bool) {
	for i := range h.deltas {
		if h.deltas[i].From != revision {
			continue
		}
		d := h.deltas[i]
		for _, next := range h.deltas[i+1:] {
			d = d.Then(next)
		}
		return d, true
	}
	return Delta{}, false
}
