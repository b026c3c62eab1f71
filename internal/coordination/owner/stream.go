package owner

import "slices"

// maxAhead is the largest number of ranges beyond gaps that a stream records. Callers
// have at most 16 packets on their way.
const maxAhead = 16

// stream records which data of a caller's stream has arrived, by sequence numbers.
type stream struct {
	// next is the sequence number after the data without a gap, end the one after the
	// last data. ahead holds the ranges between the two, in order and apart. All are
	// valid if known.
	next, end uint32
	ahead     []dataRange
	known     bool

	// start is the sequence number of the request's first data.
	start uint32

	// untracked says that it is not known which data of the request has arrived.
	untracked bool

	// lastLength is the length of the packet before end, longest that of the request's
	// longest packet, in bytes. segment is the length of the longest packet that more
	// data of the same request followed; 0 if there was none.
	lastLength, longest, segment int

	// answered says that the request was answered before all of its data had arrived.
	answered bool
}

// dataRange is a range of sequence numbers without its end.
type dataRange struct{ from, to uint32 }

// before reports whether sequence number a is before b.
func before(a, b uint32) bool { return int32(a-b) < 0 }

// receive records a packet's data. It reports whether any of it is new and whether the
// data without a gap has become longer.
func (s *stream) receive(sequence uint32, length int) (isNew, advanced bool) {
	packet := dataRange{sequence, sequence + uint32(length)}
	if !s.known {
		s.known, s.untracked = true, true
		s.next, s.end, s.start = packet.from, packet.from, packet.from
	}
	if s.untracked && before(s.end, packet.to) {
		s.next, s.ahead = s.end, nil
	}
	if !before(s.next, packet.to) || slices.ContainsFunc(s.ahead, packet.isWithin) {
		return false, false
	}

	if before(s.end, packet.to) {
		if s.longest > 0 {
			s.segment = max(s.segment, s.longest)
		}
		s.end, s.lastLength = packet.to, length
	} else {
		s.segment = max(s.segment, length)
	}
	s.longest = max(s.longest, length)

	previous := s.next
	s.insert(packet)
	return true, s.next != previous
}

func (r dataRange) isWithin(other dataRange) bool {
	return !before(r.from, other.from) && !before(other.to, r.to)
}

// insert adds a range to ahead, or to the data without a gap if it begins there.
func (s *stream) insert(r dataRange) {
	if len(s.ahead) == 0 && !before(s.next, r.from) {
		s.next = r.to
		return
	}
	i := 0
	for i < len(s.ahead) && before(s.ahead[i].from, r.from) {
		i++
	}
	s.ahead = slices.Insert(s.ahead, i, r)

	joined := s.ahead[:0]
	for _, r := range s.ahead {
		last := len(joined) - 1
		switch {
		case !before(s.next, r.from):
			if before(s.next, r.to) {
				s.next = r.to
			}
		case last >= 0 && !before(joined[last].to, r.from):
			if before(joined[last].to, r.to) {
				joined[last].to = r.to
			}
		default:
			joined = append(joined, r)
		}
	}
	s.ahead = joined
	if len(s.ahead) > maxAhead {
		s.untracked = true
	}
}

// hasGap reports whether data before the last data seen is missing.
func (s *stream) hasGap() bool {
	return s.next != s.end
}

// complete reports whether all data of the request seems to have arrived: there is no
// gap, and the last packet is shorter than a full one. If no packet of the flow is known
// to be full, routeSegment is the length of a full one; 0 is unknown. An untracked
// request counts as complete.
func (s *stream) complete(routeSegment int) bool {
	if s.untracked {
		return true
	}
	if s.hasGap() {
		return false
	}
	if s.segment == 0 {
		return s.lastLength != routeSegment // a longer one was never followed by more data
	}
	return s.lastLength < s.segment
}

// size returns the length in bytes of the request's data up to the last that arrived.
func (s *stream) size() int {
	return int(s.end - s.start)
}

// endRequest prepares for the next request of the stream.
func (s *stream) endRequest() {
	if s.hasGap() && !s.untracked {
		s.answered = true
		return
	}
	s.next, s.ahead = s.end, nil
	s.longest = 0
	s.start = s.end
	s.untracked, s.answered = false, false
}
