// Package link estimates how much of a VM's network link is in use and how long
// datagrams wait at it, from the datagrams that one process sends and receives.
package link

import "time"

// Direction is the direction of a datagram, seen from the VM.
type Direction uint8

// The directions.
const (
	In Direction = iota
	Out

	directionCount
)

// Directions are all directions.
var Directions = [directionCount]Direction{In, Out}

// String returns the direction's name in logs and metrics.
func (d Direction) String() string {
	return [directionCount]string{"in", "out"}[d]
}

// Kind says what a datagram is for.
type Kind uint8

// The kinds.
const (
	Opening    Kind = iota // opening packet of a flow
	Data                   // any other packet of a flow
	Query                  // question which agent has a flow
	Reply                  // reply to a query
	Notice                 // message of an agent that it has a flow
	Membership             // datagram of the membership protocol

	kindCount
)

// Kinds are all kinds.
var Kinds = [kindCount]Kind{Opening, Data, Query, Reply, Notice, Membership}

// String returns the kind's name in logs and metrics.
func (k Kind) String() string {
	return [kindCount]string{"opening", "data", "query", "reply", "notice", "membership"}[k]
}

// Volume is what a link carried of one kind, headers of IP and UDP included.
type Volume struct {
	Bytes, Datagrams uint64
}

const (
	// headerLength is the length in bytes of the headers of IPv4 and UDP.
	headerLength = 28

	// stepLength is the resolution of all estimates.
	stepLength = 100 * time.Millisecond

	// useSteps is the number of steps in the second over which the use is measured.
	useSteps = int64(time.Second / stepLength)

	// maxQueue limits the queue estimates. Callers repeat data after 1.6 s at the latest,
	// so what waits longer is of no use to them.
	maxQueue = 2 * time.Second
)
