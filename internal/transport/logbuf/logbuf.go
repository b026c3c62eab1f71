// Package logbuf writes log lines without blocking the caller: lines go through
// a bounded buffer that one goroutine empties. Lines that do not fit are dropped,
// and their number is logged.
package logbuf

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	// capacity bounds the lines in the buffer, in bytes.
	capacity = 256 << 10

	// flushDelay is the time from the first line in the buffer to the flush. Fewer, larger
	// writes cost less.
	flushDelay = 250 * time.Millisecond

	// maxWrite bounds one write in bytes, unless a line is longer. It is PIPE_BUF,
	// up to which a write to a pipe is atomic; log collectors truncate longer writes.
	maxWrite = 4096
)

// Buffer is an io.Writer of whole lines. It is safe for concurrent use.
type Buffer struct {
	out  io.Writer
	wake chan struct{}

	mu           sync.Mutex
	pending      []byte
	spare        []byte // takes the place of pending while that is written
	dropped      uint64 // since the last flush
	droppedTotal uint64

	// flushMu allows one Flush at a time. It is locked before mu and guards spare.
	flushMu sync.Mutex
}

// New returns a Buffer that writes to out.
func New(out io.Writer) *Buffer {
	b := &Buffer{out: out, wake: make(chan struct{}, 1)}
	go b.run()
	return b
}

// Write appends one line, or drops it if the buffer is full. It never blocks on
// the output and never fails.
func (b *Buffer) Write(line []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()

	if len(b.pending)+len(line) > capacity {
		b.dropped++
		b.droppedTotal++
		return len(line), nil
	}
	if len(b.pending) == 0 {
		select {
		case b.wake <- struct{}{}:
		default:
		}
	}
	b.pending = append(b.pending, line...)
	return len(line), nil
}

// Dropped returns how many lines have been dropped so far.
func (b *Buffer) Dropped() uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.droppedTotal
}

// Flush writes the lines in the buffer to the output.
func (b *Buffer) Flush() {
	b.flushMu.Lock()
	defer b.flushMu.Unlock()

	b.mu.Lock()
	lines, dropped := b.pending, b.dropped
	b.pending, b.dropped = b.spare[:0], 0
	b.mu.Unlock()

	if dropped > 0 {
		lines = fmt.Appendf(lines, "time=%s level=WARN msg=\"log lines dropped\" count=%d\n",
			time.Now().UTC().Format(time.RFC3339Nano), dropped)
	}
	b.writeLines(lines)
	b.spare = lines
}

// writeLines writes whole lines, up to maxWrite bytes at a time.
func (b *Buffer) writeLines(lines []byte) {
	for len(lines) > 0 {
		size := wholeLines(lines, maxWrite)
		_, _ = b.out.Write(lines[:size]) // there is nowhere to report a failed log write
		lines = lines[size:]
	}
}

// wholeLines returns the length of the whole lines at the start of lines that fit
// into limit bytes. It is at least one line.
func wholeLines(lines []byte, limit int) int {
	if len(lines) <= limit {
		return len(lines)
	}
	if end := bytes.LastIndexByte(lines[:limit], '\n'); end >= 0 {
		return end + 1
	}
	if end := bytes.IndexByte(lines, '\n'); end >= 0 {
		return end + 1
	}
	return len(lines)
}

func (b *Buffer) run() {
	for range b.wake {
		time.Sleep(flushDelay)
		b.Flush()
	}
}
