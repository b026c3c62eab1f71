package config

// historyLength is the number of deltas kept. At 13,000 changes a day they cover 28 minutes.
const historyLength = 256

// History holds the latest deltas.
type History struct {
	deltas []Delta // each starts at the revision where the previous one ends
}

// Add appends the delta to a new configuration. If it does not start where the latest
// one ends, the earlier deltas are dropped.
func (h *History) Add(d Delta) {
	if len(h.deltas) > 0 && h.deltas[len(h.deltas)-1].To != d.From {
		h.deltas = nil
	}
	h.deltas = append(h.deltas, d)
	if extra := len(h.deltas) - historyLength; extra > 0 {
		h.deltas = h.deltas[extra:]
	}
}

// Since returns the delta from a revision to the latest. It returns false if the
// history does not reach back to the revision, or if that is the latest.
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
