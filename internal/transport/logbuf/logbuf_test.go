package logbuf_test

import (
	"bytes"
	"strings"
	"testing"

	"github.com/coriandershift/coriandershift/internal/transport/logbuf"
)

// blockedWriter blocks each write until release is closed.
type blockedWriter struct{ release chan struct{} }

func (w blockedWriter) Write(p []byte) (int, error) {
	<-w.release
	return len(p), nil
}

func TestLinesAreWrittenInOrder(t *testing.T) {
	var out bytes.Buffer
	b := logbuf.New(&out)
	for _, line := range []string{"one\n", "two\n"} {
		if _, err := b.Write([]byte(line)); err != nil {
			t.Fatal(err)
		}
	}
	b.Flush()
	if got := out.String(); got != "one\ntwo\n" {
		t.Errorf("got %q", got)
	}
}

func TestBlockedOutputDropsLinesWithoutBlocking(t *testing.T) {
	out := blockedWriter{release: make(chan struct{})}
	b := logbuf.New(out)
	line := []byte(strings.Repeat("x", 1023) + "\n")
	for range 2000 {
		if _, err := b.Write(line); err != nil {
			t.Fatal(err)
		}
	}
	if b.Dropped() == 0 {
		t.Error("nothing was dropped of 2 MB")
	}
	close(out.release)
}

func TestDroppedLinesAreLogged(t *testing.T) {
	var out bytes.Buffer
	b := logbuf.New(&out)
	line := []byte(strings.Repeat("x", 64<<10) + "\n")
	for range 6 {
		if _, err := b.Write(line); err != nil {
			t.Fatal(err)
		}
	}
	b.Flush()
	if !strings.Contains(out.String(), "log lines dropped") {
		t.Error("the dropped lines are not logged")
	}
}

// recorder records each write.
type recorder struct{ writes []string }

func (r *recorder) Write(b []byte) (int, error) {
	r.writes = append(r.writes, string(b))
	return len(b), nil
}

func TestWritesAreWholeLinesWithinPipeBuf(t *testing.T) {
	const pipeBuf = 4096
	var out recorder
	b := logbuf.New(&out)
	line := strings.Repeat("x", 299) + "\n"
	long := strings.Repeat("y", 2*pipeBuf) + "\n"
	var want string
	for i := range 60 {
		text := line
		if i == 30 {
			text = long
		}
		want += text
		if _, err := b.Write([]byte(text)); err != nil {
			t.Fatal(err)
		}
	}
	b.Flush()

	if got := strings.Join(out.writes, ""); got != want {
		t.Error("lines were lost or reordered")
	}
	for i, written := range out.writes {
		if !strings.HasSuffix(written, "\n") {
			t.Errorf("write %d does not end with a newline", i)
		}
		if len(written) > pipeBuf && written != long {
			t.Errorf("write %d has %d bytes", i, len(written))
		}
	}
}
