// Package logbuf writes log lines without ever making their writer wait: lines
// go through a bounded buffer that one goroutine empties. Lines that do not fit
// are counted, and the count is logged.
package logbuf

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	// capacity is the most that may wait, in bytes.
	capacity = 256 << 10

	// flushEvery bounds how long a line waits. Fewer writes cost less.
	flushEvery = 250 * time.Millisecond

	// maxWrite is the most bytes given to one write, unless a line is longer: what
	// a pipe takes whole (PIPE_BUF). Collectors cut longer writes off.
	maxWrite = 4096
)

// Buffer is an io.Writer of whole lines. It is safe for concurrent use.
type Buffer struct {
	out  io.Writer
	wake chan struct{}

	mu      sync.Mutex
	waiting []byte
	spare   []byte
	dropped uint64
	total   uint64

	writing sync.Mutex
}

// New returns a Buffer that writes to out.
func New(out io.Writer) *Buffer {
	b := &Buffer{out: out, wake: make(chan struct{}, 1)}
	go b.run()
	return b
}

// Write takes one line. It never blocks and never fails.
func (b *Buffer) Write(line []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()

	if len(b.waiting)+len(line) > capacity {
		b.dropped++
		b.total++
		return len(line), nil
	}
	if len(b.waiting) == 0 {
		select {
		case b.wake <- struct{}{}:
		default:
		}
	}
	b.waiting = append(b.waiting, line...)
	return len(line), nil
}

// Dropped returns how many lines did not fit so far.
func (b *Buffer) Dropped() uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.total
}

// Flush writes what waits.
func (b *Buffer) Flush() {
	b.writing.Lock()
	defer b.writing.Unlock()

	b.mu.Lock()
	lines, dropped := b.waiting, b.dropped
	b.waiting, b.dropped = b.spare[:0], 0
	b.mu.Unlock()

	if dropped > 0 {
		lines = fmt.Appendf(lines, "time=%s level=WARN msg=\"log lines dropped\" count=%d\n",
			time.Now().UTC().Format(time.RFC3339Nano), dropped)
	}
	b.writeOut(lines)
	b.spare = lines
}

// writeOut writes whole lines, maxWrite bytes at a time.
func (b *Buffer) writeOut(lines []byte) {
	for len(lines) > 0 {
		size := wholeLines(lines, maxWrite)
		_, _ = b.out.Write(lines[:size]) // there is nowhere left to tell of a failure
		lines = lines[size:]
	}
}

// wholeLines returns how many bytes of lines fit into most, at least one line.
func wholeLines(lines []byte, most int) int {
	if len(lines) <= most {
		return len(lines)
	}
	if end := bytes.LastIndexByte(lines[:most], '\n'); end >= 0 {
		return end + 1
	}
	if end := bytes.IndexByte(lines, '\n'); end >= 0 {
		return end + 1
	}
	return len(lines)
}

func (b *Buffer) run() {
	for range b.wake {
		time.Sleep(flushEvery)
		b.Flush()
	}
}
